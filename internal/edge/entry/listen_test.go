package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/edge/entry"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
	"github.com/rattanshore/rattanshore/platform"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// freeAddress returns an address that nobody listens on.
func freeAddress(g *WithT) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func testSettings(g *WithT) setng.Settings {
	settings := setng.Default()
	settings.Keys.Operators, settings.Keys.Peers = "op", "peer"
	settings.Listen.Callers, settings.Listen.Operators, settings.Listen.Peers = freeAddress(g), freeAddress(g), freeAddress(g)
	return settings
}

// expectFree fails unless nobody listens on the addresses.
func expectFree(g *WithT, addresses ...netip.AddrPort) {
	for _, address := range addresses {
		l, err := net.Listen("tcp", address.String())
		g.Expect(err).NotTo(HaveOccurred())
		_ = l.Close()
	}
}

// TestNewClosesWhatItOpened guards against a listener that stays open after New
// has failed on another one.
func TestNewClosesWhatItOpened(t *testing.T) {
	g := NewWithT(t)
	settings := testSettings(g)
	taken, err := net.Listen("tcp", settings.Listen.Peers.String())
	g.Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	log := zerolog.Nop()
	_, err = entry.New(settings, &log, platform.NewStore(freeAddress(g), "a"))
	g.Expect(err).To(HaveOccurred())
	expectFree(g, settings.Listen.Callers, settings.Listen.Operators)
}

// TestRunClosesListenersWithoutASession guards against listeners that stay open
// after Run has failed to open the host's session.
func TestRunClosesListenersWithoutASession(t *testing.T) {
	g := NewWithT(t)
	settings := testSettings(g)
	log := zerolog.Nop()
	host, err := entry.New(settings, &log, platform.NewStore(freeAddress(g), "a"))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	g.Expect(host.Run(ctx)).NotTo(Succeed())
	expectFree(g, settings.Listen.Callers, settings.Listen.Operators, settings.Listen.Peers)
}

// startHost runs a host beside a fake platform until the test ends.
func startHost(t *testing.T, g *WithT, settings setng.Settings) {
	p, err := fake.New(1, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	log := zerolog.Nop()
	host, err := entry.New(settings, &log, platform.NewStore(p.Address(), "a"))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		p.Close()
	})
}

// TestMissingKeyIsAnsweredWithAnError guards against a refusal without a body, which
// a client cannot tell from that of a proxy.
func TestMissingKeyIsAnsweredWithAnError(t *testing.T) {
	g := NewWithT(t)
	settings := testSettings(g)
	startHost(t, g, settings)
	response, err := http.Get("http://" + settings.Listen.Operators.String() + "/v1/hosts")
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
	var answer schema.Error
	g.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
	g.Expect(answer.Code).To(Equal(schema.Unauthorized))
}

// TestLargeBodyIsRefused guards against a body above the limit that is read, whether or not
// its size is announced.
func TestLargeBodyIsRefused(t *testing.T) {
	g := NewWithT(t)
	settings := testSettings(g)
	settings.Limits.BodyBytes = 4096
	startHost(t, g, settings)
	body := `{"id":"` + strings.Repeat("a", int(settings.Limits.BodyBytes)) + `"}`
	for _, reader := range []io.Reader{strings.NewReader(body), io.MultiReader(strings.NewReader(body))} {
		response, err := http.Post("http://"+settings.Listen.Callers.String()+"/v1/jobs", "application/json", reader)
		g.Expect(err).NotTo(HaveOccurred())
		var answer schema.Error
		g.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(answer.Code).To(Equal(schema.BodyTooLarge))
	}
}

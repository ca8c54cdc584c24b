package fleet_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/gate"
	"github.com/rattanshore/rattanshore/internal/edge/fleet"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/platform"
)

// Guards against a listener that stays open, and takes calls that nobody answers,
// after Run has failed on another one.
var _ = It("closes the listeners it has opened if another one cannot be opened", func() {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	settings := setng.DefaultFleet()
	settings.Host = setng.Host{ID: "a", Domain: "hall-a"}
	settings.Store = freePort()
	settings.Listen = setng.FleetListen{Callers: freePort(), Ready: freePort(), Peers: taken.Addr().(*net.TCPAddr).AddrPort()}
	log, meter := zerolog.Nop(), metrc.NewFleet()
	stores := fleet.NewStores(platform.NewStore(settings.Store, "a"), &log, &meter.Store)
	host := fleet.New(settings, &log, meter, time.Now, stores, platform.NewWorkers(time.Now), platform.NewDirectory(stores.Relayed, &log))
	Expect(host.Run(context.Background(), http.NotFoundHandler(), http.NotFoundHandler())).NotTo(Succeed())
	for _, address := range []string{settings.Listen.Callers.String(), settings.Listen.Ready.String()} {
		Eventually(func() error {
			l, err := net.Listen("tcp", address)
			if err == nil {
				_ = l.Close()
			}
			return err
		}).Should(Succeed(), address)
	}
})

// TestSentinelsDiffer guards against errors of two packages that errors.Is takes
// for each other, since it compares their texts.
func TestSentinelsDiffer(t *testing.T) {
	g := NewWithT(t)
	for _, inner := range []error{gate.ErrNoConfig, gate.ErrStale, gate.ErrUnknownQueue, gate.ErrUnauthorized} {
		for _, outer := range []error{fleet.ErrNotReady, fleet.ErrUnknownQueue, fleet.ErrUnauthorized, fleet.ErrInvalid} {
			g.Expect(errors.Is(inner, outer)).To(BeFalse(), "%v", inner)
		}
	}
}

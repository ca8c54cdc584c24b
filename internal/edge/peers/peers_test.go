package peers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/edge/peers"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

func newHub(t *testing.T, key string, onMessage func(schema.PeerMessage)) *peers.Hub {
	t.Helper()
	hub, err := peers.New(key, onMessage, func(string, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	return hub
}

func TestMessagesArriveWhole(t *testing.T) {
	g := NewWithT(t)
	got := make(chan schema.PeerMessage, 16)
	server := httptest.NewServer(newHub(t, "key", func(m schema.PeerMessage) { got <- m }).Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sender := newHub(t, "key", nil)
	sender.SetPeers(ctx, map[string]netip.AddrPort{"b": netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
	want := schema.PeerMessage{
		Sender: "a", Incarnation: "i", SentAt: time.Now().Round(0),
		Config:  schema.ConfigVersion{Version: 3, Document: schema.ConfigDocument{Shards: []schema.ShardSpec{{Name: "s"}}}},
		Domains: []schema.DomainStatus{{ID: "d", Epoch: 2, InService: true}},
	}
	sender.Send("b", want)
	var received schema.PeerMessage
	g.Eventually(got, 5*time.Second).Should(Receive(&received))
	g.Expect(received.SentAt).To(BeTemporally("==", want.SentAt))
	received.SentAt = want.SentAt
	g.Expect(received.Config.Version).To(Equal(int64(3)))
	g.Expect(received.Domains).To(Equal(want.Domains))
}

func TestWithoutTheKeyNothingIsAnswered(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(newHub(t, "key", func(schema.PeerMessage) { t.Error("a message was accepted without the key") }).Handler())
	defer server.Close()
	response, err := http.Get(server.URL + "/peer")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
}

// FuzzDecode checks that Decode does not panic on arbitrary bytes.
func FuzzDecode(f *testing.F) {
	seed, _ := cbor.Marshal(schema.PeerMessage{Sender: "a", SentAt: time.Unix(0, 0)})
	f.Add(seed)
	f.Add([]byte{0xa1, 0x66})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = peers.Decode(data)
	})
}

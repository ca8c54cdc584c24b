package relay_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/edge/relay"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	wire "github.com/rattanshore/rattanshore/internal/wire/relay"
	"github.com/rattanshore/rattanshore/platform"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// brokenStore fails every call with one error, after a delay.
type brokenStore struct {
	err   error
	delay time.Duration
}

func (b brokenStore) wait(ctx context.Context) error {
	select {
	case <-time.After(b.delay):
		return b.err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnanswered)
	}
}

func (b brokenStore) Transact(ctx context.Context, _ store.Change) (store.Outcome, error) {
	return store.Outcome{}, b.wait(ctx)
}

func (b brokenStore) Range(ctx context.Context, _ store.Span, _ int) (store.Rows, error) {
	return store.Rows{}, b.wait(ctx)
}

func (b brokenStore) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (store.Rows, error) {
	return store.Rows{}, b.wait(ctx)
}

func insertion(table, name, value string) store.Change {
	key := store.Key{Table: table, Name: name}
	return store.Change{Expect: []store.Row{{Key: key}}, Put: []store.Row{{Key: key, Value: []byte(value)}}}
}

var _ = Describe("a store reached through a peer", func() {
	var (
		p      *fake.Platform
		ctx    context.Context
		server *httptest.Server
		links  *relay.Links
	)
	log := zerolog.Nop()
	// peerWith starts a peer that uses the given store, and returns its address.
	peerWith := func(s store.Store) netip.AddrPort {
		server = httptest.NewServer(relay.Handler(relay.NewServer(s, []string{"jobs"}, nil, &log)))
		DeferCleanup(server.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	}
	refusing := brokenStore{err: store.ErrRefused}

	BeforeEach(func() {
		var err error
		p, err = fake.New(1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 3*time.Second)
		DeferCleanup(cancel)
		links = relay.NewLinks()
		links.SetPeers([]netip.AddrPort{peerWith(platform.NewStore(p.Address(), "peer"))})
	})

	It("inserts a row once, and reads it and its change", func() {
		s := relay.NewStore(refusing, links, &log)
		outcome, err := s.Transact(ctx, insertion("jobs", "a", "one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Applied).To(BeTrue())
		again, err := s.Transact(ctx, insertion("jobs", "a", "two"))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Applied).To(BeFalse())
		Expect(again.Current).To(HaveLen(1))
		Expect(again.Current[0].Value).To(Equal([]byte("one")))
		rows, err := s.Range(ctx, store.Span{Table: "jobs", From: "a", To: "b"}, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Rows).To(Equal(again.Current))
		changes, err := s.Changes(ctx, "jobs", outcome.Version-1, 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Rows).To(Equal(again.Current))
	})

	It("is asked while the store leaves a call unanswered", func() {
		s := relay.NewStore(brokenStore{err: store.ErrUnanswered, delay: time.Minute}, links, &log)
		begin := time.Now()
		outcome, err := s.Transact(ctx, insertion("jobs", "a", "one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Applied).To(BeTrue())
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
	})

	// Pattern: the store answers every call, but later than a call waits at first.
	It("is not asked any more for calls to a store that is only slow", func() {
		p.Store.SetFaults(fake.StoreFaults{Delay: 450 * time.Millisecond})
		slow := relay.NewStore(platform.NewStore(p.Address(), "self"), links, &log)
		for i := range 4 {
			_, err := slow.Transact(context.Background(), insertion("jobs", strings.Repeat("x", i+1), "one"))
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(time.Second)
		before := p.Store.Stats().Writes
		_, err := slow.Transact(context.Background(), insertion("jobs", "last", "one"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		Expect(p.Store.Stats().Writes - before).To(Equal(1))
	})

	It("is used no more once the store answers directly again", func() {
		direct := platform.NewStore(p.Address(), "self")
		s := relay.NewStore(direct, links, &log)
		server.Close()
		outcome, err := s.Transact(ctx, insertion("jobs", "a", "one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Applied).To(BeTrue())
	})

	It("carries out nothing but insertions into the allowed tables", func() {
		s := relay.NewStore(refusing, links, &log)
		_, err := s.Transact(ctx, insertion("lead", "planner", "mine"))
		Expect(errors.Is(err, store.ErrInvalid)).To(BeTrue(), "%v", err)
		update := insertion("jobs", "a", "one")
		update.Expect[0].Version = 3
		_, err = s.Transact(ctx, update)
		Expect(errors.Is(err, store.ErrRefused)).To(BeTrue(), "%v", err)
		Expect(p.Store.Rows("lead")).To(BeEmpty())
		Expect(p.Store.Rows("jobs")).To(BeEmpty())
	})

	It("has refused a call only if neither way can have carried it out", func() {
		links.SetPeers([]netip.AddrPort{peerWith(refusing)})
		_, err := relay.NewStore(refusing, links, &log).Transact(ctx, insertion("jobs", "a", "one"))
		Expect(errors.Is(err, store.ErrRefused)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, store.ErrUnanswered)).To(BeFalse())

		open := brokenStore{err: store.ErrUnanswered}
		_, err = relay.NewStore(open, links, &log).Transact(ctx, insertion("jobs", "a", "one"))
		Expect(errors.Is(err, store.ErrUnanswered)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, store.ErrRefused)).To(BeFalse())

		other := relay.NewLinks()
		other.SetPeers([]netip.AddrPort{peerWith(open)})
		_, err = relay.NewStore(refusing, other, &log).Transact(ctx, insertion("jobs", "a", "one"))
		Expect(errors.Is(err, store.ErrUnanswered)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, store.ErrRefused)).To(BeFalse())
	})

	It("has an unknown outcome when the peer breaks off", func() {
		links.SetPeers([]netip.AddrPort{peerWith(brokenStore{err: store.ErrRefused, delay: time.Minute})})
		time.AfterFunc(100*time.Millisecond, server.CloseClientConnections)
		_, err := relay.NewStore(refusing, links, &log).Transact(ctx, insertion("jobs", "a", "one"))
		Expect(errors.Is(err, store.ErrUnanswered)).To(BeTrue(), "%v", err)
	})

	It("is reached through another peer when one is gone", func() {
		good := peerWith(platform.NewStore(p.Address(), "peer"))
		links.SetPeers([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), good})
		s := relay.NewStore(refusing, links, &log)
		Eventually(func() error {
			_, err := s.Transact(ctx, insertion("jobs", "a", "one"))
			return err
		}, 2*time.Second).Should(Succeed())
		// From then on the good peer is preferred.
		for range 10 {
			_, err := s.Range(ctx, store.Span{Table: "jobs"}, 1)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("survives messages that cannot be read", func() {
		conn, response, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http")+relay.Path, nil)
		Expect(err).NotTo(HaveOccurred())
		if response.Body != nil {
			defer func() { _ = response.Body.Close() }()
		}
		Expect(conn.Write(ctx, websocket.MessageBinary, []byte{0xff, 0x00})).To(Succeed())
		_, _, err = conn.Read(ctx)
		Expect(err).To(HaveOccurred())
		_, err = relay.NewStore(refusing, links, &log).Transact(ctx, insertion("jobs", "a", "one"))
		Expect(err).NotTo(HaveOccurred())
	})
})

// FuzzDecode checks that Decode does not panic on arbitrary bytes.
func FuzzDecode(f *testing.F) {
	seed, _ := cbor.Marshal(wire.Request{Number: 1, Operation: wire.Insert, Table: "jobs", Name: "a", Value: []byte("x")})
	f.Add(seed)
	f.Add([]byte{0xa1, 0x66})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = relay.Decode(data)
	})
}

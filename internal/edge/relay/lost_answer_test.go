package relay_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/edge/relay"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/platform"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// losingStore carries out every call and loses the answer to the first insertion and to
// the first read of the row "lost".
type losingStore struct {
	store.Store
	insertions, lostReads atomic.Int32
}

func (s *losingStore) Transact(ctx context.Context, change store.Change) (store.Outcome, error) {
	outcome, err := s.Store.Transact(ctx, change)
	if s.insertions.Add(1) == 1 {
		<-ctx.Done()
		return store.Outcome{}, store.ErrUnanswered
	}
	return outcome, err
}

func (s *losingStore) Range(ctx context.Context, span store.Span, limit int) (store.Rows, error) {
	if span.From == "lost" && s.lostReads.Add(1) == 1 {
		<-ctx.Done()
		return store.Rows{}, store.ErrUnanswered
	}
	return s.Store.Range(ctx, span, limit)
}

// Guards against calls that are not repeated, or whose repeats are thrown away, since
// other answers on the same link count as their progress.
var _ = Describe("a call through a peer whose answer is lost", func() {
	// repeatedWithin is well below the time after which a call without an answer is
	// given up.
	const repeatedWithin = 400 * time.Millisecond
	var (
		losing *losingStore
		client *store.Client
		ctx    context.Context
	)

	BeforeEach(func() {
		p, err := fake.New(1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		log := zerolog.Nop()
		losing = &losingStore{Store: platform.NewStore(p.Address(), "peer")}
		peer := httptest.NewServer(relay.Handler(relay.NewServer(losing, []string{"jobs"}, nil, &log)))
		DeferCleanup(peer.Close)
		links := relay.NewLinks()
		links.SetPeers([]netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(peer.URL, "http://"))})
		client = store.NewClient(relay.NewStore(brokenStore{err: store.ErrRefused}, links, &log), &metrc.NewEntry().Store)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		_, err = client.Read(ctx, store.Key{Table: "jobs", Name: "first"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("is repeated soon if it inserts", func() {
		begin := time.Now()
		_, err := client.Insert(ctx, store.Row{Key: store.Key{Table: "jobs", Name: "a"}, Value: []byte("1")}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically("<", repeatedWithin))
	})

	It("is repeated soon if it reads, beside other calls on the link", func() {
		for range 8 {
			go func() {
				for ctx.Err() == nil {
					_, _ = client.Read(ctx, store.Key{Table: "jobs", Name: "other"})
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		_, err := client.Read(ctx, store.Key{Table: "jobs", Name: "lost"})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically("<", repeatedWithin))
	})
})

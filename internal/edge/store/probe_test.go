package store_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// serialStore carries out the changes one after the other, as the platform does with
// those of one part, each for the given time. Reads take the same time side by side.
type serialStore struct {
	store.Store
	part    sync.Mutex
	took    atomic.Int64
	changes atomic.Int32
}

func (s *serialStore) Transact(ctx context.Context, change store.Change) (store.Outcome, error) {
	s.changes.Add(1)
	s.part.Lock()
	defer s.part.Unlock()
	time.Sleep(time.Duration(s.took.Load()))
	return s.Store.Transact(ctx, change)
}

func (s *serialStore) Range(ctx context.Context, span store.Span, limit int) (store.Rows, error) {
	time.Sleep(time.Duration(s.took.Load()))
	return s.Store.Range(ctx, span, limit)
}

// Pattern: the store turns slow at once, and each repeat of a change holds up the
// changes behind it, those that start urgent gangs among them.
var _ = Describe("a change to a store that has turned slow", func() {
	var s *serialStore
	var writer *store.FencedWriter
	BeforeEach(func() {
		s = &serialStore{Store: newServer().backend}
		writer = store.NewFencedWriter(store.NewClient(s, &metrc.NewEntry().Store), named("writer"), 0)
		_, err := writer.Apply(context.Background(), store.Change{}, numbered("before"))
		Expect(err).NotTo(HaveOccurred())
		s.changes.Store(0)
		s.took.Store(int64(500 * time.Millisecond))
	})

	It("is not repeated while the store is slow to say what became of it", func() {
		for range 2 {
			_, err := writer.Apply(context.Background(), store.Change{}, numbered("slow"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.changes.Load()).To(BeEquivalentTo(2))
	})
})

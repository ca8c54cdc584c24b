package quota_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// testPool returns workers of 8 accelerators in two failure domains, with two
// racks in each domain and two workers in each rack.
func testPool() *block.Pool {
	var workers []block.Worker
	for d := range 2 {
		for r := range 2 {
			for w := range 2 {
				workers = append(workers, block.Worker{
					ID: fmt.Sprintf("worker-%d%d%d", d, r, w), Domain: fmt.Sprintf("domain-%d", d),
					Rack: fmt.Sprintf("rack-%d%d", d, r), Total: block.Full(8),
				})
			}
		}
	}
	return block.NewPool(workers)
}

var pair = block.Shape{Tasks: 2, Accelerators: 8, Adjacent: true}

var _ = Describe("the ledger", func() {
	It("keeps an adjacent block in one rack, also when one of its workers was unusable while in use", func() {
		pool := testPool()
		l := quota.New(pool, []quota.Guarantee{{Team: "acoustics", Count: 1, Block: pair}})
		Expect(l.Reserve(pool.Totals())).To(BeEmpty())
		allocation, ok := l.FindUnused("acoustics", block.Shape{Tasks: 1, Accelerators: 8}, pool.Totals())
		Expect(ok).To(BeTrue())
		l.Allocate(allocation)
		lost := allocation.Places()[0].Worker

		usable := pool.Totals()
		usable[lost] = 0
		Expect(l.Reserve(usable)).To(HaveLen(1))
		l.Release(allocation)
		Expect(l.Reserve(pool.Totals())).To(BeEmpty())
		full, ok := l.FindUnused("acoustics", pair, pool.Totals())
		Expect(ok).To(BeTrue())
		places := full.Places()
		Expect(pool.Workers[places[0].Worker].Rack).To(Equal(pool.Workers[places[1].Worker].Rack))
	})

	It("moves only the reservations that are on unusable accelerators", func() {
		pool := testPool()
		l := quota.New(pool, []quota.Guarantee{{Team: "a", Count: 2, Block: block.Shape{Tasks: 1, Accelerators: 8}}})
		l.Reserve(pool.Totals())
		before := l.Reserved()
		usable := pool.Totals()
		lost := -1
		for i, m := range before {
			if m != 0 {
				usable[i], lost = 0, i
				break
			}
		}
		Expect(l.Reserve(usable)).To(BeEmpty())
		after := l.Reserved()
		Expect(after[lost]).To(BeZero())
		kept := 0
		for i := range before {
			if before[i] != 0 && before[i] == after[i] {
				kept++
			}
		}
		Expect(kept).To(Equal(1))
	})

	It("names a guarantee that the loss of a failure domain makes unformable", func() {
		pool := testPool()
		fits := quota.New(pool, []quota.Guarantee{{Team: "a", Count: 2, Block: pair}})
		fits.Reserve(pool.Totals())
		_, _, ok := fits.ToleratesDomainLoss(pool.Totals())
		Expect(ok).To(BeTrue())

		tight := quota.New(pool, []quota.Guarantee{{Team: "a", Count: 3, Block: pair}})
		tight.Reserve(pool.Totals())
		missing, domain, ok := tight.ToleratesDomainLoss(pool.Totals())
		Expect(ok).To(BeFalse())
		Expect(domain).NotTo(BeEmpty())
		Expect(missing.Team).To(Equal("a"))
	})

	It("adopts a running gang only if its places fit into the guarantee", func() {
		pool := testPool()
		l := quota.New(pool, []quota.Guarantee{{Team: "a", Count: 1, Block: pair}})
		_, ok := l.Adopt("a", []block.Place{{Worker: 0, Mask: block.Full(8)}, {Worker: 4, Mask: block.Full(8)}})
		Expect(ok).To(BeFalse())
		allocation, ok := l.Adopt("a", []block.Place{{Worker: 4, Mask: block.Full(8)}})
		Expect(ok).To(BeTrue())
		Expect(allocation.Places()).To(HaveLen(1))
		Expect(l.Reserve(pool.Totals())).To(BeEmpty())
		Expect(l.Reserved()[5]).To(Equal(block.Full(8)))
	})
})

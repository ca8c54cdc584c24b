package membr_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/membr"
)

var now = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

const bound = 200 * time.Millisecond

func hosts(n int) []membr.Host {
	list := make([]membr.Host, n)
	for i := range list {
		list[i] = membr.Host{ID: fmt.Sprintf("entry-%d", i), ExpiresAt: now.Add(time.Second)}
	}
	return list
}

var _ = Describe("shard ownership", func() {
	It("is proposed to exactly one live host, whatever the order of the hosts", func() {
		list := hosts(8)
		for i := range 21 {
			shard := fmt.Sprintf("shard-%d", i)
			first := membr.PreferredOwner(now, shard, list, bound)
			Expect(first).NotTo(BeEmpty())
			reversed := hosts(8)
			for a, b := 0, 7; a < b; a, b = a+1, b-1 {
				reversed[a], reversed[b] = reversed[b], reversed[a]
			}
			Expect(membr.PreferredOwner(now, shard, reversed, bound)).To(Equal(first))
		}
	})

	It("moves only the shards of a host that leaves", func() {
		all, rest := hosts(8), hosts(7)
		for i := range 100 {
			shard := fmt.Sprintf("shard-%d", i)
			before := membr.PreferredOwner(now, shard, all, bound)
			if before != "entry-7" {
				Expect(membr.PreferredOwner(now, shard, rest, bound)).To(Equal(before))
			}
		}
	})

	It("is not proposed to hosts that are stopping or whose session has expired", func() {
		list := hosts(3)
		list[0].Stopping = true
		list[1].ExpiresAt = now.Add(-time.Second)
		Expect(membr.PreferredOwner(now, "any", list, bound)).To(Equal("entry-2"))
	})

	It("is not free before the lease has been expired for longer than the clock bound", func() {
		lease := membr.Lease{Shard: "s", Owner: "entry-9", ExpiresAt: now.Add(-bound)}
		Expect(membr.Free(now, lease, bound)).To(BeFalse())
		Expect(membr.Free(now.Add(time.Millisecond), lease, bound)).To(BeTrue())
		Expect(membr.Free(now, membr.Lease{Shard: "s"}, bound)).To(BeTrue())
	})
})

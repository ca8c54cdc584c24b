package confg_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/confg"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

var now = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func ago(seconds float64) time.Time {
	return now.Add(-time.Duration(seconds * float64(time.Second)))
}

var policy = confg.FreshnessPolicy{StaleAfter: 2500 * time.Millisecond, OutageAfter: 10 * time.Minute}

var _ = DescribeTable("whether a host may make decisions",
	func(tableSeen float64, live int, want bool, peers ...confg.PeerReport) {
		until, reason := policy.FreshUntil(now, ago(tableSeen), live, peers)
		Expect(until.After(now)).To(Equal(want), reason)
		if !want {
			Expect(reason).NotTo(BeEmpty())
		}
	},
	Entry("the store answers", 0.1, 3, true),
	Entry("neither the store nor a peer answers", 3.0, 3, false),
	Entry("a reachable peer reaches the store", 3.0, 3, true,
		confg.PeerReport{AsOf: ago(0.1), TableSeenAt: ago(0.2)}),
	Entry("a peer that reached the store no longer answers", 3.0, 2, false,
		confg.PeerReport{AsOf: ago(3), TableSeenAt: ago(3)}),
	Entry("all peers are reachable and none reaches the store", 60.0, 3, true,
		confg.PeerReport{AsOf: ago(0.1), TableSeenAt: ago(60)}, confg.PeerReport{AsOf: ago(0.3), TableSeenAt: ago(61)}),
	Entry("one of the peers is not reachable", 60.0, 3, false,
		confg.PeerReport{AsOf: ago(0.1), TableSeenAt: ago(60)}),
	Entry("the outage lasts too long", 700.0, 2, false,
		confg.PeerReport{AsOf: ago(0.1), TableSeenAt: ago(700)}),
	Entry("the only host during an outage", 60.0, 1, true),
)

func workers() []sched.Worker {
	var list []sched.Worker
	for i := range 8 {
		list = append(list, sched.Worker{ID: fmt.Sprint(i), Domain: fmt.Sprintf("d%d", i%2), Rack: "r", Accelerators: 8})
	}
	return list
}

func document(count int, domains ...string) schema.ConfigDocument {
	return schema.ConfigDocument{
		Shards: []schema.ShardSpec{{Name: "s", Domains: domains}},
		Teams: []schema.TeamStatus{{Name: "t", Guarantee: []schema.GuaranteeBlock{
			{Shard: "s", Count: count, Tasks: 1, Accelerators: 8},
		}}},
	}
}

var _ = Describe("a configuration document", func() {
	It("is accepted when its guarantees can be formed after the loss of a failure domain", func() {
		Expect(confg.Check(document(4, "d0", "d1"), workers())).To(Succeed())
	})

	It("is refused when they cannot, unless the document accepts that", func() {
		d := document(5, "d0", "d1")
		Expect(confg.Check(d, workers())).To(MatchError(confg.ErrUnformable))
		d.AcceptUnformableAfterDomainLoss = true
		Expect(confg.Check(d, workers())).To(Succeed())
	})

	It("is refused when they cannot be formed with all failure domains in service", func() {
		d := document(9, "d0", "d1")
		d.AcceptUnformableAfterDomainLoss = true
		Expect(confg.Check(d, workers())).To(MatchError(confg.ErrUnformable))
	})

	DescribeTable("is refused when it contradicts itself", func(change func(*schema.ConfigDocument)) {
		d := document(1, "d0", "d1")
		change(&d)
		Expect(confg.Check(d, workers())).To(MatchError(confg.ErrInvalidDocument))
	},
		Entry("no shard", func(d *schema.ConfigDocument) { d.Shards = nil }),
		Entry("a domain in two shards", func(d *schema.ConfigDocument) {
			d.Shards = append(d.Shards, schema.ShardSpec{Name: "other", Domains: []string{"d0"}})
		}),
		Entry("an unknown shard", func(d *schema.ConfigDocument) { d.Teams[0].Guarantee[0].Shard = "x" }),
		Entry("an empty block", func(d *schema.ConfigDocument) { d.Teams[0].Guarantee[0].Count = 0 }),
		Entry("a team twice", func(d *schema.ConfigDocument) { d.Teams = append(d.Teams, d.Teams[0]) }),
	)

	It("lists the shards that can run a job", func() {
		shards, err := confg.CheckJob(document(1, "d0", "d1"), schema.JobSpec{Tasks: 8, Accelerators: 8}, workers())
		Expect(err).NotTo(HaveOccurred())
		Expect(shards).To(Equal([]string{"s"}))
		_, err = confg.CheckJob(document(1, "d0", "d1"), schema.JobSpec{Tasks: 1, Accelerators: 9}, workers())
		Expect(err).To(MatchError(ContainSubstring("1 tasks of 9 accelerators")))
	})
})

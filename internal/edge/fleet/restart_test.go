package fleet_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/platform/fake"
)

var _ = Describe("a host that starts again", func() {
	var (
		p      *fake.Platform
		caller fake.Caller
	)
	ctx := context.Background()
	submit := func(h *testHost, number int) int {
		job := newJob(p, number)
		status, _ := caller.Call(ctx, h.callers, http.MethodPost, job.ID, fake.Submission(job), callTimeout)
		return status
	}
	configure := func(version int64, key string) {
		p.Configure(rules.Config{
			Version: version, Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: "bells", EnforcesCapacity: true}},
			Teams: []rules.Team{{Name: "parish", Keys: []string{key}}},
		})
	}

	BeforeEach(func() {
		var err error
		p, err = fake.New(1, 300*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		caller = fake.Caller{Queue: queue, Key: "key-1", HTTP: &http.Client{}}
		configure(1, "key-1")
		Expect(p.AddWorkers(6, "bells", "hall-a")).To(Succeed())
		earlier := startHost(p, "one")
		Eventually(func() int { return submit(earlier, 1) }, 5*time.Second).Should(Equal(http.StatusOK))
		earlier.stop()
		Eventually(earlier.done, 8*time.Second).Should(BeClosed())
	})

	// Guards against a withdrawn key that a new process accepts.
	DescribeTable("never accepts a key that was revoked before", func(dropHistory bool) {
		configure(2, "key-2")
		if dropHistory {
			p.Store.DropHistory()
		}
		one := startHost(p, "one")
		statuses := map[int]int{}
		for begin := time.Now(); time.Since(begin) < time.Second; time.Sleep(5 * time.Millisecond) {
			statuses[submit(one, 2)]++
		}
		Expect(statuses).To(HaveKey(http.StatusUnauthorized))
		Expect(statuses).NotTo(HaveKey(http.StatusOK))
	},
		Entry("with the store's history", false),
		Entry("after the store has dropped its history", true),
	)

	// Guards against a worker that left and that a new process uses again.
	It("uses no worker that left before", func() {
		var left []string
		p.WithLock(func() { left = p.Pool.IDs()[:4] })
		for _, id := range left {
			p.Store.Remove("servers", id)
		}
		p.Store.DropHistory()
		one := startHost(p, "one")
		for number := 2; number < 6; number++ {
			Eventually(func() int { return submit(one, number) }, 5*time.Second).Should(Equal(http.StatusOK))
		}
		Consistently(func() int {
			running := 0
			p.WithLock(func() {
				for _, id := range left {
					running += p.Pool.Worker(id).Running()
				}
			})
			return running
		}, 1500*time.Millisecond, 10*time.Millisecond).Should(BeZero())
	})
})

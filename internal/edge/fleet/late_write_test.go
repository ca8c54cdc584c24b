package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// Guards against a job that starts after its DELETE was answered with 410: its submission
// got no answer while the store was silent, and the store carries the write out after the
// DELETE.
var _ = Describe("a job that is cancelled while its write is under way", func() {
	const (
		// silence is longer than a caller waits.
		silence = callTimeout + 200*time.Millisecond
		// startWait is what the leader takes to start a job that is stored right after the
		// silence, when its feed may be late, and half as much again.
		startWait = 2500 * time.Millisecond
	)
	var (
		p        *fake.Platform
		caller   fake.Caller
		one, two *testHost
	)
	ctx := context.Background()
	call := func(h *testHost, method string, job record.Job) int {
		var body any
		if method == http.MethodPost {
			body = fake.Submission(job)
		}
		status, _ := caller.Call(ctx, h.callers, method, job.ID, body, callTimeout)
		return status
	}
	started := func(job record.Job) func() bool {
		return func() bool {
			found := false
			p.WithLock(func() { _, found = p.Pool.FirstStart(job.ID) })
			return found
		}
	}
	newHost := func(name string) *testHost {
		h := startHost(p, name)
		Eventually(func() int { return call(h, http.MethodPost, newJob(p, 1)) }, 5*time.Second).Should(Equal(http.StatusOK))
		return h
	}
	// loseSubmissions submits jobs to a host while the store is silent, and keeps the writes.
	loseSubmissions := func(h *testHost, jobs ...record.Job) {
		p.Store.SetFaults(fake.StoreFaults{Silent: true, KeepWrites: true})
		begin := time.Now()
		var calls sync.WaitGroup
		for _, job := range jobs {
			p.RegisterJob(job)
			calls.Go(func() {
				defer GinkgoRecover()
				Expect(call(h, http.MethodPost, job)).To(Equal(http.StatusGatewayTimeout))
			})
		}
		calls.Wait()
		time.Sleep(silence - time.Since(begin))
		p.Store.SetFaults(fake.StoreFaults{})
	}
	// cancel sends a DELETE until it is acknowledged.
	cancel := func(h *testHost, job record.Job) {
		Eventually(func() int { return call(h, http.MethodDelete, job) }, 5*time.Second, 20*time.Millisecond).
			Should(Equal(http.StatusGone))
	}

	BeforeEach(func() {
		var err error
		p, err = fake.New(1, 300*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		caller = fake.Caller{Queue: queue, Key: "key-1", HTTP: &http.Client{}}
		p.Configure(rules.Config{
			Version: 1, Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: "bells", EnforcesCapacity: true}},
			Teams: []rules.Team{{Name: "parish", Keys: []string{"key-1"}, Guaranteed: 8}},
		})
		Expect(p.AddWorkers(6, "bells", "hall-a", "hall-b")).To(Succeed())
		one = newHost("one")
		two = newHost("two")
	})

	AfterEach(func() {
		p.WithLock(func() { Expect(p.Pool.Problems()).To(BeEmpty()) })
	})

	It("starts nothing, whatever its form", func() {
		single := record.Step{Tasks: 2, EstimateMillis: 300, Need: record.Amount{MilliCores: 1000, MemoryMB: 100}}
		gang, second, lasting := single, single, single
		gang.Gang, second.After, lasting.Perpetual = true, []int{0}, true
		jobs := []record.Job{
			{Steps: []record.Step{single}}, {Steps: []record.Step{gang}}, {Steps: []record.Step{single, second}},
			{Steps: []record.Step{lasting}},
			{Steps: []record.Step{single}, Occurrences: 3, IntervalMillis: 100, FirstDueAt: time.Now()},
		}
		for i := range jobs {
			jobs[i].ID, jobs[i].Payload = fmt.Sprintf("%016x", 70+i), "bell"
		}
		loseSubmissions(one, jobs...)
		for _, job := range jobs {
			cancel(two, job)
		}
		kept, _ := p.Store.CarryOutKept()
		Expect(kept).To(BeNumerically(">=", len(jobs)))
		Consistently(func() []string {
			var begun []string
			for _, job := range jobs {
				if started(job)() {
					begun = append(begun, job.ID)
				}
			}
			return begun
		}, startWait).Should(BeEmpty())
		for _, job := range jobs {
			Eventually(func() int {
				_, status := caller.State(ctx, one.callers, job.ID, callTimeout)
				return status
			}, 5*time.Second).Should(Equal(http.StatusGone))
		}
	})

	DescribeTable("starts nothing, whatever happens before the write is carried out", func(between func(record.Job)) {
		job := newJob(p, 78)
		loseSubmissions(one, job)
		between(job)
		p.Store.CarryOutKept()
		Consistently(started(job), startWait).Should(BeFalse())
	},
		Entry("the DELETE comes to the host that took the job", func(job record.Job) { cancel(one, job) }),
		Entry("the DELETE is repeated", func(job record.Job) {
			cancel(two, job)
			cancel(one, job)
		}),
		Entry("the leader stops", func(job record.Job) {
			cancel(two, job)
			one.stop()
			Eventually(one.done, 8*time.Second).Should(BeClosed())
		}),
		Entry("all hosts start again", func(job record.Job) {
			cancel(two, job)
			for _, h := range []*testHost{one, two} {
				h.stop()
				Eventually(h.done, 8*time.Second).Should(BeClosed())
			}
			newHost("one")
			newHost("two")
		}),
		Entry("the store drops its history", func(job record.Job) {
			cancel(two, job)
			p.Store.DropHistory()
		}),
	)

	// Guards against the same job when no write is late: its submission arrives once more
	// after the DELETE, as after an answer that was lost or from a host that was frozen.
	It("is refused when it is submitted again", func() {
		job := newJob(p, 79)
		cancel(two, job)
		Expect(call(one, http.MethodPost, job)).To(Equal(http.StatusServiceUnavailable))
		Expect(call(two, http.MethodPost, job)).To(Equal(http.StatusServiceUnavailable))
		Consistently(started(job), startWait).Should(BeFalse())
		cancel(one, job)
	})

	It("is cancelled through a peer", func() {
		path := newStorePath(p)
		cut := startHostWithStore(path.address, "cut", 10*time.Second)
		Eventually(func() int { return call(cut, http.MethodPost, newJob(p, 2)) }, 5*time.Second).Should(Equal(http.StatusOK))
		Eventually(registered(p, "cut"), 5*time.Second).Should(BeTrue())
		job := newJob(p, 80)
		loseSubmissions(one, job)
		path.silent.Store(true)
		cancel(cut, job)
		p.Store.CarryOutKept()
		Consistently(started(job), startWait).Should(BeFalse())
		Expect(call(cut, http.MethodPost, job)).To(Equal(http.StatusServiceUnavailable))
	})

	It("is accepted if its cancellation was for another job", func() {
		cancel(two, newJob(p, 81))
		job := newJob(p, 82)
		Expect(call(one, http.MethodPost, job)).To(Equal(http.StatusOK))
		Eventually(started(job), 3*time.Second).Should(BeTrue())
	})
})

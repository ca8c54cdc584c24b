package fleet_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/edge/clock"
	"github.com/rattanshore/rattanshore/internal/edge/fleet"
	"github.com/rattanshore/rattanshore/internal/wire/record"
	"github.com/rattanshore/rattanshore/platform"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// pausableClock keeps whoever asks for the time waiting during a pause. As the
// planner does nothing without knowing the time, that pauses it, while answers to
// its calls arrive.
type pausableClock struct {
	steady *clock.Clock
	mu     sync.RWMutex
}

func (c *pausableClock) Now() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.steady.Now()
}

// pause pauses whoever asks for the time, and calls during meanwhile.
func (c *pausableClock) pause(length time.Duration, during func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	during()
	time.Sleep(length)
}

// watchedWorkers counts the starts and the renewals of leases.
type watchedWorkers struct {
	fleet.Workers
	mu    sync.Mutex
	count int
}

func (w *watchedWorkers) add() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
}

func (w *watchedWorkers) granted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

func (w *watchedWorkers) Start(ctx context.Context, cmd plan.StartCmd) plan.StartMsg {
	w.add()
	return w.Workers.Start(ctx, cmd)
}

func (w *watchedWorkers) Poll(ctx context.Context, cmd plan.PollCmd) plan.PollMsg {
	if !cmd.LeaseUntil.IsZero() {
		w.add()
	}
	return w.Workers.Poll(ctx, cmd)
}

var _ = Describe("a leader that was paused", func() {
	// pause is longer than a successor allows an earlier leader to act, and shorter
	// than a lease.
	const pause = 3 * time.Second
	var (
		p       *fake.Platform
		leader  *pausableClock
		workers *watchedWorkers
		host    *testHost
		caller  fake.Caller
		job     record.Job
	)
	ctx := context.Background()

	BeforeEach(func() {
		var err error
		p, err = fake.New(1, 6*time.Second)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		p.Configure(rules.Config{
			Version: 1, Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: "bells", EnforcesCapacity: true}},
			Teams: []rules.Team{{Name: "parish", Keys: []string{"key-1"}}},
		})
		Expect(p.AddWorkers(6, "bells", "hall-a")).To(Succeed())
		leader = &pausableClock{steady: clock.New()}
		workers = &watchedWorkers{Workers: platform.NewWorkers(leader.steady.Now)}
		host = startHostWithClock(p.Address(), "one", 4*time.Second, leader.Now, workers)
		caller = fake.Caller{Queue: queue, Key: "key-1", HTTP: &http.Client{}}
		job = newJob(p, 1)
		Eventually(func() int {
			status, _ := caller.Call(ctx, host.callers, http.MethodPost, job.ID, fake.Submission(job), callTimeout)
			return status
		}, 5*time.Second).Should(Equal(http.StatusOK))
		Eventually(func() int {
			running := 0
			p.WithLock(func() {
				for _, id := range p.Pool.IDs() {
					running += p.Pool.Worker(id).Running()
				}
			})
			return running
		}, 3*time.Second).Should(Equal(3))
	})

	AfterEach(func() {
		p.WithLock(func() { Expect(p.Pool.Problems()).To(BeEmpty()) })
	})

	// Guards against a task that runs twice: the successor counts on the leases of a
	// worker that it does not reach to be over, and the paused leader renews them.
	It("renews no lease before it has found out whether another host leads", func() {
		granted := 0
		leader.pause(pause, func() {
			successor, err := cbor.Marshal(record.Leader{Host: "two", Incarnation: "other", Epoch: 9, RenewedAtMs: time.Hour.Milliseconds()})
			Expect(err).NotTo(HaveOccurred())
			p.Store.Put("lead", "planner", successor)
			time.Sleep(100 * time.Millisecond)
			granted = workers.granted()
		})
		Consistently(workers.granted, time.Second, 10*time.Millisecond).Should(Equal(granted))
	})

	It("goes on when no other host has taken over", func() {
		granted := 0
		leader.pause(pause, func() { granted = workers.granted() })
		Eventually(workers.granted, time.Second, 10*time.Millisecond).Should(BeNumerically(">", granted))
		Eventually(func() string {
			state, _ := caller.State(ctx, host.callers, job.ID, callTimeout)
			return state
		}, 8*time.Second).Should(Equal("completed"))
		p.WithLock(func() { Expect(p.Pool.Starts(plan.TaskID{Job: job.ID})).To(Equal(1)) })
	})
})

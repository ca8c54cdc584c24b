package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// runsToEnd is the longest run that may have to end on the workers claimed for a
// gang, with what that run may exceed its estimate by.
const runsToEnd = 14 * time.Second

const (
	// maxWait is the promised limit, behind other work that is not urgent, for a
	// gang that fits on the usable workers.
	maxWait = plan.OverdueAfter + runsToEnd
	// maxWaitBehindUrgent is the limit behind work of any kind.
	maxWaitBehindUrgent = plan.StarvedAfter + runsToEnd
)

// Each spec describes a load pattern in which some gang must not wait for ever.
var _ = Describe("a gang that fits", func() {
	// wholeWorkers returns a gang whose tasks need a worker each.
	wholeWorkers := func(tasks int, estimate time.Duration) record.Step {
		s := gangStep(tasks, 8)
		s.EstimateMillis = estimate.Milliseconds()
		return s
	}

	// feedNarrow submits narrow gangs for all capacity and a tenth more, and urgent
	// gangs for a part of it, for the given time.
	feedNarrow := func(w *world, number *int, length time.Duration, urgentTasks int) {
		for end := w.now.Add(length); w.now.Before(end); {
			for range 2 {
				*number++
				w.submit(job(*number, "long", wholeWorkers(2+w.random.IntN(5), 9*time.Second)))
			}
			if urgentTasks > 0 {
				*number++
				w.submit(job(*number, "urgent", wholeWorkers(urgentTasks, 2500*time.Millisecond)))
			}
			w.run(1400 * time.Millisecond)
		}
	}
	const urgentTasks = 3
	feed := func(w *world, number *int, length time.Duration) {
		feedNarrow(w, number, length, urgentTasks)
	}

	narrowWork := func(w *world) func(plan.TaskID) time.Duration {
		return func(t plan.TaskID) time.Duration {
			if w.jobs[t.Job].Queue == "urgent" {
				return 2500 * time.Millisecond
			}
			return time.Duration(7+int(t.Job[15])%5) * time.Second
		}
	}

	// waited returns how long the job waited for its first start, so far if it
	// was not started.
	waited := func(w *world, id string) time.Duration {
		at, ok := w.FirstStart(id)
		if !ok {
			at = w.now
		}
		return at.Sub(w.jobs[id].SubmittedAt)
	}

	// Pattern: more narrow gangs arrive than fit, each on time for its deadline
	// while the wide gang is late. The runs on workers that are claimed for the
	// wide gang last longer than a claim did.
	DescribeTable("is placed in bounded time behind a stream of narrower gangs", func(seed uint64, size, urgent int, limit time.Duration) {
		w := newWorld(seed, 48)
		w.work = narrowWork(w)
		w.run(100 * time.Millisecond)
		number := 0
		feedNarrow(w, &number, 8*time.Second, urgent)
		wide := job(1<<20, "long", wholeWorkers(size, 9*time.Second))
		w.submit(wide)
		feedNarrow(w, &number, 60*time.Second, urgent)
		Expect(w.Problems()).To(BeEmpty())
		Expect(waited(w, wide.ID)).To(BeNumerically("<", limit))
	},
		Entry("half of all workers", uint64(1), 24, 0, maxWait),
		Entry("a third", uint64(2), 16, 0, maxWait),
		Entry("three quarters", uint64(3), 36, 0, maxWait),
		Entry("half of all workers, urgent gangs between", uint64(1), 24, urgentTasks, maxWaitBehindUrgent),
		Entry("a third, urgent gangs between", uint64(2), 16, urgentTasks, maxWaitBehindUrgent),
		Entry("three quarters, urgent gangs between", uint64(3), 36, urgentTasks, maxWaitBehindUrgent),
	)

	// Pattern: urgent gangs alone take all capacity as it becomes free.
	It("is placed in bounded time behind a stream of urgent gangs", func() {
		w := newWorld(1, 48)
		w.config.Version++
		w.config.Teams = []rules.Team{{Name: "acoustics", Guaranteed: 8}}
		w.send(plan.ConfigMsg{Config: w.config})
		w.work = narrowWork(w)
		w.run(100 * time.Millisecond)
		number := 0
		urgentOnly := func(length time.Duration) {
			for end := w.now.Add(length); w.now.Before(end); {
				number++
				w.submit(job(number, "urgent", wholeWorkers(3, 2500*time.Millisecond)))
				w.run(130 * time.Millisecond)
			}
		}
		urgentOnly(4 * time.Second)
		wide := job(1<<20, "long", wholeWorkers(20, 9*time.Second))
		w.submit(wide)
		urgentOnly(60 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(waited(w, wide.ID)).To(BeNumerically("<", maxWaitBehindUrgent))
	})

	// Pattern: the job's deadline has passed, and gangs that are on time keep
	// all workers busy.
	It("is placed in bounded time after its deadline", func() {
		w := newWorld(4, 48)
		w.work = narrowWork(w)
		w.run(100 * time.Millisecond)
		number := 0
		feed(w, &number, 8*time.Second)
		wide := job(1<<20, "long", wholeWorkers(20, 100*time.Millisecond))
		w.submit(wide)
		feed(w, &number, 60*time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(waited(w, wide.ID)).To(BeNumerically("<", maxWait))
	})

	// Pattern: workers of a claim leave one after the other.
	It("is placed in bounded time while workers that it has claimed leave", func() {
		w := newWorld(5, 60)
		w.work = narrowWork(w)
		w.run(100 * time.Millisecond)
		number := 0
		feed(w, &number, 8*time.Second)
		wide := job(1<<20, "long", wholeWorkers(20, 9*time.Second))
		w.submit(wide)
		for i := range 10 {
			feed(w, &number, 3*time.Second)
			entry := w.Worker(w.IDs()[i]).Entry
			entry.Draining, entry.Remaining = true, 4*time.Second
			w.send(plan.WorkersMsg{Changed: []plan.Worker{entry}})
		}
		feed(w, &number, 30*time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(waited(w, wide.ID)).To(BeNumerically("<", maxWait))
	})

	// Pattern: the free workers are claimed for an overdue gang that needs nearly
	// all of them, the others run what a team is guaranteed, and another team claims
	// its guarantee.
	It("gives up its claimed workers to a team within its guarantee", func() {
		w := newWorld(1, 12)
		w.config.Version++
		w.config.Teams = append(w.config.Teams, rules.Team{Name: "models", Guaranteed: 32})
		w.send(plan.ConfigMsg{Config: w.config})
		w.work = func(t plan.TaskID) time.Duration {
			if w.jobs[t.Job].Team == "models" {
				return time.Minute
			}
			return 2 * time.Second
		}
		w.run(100 * time.Millisecond)
		guaranteed := job(1, "urgent", wholeWorkers(4, 9*time.Second))
		guaranteed.Team = "models"
		w.submit(guaranteed)
		w.run(200 * time.Millisecond)
		w.submit(job(2, "long", wholeWorkers(10, 9*time.Second)))
		// By their estimates, the runs that the claim waits for are about to end,
		// so that nothing may use its free workers meanwhile.
		w.run(plan.StarvedAfter + 6*time.Second)
		urgent := job(3, "urgent", wholeWorkers(1, 2*time.Second))
		w.submit(urgent)
		w.run(plan.DefaultTiming().Reclaim)
		Expect(w.Problems()).To(BeEmpty())
		_, started := w.FirstStart(urgent.ID)
		Expect(started).To(BeTrue())
	})

	// Pattern: two gangs of the same shape, of which the first in order has to
	// leave room for urgent work and the second is past its deadline.
	It("is not passed over because another gang of its shape must leave headroom", func() {
		w := newWorld(1, 6)
		w.work = func(t plan.TaskID) time.Duration {
			if w.jobs[t.Job].Steps[0].Tasks == 6 {
				return 10 * time.Second
			}
			return 300 * time.Millisecond
		}
		w.run(100 * time.Millisecond)
		w.submit(job(1, "urgent", wholeWorkers(6, 10*time.Second)))
		w.run(100 * time.Millisecond)
		late := job(101, "patient", wholeWorkers(4, time.Millisecond))
		w.submit(late)
		w.run(9500 * time.Millisecond)
		early := job(100, "patient", wholeWorkers(4, 8*time.Second))
		w.submit(early)
		for i := range 8 {
			w.submit(job(i+2, "urgent", wholeWorkers(1, 300*time.Millisecond)))
		}
		w.run(1500 * time.Millisecond)
		Expect(w.Problems()).To(BeEmpty())
		_, earlyStarted := w.FirstStart(early.ID)
		_, lateStarted := w.FirstStart(late.ID)
		Expect(earlyStarted).To(BeFalse(), "the headroom was to stay free")
		Expect(lateStarted).To(BeTrue())
	})

	// Pattern: a gang that was not started yet is preempted, and the worker that is then
	// free leaves the list before the urgent gang is placed there.
	It("is not placed on a worker that has left since it was reserved", func() {
		w := newWorld(7, 2)
		w.run(100 * time.Millisecond)
		w.storeDown = true
		w.submit(job(1, "patient", wholeWorkers(2, 9*time.Second)))
		w.run(10 * time.Millisecond)
		urgent := job(2, "urgent", wholeWorkers(1, 2*time.Second))
		w.submit(urgent)
		for _, id := range w.IDs() {
			w.Crash(w.Worker(id))
			w.send(plan.WorkersMsg{Gone: []string{id}})
		}
		w.storeDown = false
		w.run(5 * time.Second)
		w.send(plan.WorkersMsg{Changed: []plan.Worker{w.addWorker("worker-09", "domain-0", "rack-0").Entry}})
		w.run(30 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(urgent.ID)).To(Equal(record.Completed))
	})

	// Pattern: the rack with a gang's data leaves while the others stay busy.
	It("is placed elsewhere when the rack with its data can't hold it", func() {
		w := newWorld(6, 48)
		w.work = narrowWork(w)
		w.run(100 * time.Millisecond)
		for i := range 6 {
			entry := w.Worker(w.IDs()[i]).Entry
			entry.Draining, entry.Remaining = true, time.Second
			w.send(plan.WorkersMsg{Changed: []plan.Worker{entry}})
		}
		number := 0
		feed(w, &number, 8*time.Second)
		near := wholeWorkers(3, 9*time.Second)
		near.NearRack = "rack-0"
		nearJob := job(1<<20, "long", near)
		w.submit(nearJob)
		feed(w, &number, 50*time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(waited(w, nearJob.ID)).To(BeNumerically("<", maxWait))
	})
})

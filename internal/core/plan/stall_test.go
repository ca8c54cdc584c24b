package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

var _ = Describe("a run without progress", func() {
	// Pattern: tasks on one worker stand still while an urgent gang, which has
	// little slack, has a member there.
	It("is started elsewhere soon if it is urgent", func() {
		w := newWorld(1, 12)
		w.work = func(plan.TaskID) time.Duration { return 2500 * time.Millisecond }
		w.run(100 * time.Millisecond)
		urgent := gangStep(4, 8)
		urgent.EstimateMillis = 2500
		j := job(1, "urgent", urgent)
		w.submit(j)
		w.run(time.Second)
		task := plan.TaskID{Job: j.ID}
		for _, id := range w.IDs() {
			w.Worker(id).Hung = w.Worker(id).Running() > 0
		}
		hungAt := w.now
		for w.Starts(task) < 2 && w.now.Sub(hungAt) < 5*time.Second {
			w.run(20 * time.Millisecond)
		}
		Expect(w.now.Sub(hungAt)).To(BeNumerically("<", 2*time.Second))
		w.run(4 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// Pattern: tasks on a worker stand still from their start. The gang of 2.5 s has 1.5 s
	// of slack, in which the stall has to be noticed, the members stopped and started again.
	It("is started elsewhere within the slack of a short urgent gang", func() {
		w := newWorld(1, 12)
		w.work = func(plan.TaskID) time.Duration { return 2500 * time.Millisecond }
		w.run(100 * time.Millisecond)
		urgent := gangStep(4, 8)
		urgent.EstimateMillis = 2500
		j := job(1, "urgent", urgent)
		w.submit(j)
		w.run(50 * time.Millisecond)
		for _, id := range w.IDs() {
			w.Worker(id).Hung = w.Worker(id).Running() > 0
		}
		w.run(1450 * time.Millisecond)
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(2))
		Expect(w.Problems()).To(BeEmpty())
	})

	// A percent of a task of hours takes minutes.
	It("is left alone as long as its length explains it", func() {
		w := newWorld(1, 2)
		w.work = func(plan.TaskID) time.Duration { return 10 * time.Hour }
		w.run(100 * time.Millisecond)
		long := step(1, 8)
		long.EstimateMillis = (10 * time.Hour).Milliseconds()
		j := job(1, "long", long)
		w.submit(j)
		w.run(time.Minute)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
	})

	// The worker makes no progress while it is paused, and says so when it wakes.
	DescribeTable("is left alone if its worker was only silent for a while", func(silence time.Duration) {
		w := newWorld(1, 12)
		w.work = func(plan.TaskID) time.Duration { return 6 * time.Second }
		w.run(100 * time.Millisecond)
		s := gangStep(3, 8)
		s.EstimateMillis = 6000
		j := job(1, "long", s)
		w.submit(j)
		w.run(2 * time.Second)
		paused := func(yes bool) {
			for _, id := range w.IDs() {
				f := w.Worker(id)
				f.Unreachable, f.Hung = yes && f.Running() > 0, yes && f.Running() > 0
			}
		}
		paused(true)
		w.run(silence)
		paused(false)
		w.run(12 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
	},
		Entry("half a second", 500*time.Millisecond),
		Entry("a second", time.Second),
		Entry("two seconds", 2*time.Second),
		Entry("three seconds", 3*time.Second),
	)
})

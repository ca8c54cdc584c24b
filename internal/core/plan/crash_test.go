package plan_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/fakes/pool"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Guards against BUDGET breaking as in docs/incidents/budget.md: a task crashed each
// worker that started it, and was started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, newName := range map[string]bool{"same identifier": false, "another identifier": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 12)
			w.newName = func() bool { return newName }
			w.run(100 * time.Millisecond)
			crashing := job(1, "long", step(1, 2))
			w.crashing[plan.TaskID{Job: crashing.ID}] = true
			w.submit(crashing)
			w.run(time.Minute)
			for _, p := range w.Problems() {
				t.Error(p)
			}
			if got := w.state(crashing.ID); got != record.Failed {
				t.Errorf("the job is %q, want it given up", got)
			}
		})
	}
}

// Each spec describes how a worker is lost under a task.
var _ = Describe("a task whose worker is lost", func() {
	const crashingNumber = 1 << 20

	// submitCrashingJob submits a job whose first task crashes its workers.
	submitCrashingJob := func(w *world, s record.Step) record.Job {
		j := job(crashingNumber, "long", s)
		w.crashing[plan.TaskID{Job: j.ID}] = true
		w.submit(j)
		return j
	}

	// holderOf returns the worker that has a run of the task.
	holderOf := func(w *world, t plan.TaskID) *pool.Worker {
		for _, id := range w.IDs() {
			if f := w.Worker(id); !f.Dead && slices.Contains(f.Tasks(), t) {
				return f
			}
		}
		return nil
	}

	// Pattern: tasks of many jobs share each worker with the one that crashes it.
	DescribeTable("does not take innocent jobs along", func(seed uint64, newName bool) {
		w := newWorld(seed, 12)
		w.newName = func() bool { return newName }
		w.work = func(plan.TaskID) time.Duration { return 6 * time.Second }
		w.run(100 * time.Millisecond)
		for i := range 30 {
			s := step(2, 1)
			s.EstimateMillis = 6000
			w.submit(job(i+1, "long", s))
			w.run(50 * time.Millisecond)
			if i == 10 {
				submitCrashingJob(w, step(1, 1))
			}
		}
		w.run(time.Minute)
		Expect(w.Problems()).To(BeEmpty())
		for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
			want := record.Completed
			if id == job(crashingNumber, "long", step(1, 1)).ID {
				want = record.Failed
			}
			Expect(w.state(id)).To(Equal(want), "job %s", id)
		}
		crashesUnderInnocent := 0
		for i := range 30 {
			for k := range 2 {
				crashesUnderInnocent = max(crashesUnderInnocent, w.Crashes(plan.TaskID{Job: fmt.Sprintf("%016x", i+1), Index: k}))
			}
		}
		Expect(crashesUnderInnocent).To(Equal(1), "the worker was shared when it crashed first, and never again")
	},
		Entry("workers are back under their identifier", uint64(1), false),
		Entry("workers are back under another identifier", uint64(2), true),
	)

	// Pattern: the leader is replaced while crashed workers are away, once before it
	// has seen the crash and once after.
	DescribeTable("is given up within the bound by a series of leaders", func(term time.Duration, newName bool) {
		w := newWorld(3, 12)
		w.newName = func() bool { return newName }
		w.run(100 * time.Millisecond)
		crashing := submitCrashingJob(w, step(1, 2))
		for range int(time.Minute / term) {
			w.run(term)
			w.replaceLeader()
		}
		w.run(30 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(crashing.ID)).To(Equal(record.Failed))
	},
		Entry("each 1.3 s", 1300*time.Millisecond, false),
		Entry("each 2.9 s", 2900*time.Millisecond, false),
		Entry("each 2.9 s, other identifiers", 2900*time.Millisecond, true),
		Entry("each 4.7 s", 4700*time.Millisecond, false),
	)

	// Pattern: orders get no answer and are carried out seconds later.
	DescribeTable("is given up within the bound when orders are late", func(seed uint64) {
		w := newWorld(seed, 12)
		w.delayRate = 0.5
		w.run(100 * time.Millisecond)
		crashing := submitCrashingJob(w, gangStep(3, 4))
		w.run(100 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(crashing.ID)).To(Equal(record.Failed))
	}, Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)))

	// Pattern: five workers in turn are cut off under a task, and none crashes.
	It("is not given up when its workers are only cut off", func() {
		w := newWorld(4, 12)
		w.work = func(plan.TaskID) time.Duration { return 20 * time.Second }
		w.run(100 * time.Millisecond)
		s := step(1, 2)
		s.EstimateMillis = 20000
		j := job(1, "long", s)
		w.submit(j)
		task := plan.TaskID{Job: j.ID}
		for range 5 {
			w.run(2 * time.Second)
			f := holderOf(w, task)
			Expect(f).NotTo(BeNil())
			f.Unreachable = true
			w.run(11 * time.Second)
			f.Unreachable = false
		}
		w.run(time.Minute)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// Pattern: three workers in turn disappear for good under a task, so that nobody
	// learns whether they crashed.
	It("waits for lost workers only for a bounded time", func() {
		w := newWorld(5, 12)
		w.work = func(plan.TaskID) time.Duration { return 20 * time.Second }
		w.run(100 * time.Millisecond)
		j := job(1, "long", step(1, 2))
		w.submit(j)
		task := plan.TaskID{Job: j.ID}
		for range 3 {
			w.run(2 * time.Second)
			f := holderOf(w, task)
			Expect(f).NotTo(BeNil())
			w.removeWorker(f)
			w.run(10 * time.Second)
		}
		w.run(time.Minute)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// Pattern: the answer to a start is lost and the worker crashes; it is back under
	// its identifier before the start would be repeated.
	It("is not started on the next incarnation by a repeated start", func() {
		w := newWorld(6, 1)
		w.run(100 * time.Millisecond)
		j := job(1, "long", step(1, 2))
		w.submit(j)
		w.answerLossRate = 1
		w.run(50 * time.Millisecond)
		w.crash(w.Worker("worker-00"))
		w.run(850 * time.Millisecond)
		w.answerLossRate = 0
		w.run(10 * time.Second)
		starts := 0
		for _, e := range w.Events() {
			if strings.Contains(e, "starts {"+j.ID) && strings.HasSuffix(e, " attempt 1") {
				starts++
			}
		}
		Expect(starts).To(Equal(1))
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// Pattern: an idle worker crashes, once or twice, and is back under its identifier.
	// Two jobs start on the newest incarnation before anybody has told the leader of it.
	DescribeTable("is not charged with a crash before its start", func(crashes int) {
		w := newWorld(8, 1)
		w.work = func(plan.TaskID) time.Duration { return 4 * time.Second }
		w.run(3 * time.Second)
		for range crashes {
			w.crash(w.Worker("worker-00"))
			w.run(20 * time.Millisecond)
		}
		for i := range 2 {
			w.submit(job(i+1, "long", step(1, 2)))
			w.run(100 * time.Millisecond)
		}
		w.run(10 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		for i := range 2 {
			j := job(i+1, "long", step(1, 2))
			Expect(w.state(j.ID)).To(Equal(record.Completed))
			Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
		}
	}, Entry("once", 1), Entry("twice", 2))

	// Pattern: an upgrade while tasks run. Rows of the earlier version have places
	// without the time at which their worker started.
	It("goes on under a leader that reads places of the earlier version", func() {
		w := newWorld(7, 12)
		w.work = func(plan.TaskID) time.Duration { return 8 * time.Second }
		w.run(100 * time.Millisecond)
		j := job(1, "long", step(3, 2))
		w.submit(j)
		w.run(2 * time.Second)
		row := w.progress[j.ID]
		for _, g := range row.Gangs {
			for i := range g.Places {
				Expect(g.Places[i].StartedAtMs).NotTo(BeZero())
				g.Places[i].StartedAtMs = 0
			}
		}
		w.replaceLeader()
		w.run(20 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
	})
})

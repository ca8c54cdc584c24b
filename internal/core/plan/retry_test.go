package plan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// longestIdle is how long a task whose turn has come may have nothing running while its
// worker has room.
const longestIdle = 3 * time.Second

// runUntil runs the world until the condition holds, or for the given time.
func (w *world) runUntil(limit time.Duration, done func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end) && !done(); {
		w.run(20 * time.Millisecond)
	}
	return done()
}

// labelled returns a world of workers of which the first has the label "rare".
func labelled(workers int) *world {
	w := newWorld(1, workers)
	entry := w.Worker("worker-00").Entry
	entry.Labels = append([]string{"rare"}, entry.Labels...)
	w.Worker("worker-00").Entry = entry
	w.send(plan.WorkersMsg{Changed: []plan.Worker{entry}})
	w.run(500 * time.Millisecond)
	return w
}

// Pattern: tasks need a label that one worker has. Guards against a task that is never
// started again after it has failed there, and against one that waits for the end of the
// worker's quarantine after tasks of several jobs have failed there.
func TestTaskIsRetriedOnTheOnlyWorkerWithItsLabel(t *testing.T) {
	for _, jobs := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d jobs", jobs), func(t *testing.T) {
			g := NewWithT(t)
			w := labelled(8)
			left := map[string]int{}
			w.fails = func(task plan.TaskID, _ string) bool {
				left[task.Job]--
				return left[task.Job] >= 0
			}
			rare := step(1, 1)
			rare.Label = "rare"
			for i := range jobs {
				j := job(i+1, "long", rare)
				left[j.ID] = 2
				w.submit(j)
			}
			w.run(100 * time.Millisecond)
			for idle := time.Duration(0); idle < longestIdle && w.now.Sub(origin) < 30*time.Second; {
				w.run(20 * time.Millisecond)
				idle += 20 * time.Millisecond
				if w.Worker("worker-00").Running() > 0 || w.allEnded() {
					idle = 0
				}
				g.Expect(idle).To(BeNumerically("<", longestIdle), "nothing runs at %v", w.now.Sub(origin))
			}
			for i := range jobs {
				g.Expect(w.state(job(i+1, "long", rare).ID)).To(Equal(record.Completed))
			}
			g.Expect(w.Problems()).To(BeEmpty())
		})
	}
}

// allEnded reports whether no job is left to run.
func (w *world) allEnded() bool {
	for id := range w.jobs {
		if s := w.state(id); s == "" || s == record.Queued || s == record.Running {
			return false
		}
	}
	return true
}

// Pattern: a task that lasts fails again and again. Guards against one that is not started
// any more once it has failed on each worker.
func TestLastingTaskThatFailsEverywhereIsRestarted(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 6)
	w.work = func(plan.TaskID) time.Duration { return time.Second }
	w.fails = func(plan.TaskID, string) bool { return true }
	w.run(500 * time.Millisecond)
	lasting := step(1, 1)
	lasting.Perpetual = true
	j := job(1, "long", lasting)
	w.submit(j)
	task := plan.TaskID{Job: j.ID}
	g.Expect(w.runUntil(time.Second, func() bool { return w.Starts(task) > 0 })).To(BeTrue())
	for n := 1; n < 40; n++ {
		again := w.runUntil(time.Second+longestIdle, func() bool { return w.Starts(task) > n })
		g.Expect(again).To(BeTrue(), "after run %d", n)
	}
}

// Pattern: all workers but one with free room have not failed the task. Guards against a
// retry on the worker where the task has failed while others can hold it.
func TestTaskIsRetriedOnAnotherWorkerFirst(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 4)
	on := map[string]int{}
	w.fails = func(_ plan.TaskID, worker string) bool {
		on[worker]++
		return len(on) < 3
	}
	w.run(500 * time.Millisecond)
	j := job(1, "patient", step(1, 1))
	w.submit(j)
	g.Expect(w.runUntil(20*time.Second, w.allEnded)).To(BeTrue())
	g.Expect(w.state(j.ID)).To(Equal(record.Completed))
	for worker, n := range on {
		g.Expect(n).To(Equal(1), worker)
	}
}

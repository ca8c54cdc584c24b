package plan_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Workers here start whatever they are told to, so that only the planner keeps
// them within their capacity.
var _ = Describe("a worker that does not guard its capacity", func() {
	const (
		whole = 8
		half  = 4
	)

	// newUnguarded returns a world of unguarded workers, which judge a start by the
	// capacity that they have when it is sent.
	newUnguarded := func(workers int) *world {
		w := newWorld(1, workers)
		w.unguard()
		w.LimitGrace = 0
		w.run(100 * time.Millisecond)
		return w
	}

	// taking returns a job of one task.
	taking := func(number int, queue string, accelerators int) record.Job {
		return job(number, queue, step(1, accelerators))
	}

	started := func(w *world, id string) bool {
		_, ok := w.FirstStart(id)
		return ok
	}

	// placements returns how often a gang of the job was placed.
	placements := func(w *world, id string) int {
		n := 0
		for _, e := range w.Events() {
			if strings.Contains(e, "decision 1 job "+id) {
				n++
			}
		}
		return n
	}

	const only = "worker-00"
	// Guards against a leader that counts nothing for a run that it does not know,
	// and fills its place before the run has been stopped.
	It("is not filled after a takeover while a cancelled job's run is being stopped", func() {
		w := newUnguarded(1)
		cancelled := taking(1, "long", whole)
		w.submit(cancelled)
		w.run(200 * time.Millisecond)
		w.cancel(cancelled.ID)
		w.run(50 * time.Millisecond)
		w.replaceLeader()
		next := taking(2, "long", half)
		w.submit(next)
		w.run(6 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(next.ID)).To(Equal(record.Completed))
	})

	// Guards against starting what was placed before the capacity shrank.
	It("is not started on beyond it when it shrinks while the place is being stored", func() {
		w := newUnguarded(1)
		w.storeDown = true
		j := taking(1, "long", whole)
		w.submit(j)
		w.run(time.Second)
		w.resize(only, capacityOf(half), 500*time.Millisecond)
		w.run(5 * time.Second)
		w.storeDown = false
		w.run(5 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(started(w, j.ID)).To(BeFalse())
		before := placements(w, j.ID)
		w.run(20 * time.Second)
		Expect(placements(w, j.ID)).To(Equal(before), "a gang that fits nowhere was placed")
		w.resize(only, fullCapacity, 500*time.Millisecond)
		w.run(4 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// Guards against repeating a start that was sent before the capacity shrank.
	It("is not started on beyond it when it shrinks before an unanswered start is repeated", func() {
		w := newUnguarded(1)
		w.Worker(only).Unreachable = true
		j := taking(1, "long", whole)
		w.submit(j)
		w.run(100 * time.Millisecond)
		w.resize(only, capacityOf(half), 0)
		w.Worker(only).Unreachable = false
		w.run(5 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(started(w, j.ID)).To(BeFalse())
		w.resize(only, fullCapacity, 0)
		w.run(6 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// Guards against counting what is being stopped as gone when the capacity
	// shrinks meanwhile.
	It("is not filled when it shrinks while runs are being stopped", func() {
		w := newUnguarded(1)
		cancelled := taking(1, "long", half)
		w.submit(cancelled)
		w.run(200 * time.Millisecond)
		w.cancel(cancelled.ID)
		w.resize(only, capacityOf(half), 0)
		w.run(10 * time.Millisecond)
		next := taking(2, "long", half)
		w.submit(next)
		w.run(6 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(next.ID)).To(Equal(record.Completed))
	})

	// Guards against stopping work on a worker that has shrunk, and against a new
	// leader that fills it.
	It("keeps its work when it has shrunk, also under a new leader", func() {
		w := newUnguarded(1)
		w.work = func(plan.TaskID) time.Duration { return 8 * time.Second }
		large := taking(1, "long", whole)
		w.submit(large)
		w.run(200 * time.Millisecond)
		w.resize(only, capacityOf(half), 0)
		w.run(time.Second)
		w.replaceLeader()
		urgent := taking(2, "urgent", whole)
		w.submit(urgent)
		small := taking(3, "long", half)
		w.submit(small)
		w.run(18 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(large.ID)).To(Equal(record.Completed))
		Expect(w.Starts(plan.TaskID{Job: large.ID})).To(Equal(1))
		Expect(w.state(small.ID)).To(Equal(record.Completed))
		Expect(placements(w, urgent.ID)).To(BeZero())
	})

	// Guards against placing by the capacity of an earlier incarnation until the entry
	// of the new one is read.
	It("is not filled by what it held before a restart", func() {
		w := newUnguarded(1)
		j := taking(1, "long", whole)
		w.submit(j)
		w.run(200 * time.Millisecond)
		f := w.Worker(only)
		entry := f.Entry
		entry.StartedAt, entry.Capacity = w.now, capacityOf(half)
		w.Crash(f)
		w.Add(entry).Unguarded = true
		w.run(6 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		w.sendEntry(only)
		w.run(6 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
		w.resize(only, fullCapacity, 0)
		w.run(4 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// Guards against placing a task again and again on a worker that is over its
	// capacity in a resource that the task doesn't need.
	It("gets nothing while it is over its capacity in one resource", func() {
		w := newUnguarded(1)
		w.submit(taking(1, "long", whole))
		w.run(200 * time.Millisecond)
		capacity := fullCapacity
		capacity.Accelerators = half
		w.resize(only, capacity, 0)
		w.run(10 * time.Millisecond)
		plain := taking(2, "long", 0)
		w.submit(plain)
		w.run(time.Second)
		Expect(placements(w, plain.ID)).To(BeZero())
		w.run(4 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(plain.ID)).To(Equal(record.Completed))
	})

	// Guards against a reservation that no longer fits and keeps the worker from
	// work that does.
	It("is used by others at once when it shrinks while places are reserved", func() {
		w := newUnguarded(1)
		victim := taking(1, "patient", whole)
		w.submit(victim)
		w.run(500 * time.Millisecond)
		urgent := taking(2, "urgent", whole)
		w.submit(urgent)
		for range 200 {
			if strings.Contains(strings.Join(w.Events(), "\n"), "preempted for "+urgent.ID) {
				break
			}
			w.run(10 * time.Millisecond)
		}
		w.resize(only, capacityOf(half), 0)
		small := taking(3, "urgent", half)
		w.submit(small)
		w.run(time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.Starts(plan.TaskID{Job: victim.ID})).To(Equal(1))
		Expect(started(w, urgent.ID)).To(BeFalse())
		Expect(started(w, small.ID)).To(BeTrue())
		w.resize(only, fullCapacity, 0)
		w.run(15 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(urgent.ID)).To(Equal(record.Completed))
		Expect(w.state(victim.ID)).To(Equal(record.Completed))
	})

	// Guards against a claim on workers that can no longer hold its gang, which kept
	// them from all other work for ever.
	It("is not kept idle by a claim when it shrinks", func() {
		w := newUnguarded(2)
		w.work = func(t plan.TaskID) time.Duration {
			if t.Job == job(1, "", step(1, 1)).ID {
				return time.Minute
			}
			return 2 * time.Second
		}
		w.submit(taking(1, "long", whole))
		w.run(200 * time.Millisecond)
		wide := job(2, "long", gangStep(2, whole))
		w.submit(wide)
		w.run(plan.OverdueAfter + 5*time.Second)
		for _, id := range w.IDs() {
			if w.Worker(id).Running() > 0 {
				w.resize(id, capacityOf(half), 0)
			}
		}
		other := taking(3, "long", whole)
		w.submit(other)
		w.run(5 * time.Second)
		Expect(w.state(other.ID)).To(Equal(record.Completed))
		for _, id := range w.IDs() {
			w.resize(id, fullCapacity, 0)
		}
		w.run(time.Minute)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(wide.ID)).To(Equal(record.Completed))
	})

	// Guards against starting what was placed before the worker's entry could no longer
	// be read, which may hide how much it holds now.
	It("is not started on when its entry is lost while the place is being stored", func() {
		w := newUnguarded(1)
		w.storeDown = true
		j := taking(1, "long", whole)
		w.submit(j)
		w.run(time.Second)
		w.send(plan.WorkersMsg{Gone: []string{only}})
		w.storeDown = false
		w.run(5 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(started(w, j.ID)).To(BeFalse())
		w.sendEntry(only)
		w.run(5 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})
})

// TestShrunkWhileStoreAway guards against starting what was placed before the store
// was away for longer than the grace for a smaller capacity: the place is stored as
// soon as the store is back, and the worker's entry only with its next heartbeat.
func TestShrunkWhileStoreAway(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	w := newWorld(1, 1)
	w.unguard()
	w.run(100 * time.Millisecond)
	w.storeDown = true
	w.submit(job(1, "long", step(1, fullCapacity.Accelerators)))
	w.run(time.Second)
	const away = 8 * time.Second
	w.resize(w.IDs()[0], capacityOf(fullCapacity.Accelerators/2), away+heartbeat)
	w.run(away)
	w.storeDown = false
	w.run(5 * time.Second)
	for _, p := range w.Problems() {
		t.Error(p)
	}
}

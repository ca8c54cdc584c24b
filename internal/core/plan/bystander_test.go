package plan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/fakes/pool"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Workers here crash by no fault of the tasks that they run. Each comes back under
// another identifier.
var _ = Describe("harmless work on workers that crash", func() {
	const (
		// startsWithin is how soon urgent work within a guarantee must start.
		startsWithin = 2900 * time.Millisecond
		// backWithin is how soon a task without an end must be at work again after its
		// worker has crashed.
		backWithin = 6 * time.Second
	)

	newCrashing := func(seed uint64, work time.Duration) *world {
		w := newWorld(seed, 12)
		w.newName = func() bool { return true }
		w.work = func(plan.TaskID) time.Duration { return work }
		w.run(200 * time.Millisecond)
		return w
	}

	// single returns a job of one task with an estimate.
	single := func(number int, queue string, accelerators int, estimate time.Duration) record.Job {
		s := step(1, accelerators)
		s.EstimateMillis = estimate.Milliseconds()
		return job(number, queue, s)
	}

	// busiest returns the live worker with the most runs.
	busiest := func(w *world) *pool.Worker {
		var most *pool.Worker
		for _, id := range w.IDs() {
			if f := w.Worker(id); !f.Dead && (most == nil || f.Running() > most.Running()) {
				most = f
			}
		}
		return most
	}

	// Guards against urgent work that waits while the workers of crashed tasks are kept
	// to themselves.
	It("does not keep urgent work waiting", func() {
		w := newCrashing(51, 20*time.Second)
		const patient = 48
		for i := range patient {
			w.submit(single(i+1, "patient", 1, 20*time.Second))
		}
		w.run(2 * time.Second)
		for range 6 {
			w.crashForSeconds(busiest(w))
		}
		w.run(6 * time.Second)
		for i := range 20 {
			urgent := single(1000+i, "urgent", 1, 500*time.Millisecond)
			sentAt := w.now
			w.submit(urgent)
			w.run(startsWithin)
			startedAt, started := w.FirstStart(urgent.ID)
			Expect(started).To(BeTrue(), "urgent job %d", i)
			Expect(startedAt.Sub(sentAt)).To(BeNumerically("<", startsWithin))
			w.cancel(urgent.ID)
			w.run(500 * time.Millisecond)
		}
	})

	// Guards against a task without an end that is at work nowhere while it waits for a
	// worker of its own.
	It("is soon at work again if it has no end", func() {
		w := newCrashing(14, 10*time.Minute)
		patient := step(12, 1)
		patient.SpreadLimit, patient.EstimateMillis = 1, time.Hour.Milliseconds()
		w.submit(job(1, "patient", patient))
		w.run(time.Second)
		lasting := step(1, 1)
		lasting.Perpetual, lasting.EstimateMillis = true, time.Hour.Milliseconds()
		w.submit(job(2, "long", lasting))
		w.run(500 * time.Millisecond)
		w.crashForSeconds(busiest(w))
		w.run(backWithin)
		Expect(w.Starts(plan.TaskID{Job: job(2, "long", lasting).ID})).To(Equal(2))
	})

	// Guards against counting crashes that come long after a task has started.
	It("is not given up however often its workers crash after some time", func() {
		w := newCrashing(15, time.Hour)
		lasting := step(1, 8)
		lasting.Perpetual, lasting.EstimateMillis = true, time.Hour.Milliseconds()
		j := job(1, "long", lasting)
		w.submit(j)
		for range 4 {
			w.run(time.Minute)
			w.crashForSeconds(busiest(w))
			w.run(15 * time.Second)
			Expect(w.state(j.ID)).To(Equal(record.Running))
		}
		Expect(w.Problems()).To(BeEmpty())
	})

	// Guards against taking a worker that has left for one that crashed, when the
	// leader that knew of its leaving is gone.
	It("is not given up when its workers leave in order and leaders change", func() {
		w := newCrashing(17, 20*time.Second)
		j := single(1, "long", 8, 20*time.Second)
		w.submit(j)
		for range 6 {
			w.run(2 * time.Second)
			f := busiest(w)
			entry := f.Entry
			entry.Draining, entry.Remaining = true, 30*time.Second
			w.send(plan.WorkersMsg{Changed: []plan.Worker{entry}})
			w.run(500 * time.Millisecond)
			w.crashForSeconds(f)
			w.run(downTime - 500*time.Millisecond)
			w.replaceLeader()
			w.run(9 * time.Second)
			Expect(w.state(j.ID)).NotTo(Equal(record.Failed))
		}
		counted := fmt.Sprintf("decision %d job %s", plan.CrashCounted, j.ID)
		Expect(w.Events()).NotTo(ContainElement(ContainSubstring(counted)))
	})
})

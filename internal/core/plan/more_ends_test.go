package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Pattern: many short tasks end on one worker while the store is away, so that their ends
// cannot be acknowledged. Guards against tasks that are started again since the worker
// lists the oldest ends only, also under a leader that takes over meanwhile.
func TestEndsBehindThoseListedAreNotLost(t *testing.T) {
	for name, takeover := range map[string]bool{"one leader": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(1, 1)
			w.EndsPerAnswer = 5
			w.run(500 * time.Millisecond)
			j := job(1, "long", record.Step{Tasks: 60, EstimateMillis: 2000, Need: record.Amount{MilliCores: 1000, MemoryMB: 1000}})
			w.submit(j)
			w.run(1500 * time.Millisecond)
			w.storeDown = true
			w.run(1200 * time.Millisecond)
			w.storeDown = false
			if takeover {
				w.replaceLeader()
			}
			w.run(20 * time.Second)
			g.Expect(w.Problems()).To(BeEmpty())
			g.Expect(w.state(j.ID)).To(Equal(record.Completed))
			for i := range 60 {
				g.Expect(w.Starts(plan.TaskID{Job: j.ID, Index: i})).To(Equal(1), "task %d", i)
			}
		})
	}
}

// Guards against a run that is waited for although its worker has no more ends to list
// than it has listed: it is started again.
func TestRunThatItsWorkerLacksIsStartedAgain(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 1)
	w.EndsPerAnswer = 2
	w.run(500 * time.Millisecond)
	j := job(1, "long", step(4, 1))
	w.submit(j)
	w.run(500 * time.Millisecond)
	lost := plan.TaskID{Job: j.ID, Index: 3}
	w.Forget(w.Worker("worker-00"), lost)
	w.run(10 * time.Second)
	g.Expect(w.state(j.ID)).To(Equal(record.Completed))
	g.Expect(w.Starts(lost)).To(Equal(2))
}

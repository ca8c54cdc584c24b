package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
)

// Pattern: all workers are in use when an urgent gang arrives, and the estimates of what
// runs there are far too long. Guards against work that is stopped although its progress
// shows that it ends sooner than a stop takes, and against an urgent gang that waits for
// work that goes on.
func TestPreemptionIsWeighedAgainstTheWait(t *testing.T) {
	for name, c := range map[string]struct {
		work   time.Duration
		starts int
	}{
		"work that ends soon":  {2 * time.Second, 1},
		"work that goes on":    {20 * time.Second, 2},
		"work that ends later": {4 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(1, 2)
			w.work = func(task plan.TaskID) time.Duration {
				if w.jobs[task.Job].Queue == "urgent" {
					return 2 * time.Second
				}
				return c.work
			}
			w.run(100 * time.Millisecond)
			running := job(1, "patient", gangStep(2, 8))
			running.Steps[0].EstimateMillis = 20_000
			w.submit(running)
			w.run(1800 * time.Millisecond)
			urgent := job(2, "urgent", gangStep(2, 8))
			w.submit(urgent)
			w.run(30 * time.Second)
			startedAt, started := w.FirstStart(urgent.ID)
			g.Expect(started).To(BeTrue())
			// Its queue allows 1.5 times 2 s and 0.25 s more.
			g.Expect(startedAt.Sub(w.jobs[urgent.ID].SubmittedAt)).To(BeNumerically("<", 1250*time.Millisecond))
			g.Expect(w.Starts(plan.TaskID{Job: running.ID})).To(Equal(c.starts))
			g.Expect(w.Problems()).To(BeEmpty())
		})
	}
}

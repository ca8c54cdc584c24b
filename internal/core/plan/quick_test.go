package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/fakes/pool"
)

// Pattern: a worker fails whatever it starts, at once, while urgent gangs arrive. Guards
// against a worker that breaks one gang after the other until two jobs in a row have
// failed there, and against sound workers that are blamed for a job that fails everywhere.
func TestQuickFailures(t *testing.T) {
	for name, brokenWorker := range map[string]bool{"of a worker": true, "of a job": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(1, 2)
			failing := job(1, "urgent", gangStep(1, 8))
			first := ""
			starts := map[string]int{}
			w.OnStart = func(f *pool.Worker, task plan.TaskID) {
				if first == "" {
					first = f.Entry.ID
				}
				starts[f.Entry.ID]++
			}
			w.fails = func(task plan.TaskID, worker string) bool {
				return task.Job == failing.ID && (!brokenWorker || worker == first)
			}
			w.work = func(plan.TaskID) time.Duration { return 50 * time.Millisecond }
			w.run(200 * time.Millisecond)
			w.submit(failing)
			w.run(time.Second)
			before := starts[first]
			for i := range 16 {
				w.submit(job(10+i, "urgent", step(1, 1)))
			}
			w.run(time.Second)
			if brokenWorker {
				g.Expect(starts[first]).To(Equal(before), "the worker is quarantined")
			} else {
				g.Expect(starts[first]).To(BeNumerically(">", before), "the worker is used")
			}
			g.Expect(w.Problems()).To(BeEmpty())
		})
	}
}

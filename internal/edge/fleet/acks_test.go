package fleet

import (
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Guards against ends that are not acknowledged while the progress of a wide job changes
// faster than a slow store takes it: a worker lists only so many ends. A sweep over all
// rows of the job takes five batches.
func TestEndsOfWideJobsAreAcknowledged(t *testing.T) {
	const (
		// perStep is how many tasks end in one step, each in a row of its own.
		perStep   = 20
		steps     = 900
		slowStore = 600 * time.Millisecond
		// spread puts tasks that end one after the other into different rows.
		spread = 7919
		// longest is how long no end may be acknowledged: the sweep that is under way and
		// the next one, a poll until the end is seen and one that acknowledges it.
		longest = 2*5*slowStore + 2*1200*time.Millisecond
	)
	p := newPlanTester(t, record.Step{
		Tasks: 20000, Need: record.Amount{MilliCores: 1000, MemoryMB: 1000}, EstimateMillis: 600_000,
	})
	p.run(3 * time.Second)
	p.storeDelay = slowStore
	for i := range steps {
		p.end(func(task plan.TaskID) bool { return task.Index*spread%20000/perStep == i })
		if len(p.ended[p.entries[0].ID]) > 0 && p.openSince.IsZero() {
			p.openSince = p.now
		}
		p.run(20 * time.Millisecond)
		if open := p.now.Sub(p.openSince); !p.openSince.IsZero() && open > longest {
			t.Fatalf("the first worker's ends are not acknowledged for %v", open)
		}
	}
}

package plan_test

import (
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/fakes/pool"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Guards against work that is started again, or given up, since its worker was only
// silent, slow or missing from the list for a while, or changed leaders meanwhile.
func TestRunningWorkOutlivesSilence(t *testing.T) {
	const silence = 2500 * time.Millisecond
	faults := map[string]struct{ begin, end func(*world, *pool.Worker) }{
		"silent": {
			func(_ *world, f *pool.Worker) { f.Unreachable = true },
			func(_ *world, f *pool.Worker) { f.Unreachable = false },
		},
		"slow to answer": {
			func(_ *world, f *pool.Worker) { f.PollDelay = 800 * time.Millisecond },
			func(_ *world, f *pool.Worker) { f.PollDelay = 0 },
		},
		"unlisted": {
			func(w *world, f *pool.Worker) { w.send(plan.WorkersMsg{Gone: []string{f.Entry.ID}}) },
			func(w *world, f *pool.Worker) { w.send(plan.WorkersMsg{Changed: []plan.Worker{f.Entry}}) },
		},
		"silent during a takeover": {
			func(w *world, f *pool.Worker) {
				f.Unreachable = true
				w.replaceLeader()
			},
			func(_ *world, f *pool.Worker) { f.Unreachable = false },
		},
		"unlisted during a takeover": {
			func(w *world, f *pool.Worker) {
				w.replaceLeader()
				w.send(plan.WorkersMsg{Gone: []string{f.Entry.ID}})
			},
			func(w *world, f *pool.Worker) { w.send(plan.WorkersMsg{Changed: []plan.Worker{f.Entry}}) },
		},
	}
	for name, fault := range faults {
		w := newWorld(1, 12)
		w.work = func(plan.TaskID) time.Duration { return 8 * time.Second }
		w.run(100 * time.Millisecond)
		long := step(1, 1)
		long.EstimateMillis = 8000
		j := job(1, "long", long)
		w.submit(j)
		w.run(1500 * time.Millisecond)
		var f *pool.Worker
		for _, id := range w.IDs() {
			if w.Worker(id).Running() > 0 {
				f = w.Worker(id)
			}
		}
		fault.begin(w, f)
		w.run(silence)
		fault.end(w, f)
		w.run(8 * time.Second)
		if starts := w.Starts(plan.TaskID{Job: j.ID}); starts != 1 || w.state(j.ID) != record.Completed || len(w.Problems()) > 0 {
			t.Errorf("%s: %d starts, state %q, problems %v", name, starts, w.state(j.ID), w.Problems())
		}
	}
}

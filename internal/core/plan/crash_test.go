package plan_test

import (
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
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
			deadly := job(1, "long", step(1, 2))
			w.deadly[plan.TaskID{Job: deadly.ID}] = true
			w.submit(deadly)
			w.run(time.Minute)
			for _, p := range w.Problems() {
				t.Error(p)
			}
			if got := w.state(deadly.ID); got != record.Failed {
				t.Errorf("the job is %q, want it given up", got)
			}
		})
	}
}

package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Guards against a worker's run whose name has numbers out of range, of a job that runs or
// has ended, which ends the leader's process: such a run is stopped like any unknown one.
func TestRunsWithNumbersOutOfRangeAreStopped(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2)
	w.run(200 * time.Millisecond)
	running, ended := job(1, "long", step(2, 1)), job(2, "long", step(2, 1))
	w.submit(running)
	w.jobs[ended.ID] = ended
	w.send(plan.JobMsg{Job: ended, Progress: []record.Progress{{ID: ended.ID, State: record.Cancelled, EndedAt: w.now}}})
	w.run(200 * time.Millisecond)
	entry := w.Alive()[0]
	stopped := 0
	for _, id := range []string{running.ID, ended.ID} {
		for _, n := range []int{-1, 7, 1 << 40} {
			for _, task := range []plan.TaskID{{Job: id, Step: n}, {Job: id, Index: n}, {Job: id, Occurrence: n}} {
				_, cmds := w.planners[0].model.Update(w.now, plan.PollMsg{
					Worker: entry.ID, Answered: true, StartedAt: entry.StartedAt, Clock: w.now, SentAt: w.now,
					Running: []plan.RunReport{{Task: task, Attempt: 1}},
					Ended:   []plan.EndReport{{Number: int64(100 + stopped), Task: task, Attempt: 1, Kind: plan.EndDone}},
				})
				for _, cmd := range cmds {
					if stop, ok := cmd.(plan.StopCmd); ok && stop.Task == task {
						stopped++
					}
				}
			}
		}
	}
	g.Expect(stopped).To(Equal(18))
}

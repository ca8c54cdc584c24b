package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Pattern: all hosts lose power between the moment at which the places of urgent gangs
// are stored and their starts. The next leader finds no run on the recorded workers.
// Guards against a gang that waits until each of these workers has answered a stop of a
// run that it never had.
func TestInheritedGangThatNeverBeganRunsAgainSoon(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 12)
	w.run(2 * time.Second)
	j := job(1, "urgent", gangStep(6, 8))
	j.SubmittedAt = w.now
	w.jobs[j.ID] = j
	places := make([]record.Place, 6)
	for i, id := range w.IDs()[:6] {
		places[i] = record.Place{Index: i, Worker: id, StartedAtMs: w.Worker(id).Entry.StartedAt.UnixMilli()}
	}
	w.progress[j.ID] = record.Progress{
		ID: j.ID, State: record.Running, Attempt: 1,
		Gangs: []record.GangProgress{{Attempt: 1, Places: places}},
	}
	w.replaceLeader()
	w.run(500 * time.Millisecond)
	g.Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
	w.run(4 * time.Second)
	g.Expect(w.Problems()).To(BeEmpty())
	g.Expect(w.state(j.ID)).To(Equal(record.Completed))
}

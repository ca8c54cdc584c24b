package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/vouch"
)

// cutLeader runs tasks on four workers, of which the leader is then cut off together with
// two, and a successor takes over. The earlier leader acts for so long after that.
func cutLeader(acts, length time.Duration, earlierUntil func(now time.Time) time.Time) *world {
	w := newWorld(1, 4)
	w.work = func(plan.TaskID) time.Duration { return 2 * time.Minute }
	w.run(500 * time.Millisecond)
	w.submit(job(1, "long", step(4, 4)))
	w.run(2 * time.Second)
	for _, id := range w.IDs()[:2] {
		w.partitioned[id] = true
	}
	earlier := w.planners[0]
	earlier.cutOff, earlier.actsUntil = true, w.now.Add(acts)
	w.earlierUntil = earlierUntil(w.now)
	w.addLeader()
	w.run(length)
	return w
}

func allowsMargin(now time.Time) time.Time { return now.Add(vouch.Margin) }

// Guards against a task that is started again while an earlier leader, which is cut off
// together with its worker, still keeps the task's first run alive: for a cut of any length, and
// for a leader that no witness has left. The tasks are started again as soon as that is safe.
func TestLeaderCutOffWithWorkersRunsNothingTwice(t *testing.T) {
	g := NewWithT(t)
	const lease = 6 * time.Second
	for _, length := range []time.Duration{7 * time.Second, 10 * time.Second, 30 * time.Second, 5 * time.Minute} {
		w := cutLeader(vouch.Term, length, allowsMargin)
		g.Expect(w.Problems()).To(BeEmpty(), "cut of %v", length)
	}
	w := cutLeader(vouch.Term, vouch.Margin+lease+time.Second, allowsMargin)
	g.Expect(w.Starts(plan.TaskID{Job: "0000000000000001"})).To(Equal(2), "on a worker that the successor does not reach")
	alone := func(now time.Time) time.Time { return now.Add(vouch.MaxAlone + vouch.Margin) }
	w = cutLeader(vouch.MaxAlone, 5*time.Minute, alone)
	g.Expect(w.Problems()).To(BeEmpty(), "leader without a witness that has left")
}

// Guards against work that waits for an earlier leader although one of its witnesses has
// withdrawn after the takeover, and against work that is then started too soon.
func TestWitnessThatWithdrawsLateEndsTheWait(t *testing.T) {
	g := NewWithT(t)
	task := plan.TaskID{Job: "0000000000000001"}
	w := cutLeader(12*time.Second+vouch.Term, 12*time.Second, func(now time.Time) time.Time { return now.Add(vouch.MaxAlone + vouch.Margin) })
	w.sendTo(w.planners[1], plan.EarlierLeadersMsg{ActUntil: w.now.Add(vouch.Margin)})
	w.run(vouch.Margin + 7*time.Second)
	g.Expect(w.Starts(task)).To(Equal(2))
	g.Expect(w.Problems()).To(BeEmpty())
}

// Guards against a check that finds nothing: an earlier leader that acts for longer than
// its successor allows runs tasks twice.
func TestLeaderThatActsForTooLongIsFound(t *testing.T) {
	w := cutLeader(20*time.Second, 30*time.Second, allowsMargin)
	NewWithT(t).Expect(w.Problems()).NotTo(BeEmpty())
}

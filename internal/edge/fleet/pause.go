package fleet

import (
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
)

const (
	// pauseLimit is the longest pause of this process after which the leader goes on
	// at once. A successor allows an earlier leader that much time to act.
	pauseLimit = 2 * time.Second
	// unsurePollWait is how long a worker may delay the answer to a poll that renews
	// no lease. It is short, since the lease may be over soon.
	unsurePollWait = 100 * time.Millisecond
)

// pauseGuard notices when the leader was paused, by its own clock. Until a change
// that was sent after the pause is stored, another host may be the leader.
type pauseGuard struct {
	mu         sync.Mutex
	lastActive time.Time
	// pausedAt is when a pause was noticed, or zero while the leadership is sure.
	pausedAt time.Time
}

// active records that the planner is at work. If it was paused for longer than
// pauseLimit, active returns for how long.
func (g *pauseGuard) active(now time.Time) (paused time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := now.Sub(g.lastActive); !g.lastActive.IsZero() && gap > pauseLimit {
		g.pausedAt, paused = now, gap
	}
	g.lastActive = now
	return paused
}

// confirm records that a change is stored which was sent at the given time.
func (g *pauseGuard) confirm(sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sentAt.After(g.pausedAt) {
		g.pausedAt = time.Time{}
	}
}

// sure reports whether no pause has put the leadership in doubt.
func (g *pauseGuard) sure() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pausedAt.IsZero()
}

// now returns the time for the planner and notices a pause before it.
func (s *session) now() time.Time {
	now := s.host.clock()
	if paused := s.guard.active(now); paused > 0 {
		logev.LeaderPaused.Log(s.host.log).Int64("epoch", s.epoch).Stringer("paused-for", paused).Send()
	}
	return now
}

// unsentStart reports a start as unanswered, so that it is repeated.
func unsentStart(cmd plan.StartCmd, now time.Time) plan.StartMsg {
	return plan.StartMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, Outcome: plan.Unanswered, SentAt: now}
}

// withoutLease returns a poll that renews no lease, if the leadership is in doubt.
func (s *session) withoutLease(cmd plan.PollCmd) plan.PollCmd {
	if s.guard.sure() || cmd.LeaseUntil.IsZero() {
		return cmd
	}
	cmd.LeaseUntil = time.Time{}
	cmd.Wait = min(cmd.Wait, unsurePollWait)
	return cmd
}

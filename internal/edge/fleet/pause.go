package fleet

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
)

// unconfirmedPollWait is how long a worker may delay the answer to a poll that renews no
// lease. It is short, since the lease may be over soon.
const unconfirmedPollWait = 300 * time.Millisecond

// unsentStart reports a start as unanswered, so that it is repeated.
func unsentStart(cmd plan.StartCmd, now time.Time) plan.StartMsg {
	return plan.StartMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, Outcome: plan.Unanswered, SentAt: now}
}

// withoutLease returns a poll that renews no lease while the leader may not act.
func (s *session) withoutLease(cmd plan.PollCmd) plan.PollCmd {
	if cmd.LeaseUntil.IsZero() || s.tenure.mayAct() {
		return cmd
	}
	cmd.LeaseUntil = time.Time{}
	cmd.Wait = min(cmd.Wait, unconfirmedPollWait)
	return cmd
}

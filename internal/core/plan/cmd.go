package plan

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Cmd is an action that the runtime carries out for the planner.
type Cmd interface{ isCmd() }

// StartCmd starts one task at a worker. Its end comes back as a StartMsg.
type StartCmd struct {
	Worker  string
	Address netip.AddrPort
	Task    TaskID
	Attempt int
	Payload string
	// LeaseUntil is on the worker's clock.
	LeaseUntil time.Time
	Epoch      int64
	Checkpoint string
}

// StopCmd stops one run. Its end comes back as a StopMsg.
type StopCmd struct {
	Worker  string
	Address netip.AddrPort
	Task    TaskID
	Attempt int
	Epoch   int64
}

// LookCmd renews a worker's lease, acknowledges ends and asks for its runs.
// The worker answers at once if it has an end to tell, else after Wait. Its
// end comes back as a LookMsg.
type LookCmd struct {
	Worker  string
	Address netip.AddrPort
	Epoch   int64
	// LeaseUntil is on the worker's clock; zero leaves the lease as it is.
	LeaseUntil time.Time
	// Acknowledged is the number up to which ends may be forgotten.
	Acknowledged int64
	Wait         time.Duration
}

// WriteCmd stores rows in one transaction that is fenced by the leader's row.
// At most one is outstanding. Its end comes back as a WrittenMsg.
type WriteCmd struct {
	Batch    int
	Progress []record.Progress
	// Forgotten names jobs whose rows are no longer needed.
	Forgotten []string
	// Rosters are the parts of the roster that have changed.
	Rosters []record.Roster
	// Waiting is written when it is set.
	Waiting *record.Waiting
}

// DeposedCmd says that a worker has seen a newer leader.
type DeposedCmd struct{}

// Decision says what was decided.
type Decision int

// The kinds of decision.
const (
	Placed Decision = iota + 1
	Running
	Ended
	Broken
	Preempted
	Adopted
	WorkerLost
	WorkerBenched
	JobEnded
	JobTaken
	Claimed
	JobStarted
)

// DecisionCmd reports one decision for the log.
type DecisionCmd struct {
	Kind    Decision
	Job     string
	Step    int
	First   int
	Attempt int
	Worker  string
	Domain  string
	Detail  string
	// Free is the accelerators of usable workers that were free, and Whole the
	// usable workers without any run.
	Free  int
	Whole int
	// Delay is the time from a job's acceptance to its first start.
	Delay time.Duration
	// InputAge is how long ago the worker was last looked at.
	InputAge      time.Duration
	ConfigVersion int64
}

func (StartCmd) isCmd()    {}
func (StopCmd) isCmd()     {}
func (LookCmd) isCmd()     {}
func (WriteCmd) isCmd()    {}
func (DeposedCmd) isCmd()  {}
func (DecisionCmd) isCmd() {}

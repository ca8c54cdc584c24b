package plan

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Cmd is an action that the runtime carries out for the planner.
type Cmd interface{ isCmd() }

// StartCmd starts a task on a worker. Its outcome is a StartMsg.
type StartCmd struct {
	Worker  string
	Address netip.AddrPort
	Task    TaskID
	Attempt int
	Payload string
	// LeaseUntil is by the worker's clock.
	LeaseUntil time.Time
	Epoch      int64
	Checkpoint string
}

// StopCmd stops a run. Its outcome is a StopMsg.
type StopCmd struct {
	Worker  string
	Address netip.AddrPort
	Task    TaskID
	Attempt int
	Epoch   int64
}

// PollCmd polls a worker: it renews the lease, acknowledges ends and asks for
// the worker's runs. The worker answers at once if it has ends to report, else
// after Wait. The outcome is a PollMsg.
type PollCmd struct {
	Worker  string
	Address netip.AddrPort
	Epoch   int64
	// LeaseUntil is by the worker's clock; zero leaves the lease unchanged.
	LeaseUntil time.Time
	// Acknowledged is the number of the last end that the worker may forget.
	Acknowledged int64
	Wait         time.Duration
}

// WriteCmd stores rows in transactions that are fenced by the leader's row.
// At most one is pending. Its outcome is a WrittenMsg.
type WriteCmd struct {
	Batch int
	// Progress holds rows of jobs' progress, which are stored in this order.
	Progress []record.Progress
	// Dropped names rows of ended jobs' progress that are removed before their jobs.
	Dropped []StoredPart
	// Deleted names ended jobs whose rows are to be deleted.
	Deleted []string
	// Rosters holds the parts of the roster that have changed.
	Rosters []record.Roster
	// Waiting holds the queue lengths, or nil if they are not to be written. If its
	// epoch is set, it holds the digest of the load too, of which the runtime sets the
	// time by the store's clock.
	Waiting *record.Waiting
	// RunTimes holds what was learned from finished runs, or nil if it is not to be
	// written.
	RunTimes []byte
}

// StepDownCmd ends this leader's planning, since a worker has seen a newer
// leader.
type StepDownCmd struct{}

// Decision is a kind of decision.
type Decision int

// The kinds of decision.
const (
	// Placed means that a gang was assigned workers.
	Placed Decision = iota + 1
	// GangRunning means that all members of a gang run.
	GangRunning
	// GangDone means that a gang has ended successfully.
	GangDone
	// AttemptAborted means that an attempt of a gang was aborted.
	AttemptAborted
	// Preempted means that a gang was stopped in favour of another one.
	Preempted
	// Adopted means that all members of a gang from an earlier leader run.
	Adopted
	// WorkerLost means that a worker does not answer or has restarted.
	WorkerLost
	// WorkerBack means that a worker answers again that did not.
	WorkerBack
	// WorkerRefusing means that a worker has refused a start or left one unconfirmed, and
	// gets further ones only one by one.
	WorkerRefusing
	// WorkerQuarantined means that a worker was quarantined.
	WorkerQuarantined
	// JobEnded means that a job has its final state.
	JobEnded
	// JobLoaded means that a job was added to the plan.
	JobLoaded
	// Claimed means that workers are kept free for a wide gang.
	Claimed
	// CrashCounted means that a worker has crashed under a task, or may have.
	CrashCounted
	// JobStarted means that all members of the first gang of a job run.
	JobStarted
	// HeldForLimit means that a gang waits because its team is at its limit.
	HeldForLimit
	// WorkerAvoided means that a worker gets no work until a time for what it has done.
	WorkerAvoided
	// WorkerTried means that a worker that was avoided gets short tasks one by one.
	WorkerTried
	// WorkerTrusted means that a worker that was avoided gets all work again.
	WorkerTrusted
	// WorkerUnsteady means that a worker has begun, or no longer seems, to leave again
	// and again.
	WorkerUnsteady
	// AttemptHeld means that a gang with one attempt left waits, since many workers fail
	// or may do so.
	AttemptHeld
	// WorkerWithheld means that a silent worker gets no lease and no start until its
	// roster row is stored without that.
	WorkerWithheld
	// RunTimeRevised means that a group of tasks is expected to take much longer or
	// shorter than before.
	RunTimeRevised
)

// DecisionCmd reports a decision for the log and the metrics.
type DecisionCmd struct {
	Kind    Decision
	Job     string
	Step    int
	First   int
	Attempt int
	Worker  string
	Domain  string
	Detail  string
	// FreeAccelerators is the number of free accelerators on usable workers, and
	// IdleWorkers the number of usable workers without a run.
	FreeAccelerators int
	IdleWorkers      int
	// Delay is the time from the acceptance of a job to its first start.
	Delay time.Duration
	// Team, Priority, AcceptedAt and Due are those of the job, for JobEnded. Due is when
	// the job has to end to be in time.
	Team            string
	Priority        int
	AcceptedAt, Due time.Time
	// InputAge is how long ago the newest answered poll of the worker was sent.
	InputAge      time.Duration
	ConfigVersion int64
}

// RunTimeCmd reports the run time of a gang that is done, on workers of normal speed near
// its data, and what was expected, for the metrics.
type RunTimeCmd struct {
	Queue    string
	Expected time.Duration
	Actual   time.Duration
}

func (StartCmd) isCmd()    {}
func (StopCmd) isCmd()     {}
func (PollCmd) isCmd()     {}
func (WriteCmd) isCmd()    {}
func (StepDownCmd) isCmd() {}
func (DecisionCmd) isCmd() {}
func (RunTimeCmd) isCmd()  {}

package plan

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Msg is an input of the planner. Only Update reads messages.
type Msg interface{ isMsg() }

// TickMsg makes the planner do what has become due.
type TickMsg struct{}

// JobMsg contains a job row and the rows of its progress that earlier leaders recorded,
// in the order in which they were stored.
type JobMsg struct {
	Job      record.Job
	Progress []record.Progress
}

// CancelMsg reports a recorded cancellation.
type CancelMsg struct {
	ID string
}

// RosterMsg contains workers to which earlier leaders may have assigned work.
type RosterMsg struct {
	Workers []record.RosterEntry
}

// RunTimesMsg contains what earlier leaders have learned from finished runs.
type RunTimesMsg struct {
	Data []byte
}

func (RunTimesMsg) isMsg() {}

// EarlierLeadersMsg reports until when earlier leaders may start tasks and renew leases. A
// planner that gets none allows for a leader that the store alone confirms. A later message
// may report an earlier time.
type EarlierLeadersMsg struct {
	ActUntil time.Time
}

func (EarlierLeadersMsg) isMsg() {}

// LoadedMsg reports that every row that existed at takeover has been sent.
type LoadedMsg struct{}

// ConfigMsg contains the configuration in force.
type ConfigMsg struct {
	Config rules.Config
}

// DomainsMsg names all failure domains that are out of service.
type DomainsMsg struct {
	OutOfService []string
}

// Worker describes a worker as it registers itself.
type Worker struct {
	ID string
	// StartedAt is when this incarnation of the worker started. It distinguishes
	// incarnations with the same identifier.
	StartedAt time.Time
	Target    string
	Address   netip.AddrPort
	Domain    string
	Rack      string
	Labels    []string
	Capacity  record.Amount
	Draining  bool
	// Remaining is the least time that a draining worker still runs.
	Remaining time.Duration
}

// WorkersMsg contains changes to the list of workers. If Complete is set,
// Changed is the full list.
type WorkersMsg struct {
	Changed  []Worker
	Gone     []string
	Complete bool
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// StartOutcome is the outcome of a StartCmd.
type StartOutcome int

// The outcomes of a start.
const (
	// Started means that the worker has the run, either from this start or from
	// an earlier one.
	Started StartOutcome = iota + 1
	// Unanswered means that the worker may have the run, now or later.
	Unanswered
	// Fenced means that the worker has seen a newer leader.
	Fenced
	// Outdated means that this or a higher attempt has already ended on the
	// worker.
	Outdated
	// Expired means that the lease deadline had passed when the worker read the
	// start.
	Expired
	// NoCapacity means that the worker has not enough free capacity.
	NoCapacity
	// Unhealthy means that the worker accepts no work and has done nothing.
	Unhealthy
	// Invalid means that the worker could not read the start.
	Invalid
	// Replaced means that another worker answered at the address.
	Replaced
)

// StartMsg reports the outcome of a StartCmd.
type StartMsg struct {
	Worker  string
	Task    TaskID
	Attempt int
	Outcome StartOutcome
	SentAt  time.Time
	// Clock is the worker's clock when it answered; zero without an answer.
	Clock time.Time
}

// StopMsg reports the outcome of a StopCmd.
type StopMsg struct {
	Worker   string
	Task     TaskID
	Attempt  int
	Answered bool
	Fenced   bool
	Replaced bool
	SentAt   time.Time
	// Clock is the worker's clock when it answered; zero if that is not known.
	Clock time.Time
}

// RunReport describes a run that a worker has.
type RunReport struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int
}

// EndKind is the way in which a run ended.
type EndKind int

// The ways in which a run ends.
const (
	// EndDone is a success.
	EndDone EndKind = iota + 1
	// EndFailed is a failure of the task itself.
	EndFailed
	// EndStopped follows a StopCmd.
	EndStopped
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired
	// EndMemberEnded means that another member of the gang ended.
	EndMemberEnded
	// EndGangIncomplete means that the other members of the gang did not start in
	// time.
	EndGangIncomplete
)

// EndReport describes a run that has ended. Number increases with each end on a
// worker.
type EndReport struct {
	Number     int64
	Task       TaskID
	Attempt    int
	Kind       EndKind
	Checkpoint string
}

// PollMsg reports the outcome of a PollCmd.
type PollMsg struct {
	Worker    string
	SentAt    time.Time
	Answered  bool
	Fenced    bool
	Replaced  bool
	StartedAt time.Time
	Clock     time.Time
	// Acknowledged is the number of the last end that the poll acknowledged.
	Acknowledged int64
	Running      []RunReport
	// Ended lists the oldest ends that are not acknowledged, in ascending order.
	Ended []EndReport
	// MoreEnds is set if there may be more ends than the answer lists. A run in neither
	// list may then have ended.
	MoreEnds bool
}

// WrittenMsg reports that a WriteCmd is done. It is sent only once the rows are
// certain to be stored.
type WrittenMsg struct {
	Batch int
}

func (TickMsg) isMsg()    {}
func (JobMsg) isMsg()     {}
func (CancelMsg) isMsg()  {}
func (RosterMsg) isMsg()  {}
func (LoadedMsg) isMsg()  {}
func (ConfigMsg) isMsg()  {}
func (DomainsMsg) isMsg() {}
func (WorkersMsg) isMsg() {}
func (StartMsg) isMsg()   {}
func (StopMsg) isMsg()    {}
func (PollMsg) isMsg()    {}
func (WrittenMsg) isMsg() {}

package plan

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Msg is an input of the planner. Only Update reads messages.
type Msg interface{ isMsg() }

// TickMsg tells the planner the time when nothing else happens.
type TickMsg struct{}

// JobMsg brings a job row, and the progress that an earlier leader recorded.
type JobMsg struct {
	Job      record.Job
	Progress record.Progress
}

// CancelMsg brings a recorded cancellation.
type CancelMsg struct {
	ID string
}

// RosterMsg brings the workers that earlier leaders may have given work to.
type RosterMsg struct {
	Workers []record.RosterEntry
}

// LoadedMsg says that every row that existed at takeover has been sent.
type LoadedMsg struct{}

// ConfigMsg brings the configuration in force.
type ConfigMsg struct {
	Config rules.Config
}

// DomainsMsg names the failure domains that are out of service.
type DomainsMsg struct {
	Out []string
}

// Worker describes a worker as it registers itself.
type Worker struct {
	ID string
	// Born tells two lives of a worker with the same identifier apart.
	Born     time.Time
	Target   string
	Address  netip.AddrPort
	Domain   string
	Rack     string
	Labels   []string
	Capacity record.Amount
	Draining bool
	// Remaining is the least time that a draining worker still runs.
	Remaining time.Duration
}

// WorkersMsg brings changed entries of the list of workers. Whole says that
// workers that are not named are no longer listed.
type WorkersMsg struct {
	Changed []Worker
	Gone    []string
	Whole   bool
}

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// StartOutcome is what is known after a start was sent.
type StartOutcome int

// The outcomes of a start.
const (
	// Started also stands for a run that was there already.
	Started StartOutcome = iota + 1
	// Unanswered leaves open whether the run is or will be there.
	Unanswered
	// Fenced says that the worker has seen a newer leader.
	Fenced
	// Outdated says that this or a higher attempt has ended there.
	Outdated
	// Expired says that the lease deadline had passed at the worker.
	Expired
	// NoRoom says that the task does not fit.
	NoRoom
	// Unhealthy says that the worker takes no work and has done nothing.
	Unhealthy
	// Invalid says that the worker could not read the order.
	Invalid
	// Replaced says that another life of the worker answered.
	Replaced
)

// StartMsg is the end of a StartCmd.
type StartMsg struct {
	Worker  string
	Task    TaskID
	Attempt int
	Outcome StartOutcome
	SentAt  time.Time
	// Clock is the worker's clock when it answered; zero without an answer.
	Clock time.Time
}

// StopMsg is the end of a StopCmd.
type StopMsg struct {
	Worker   string
	Task     TaskID
	Attempt  int
	Answered bool
	Fenced   bool
	Replaced bool
	SentAt   time.Time
}

// RunReport is a run that a worker has.
type RunReport struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int
}

// EndKind says how a run ended.
type EndKind int

// The ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLapsed
	EndBroken
	EndAlone
)

// EndReport is a run that has ended at a worker. Number rises by worker.
type EndReport struct {
	Number     int64
	Task       TaskID
	Attempt    int
	Kind       EndKind
	Checkpoint string
}

// LookMsg is the end of a LookCmd.
type LookMsg struct {
	Worker   string
	SentAt   time.Time
	Answered bool
	Fenced   bool
	Replaced bool
	Born     time.Time
	Clock    time.Time
	// Acknowledged is the number that the look told the worker.
	Acknowledged int64
	Running      []RunReport
	Ended        []EndReport
}

// WrittenMsg is the end of a WriteCmd. It is sent only once the outcome is
// certain and the rows are stored.
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
func (LookMsg) isMsg()    {}
func (WrittenMsg) isMsg() {}

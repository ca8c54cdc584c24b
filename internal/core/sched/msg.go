package sched

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Msg is an input of the scheduler. Only Update reads messages.
type Msg interface{ isMsg() }

// TickMsg tells the scheduler the time when nothing else happens.
type TickMsg struct{}

// JobMsg brings a job row that is new to this owner.
type JobMsg struct {
	Job schema.JobStatus
}

// CancelMsg brings a caller's recorded cancellation.
type CancelMsg struct {
	ID string
}

// LoadedMsg says that every row that existed at takeover has been sent.
type LoadedMsg struct{}

// Worker describes a worker as the platform's host list gives it.
type Worker struct {
	ID           string
	Domain       string
	Rack         string
	Accelerators int
	Address      netip.AddrPort
	// Leaving workers finish what they run and get no new work.
	Leaving bool
}

// WorkersMsg replaces the known workers of the shard.
type WorkersMsg struct {
	Workers []Worker
}

// Domain is the service state of a failure domain and the version of its row.
type Domain struct {
	Status  schema.DomainStatus
	Version int64
}

// DomainsMsg replaces the service states of failure domains.
type DomainsMsg struct {
	Domains []Domain
}

// ConfigMsg brings the configuration in force and the version of its row.
type ConfigMsg struct {
	Config  schema.ConfigVersion
	Version int64
}

// WorkerMsg is the end of a CallWorkerCmd. Err is set when no whole answer
// arrived, in which case the worker may or may not have acted.
type WorkerMsg struct {
	Worker string
	Call   plat.WorkerCall
	Reply  plat.WorkerReply
	SentAt time.Time
	Err    error
}

// CommittedMsg is the end of a CommitCmd. Nothing was written unless it was
// committed.
type CommittedMsg struct {
	Batch     int
	Committed bool
}

// DrainMsg stops new placements, as a first step of handing the shard over.
type DrainMsg struct{}

func (TickMsg) isMsg()      {}
func (JobMsg) isMsg()       {}
func (CancelMsg) isMsg()    {}
func (LoadedMsg) isMsg()    {}
func (WorkersMsg) isMsg()   {}
func (DomainsMsg) isMsg()   {}
func (ConfigMsg) isMsg()    {}
func (WorkerMsg) isMsg()    {}
func (CommittedMsg) isMsg() {}
func (DrainMsg) isMsg()     {}

package sched

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Msg is an input of the scheduler. Only Update reads messages.
type Msg interface{ isMsg() }

// TickMsg makes the scheduler handle what has become due.
type TickMsg struct{}

// JobMsg delivers a job row that is new to this owner.
type JobMsg struct {
	Job schema.JobStatus
}

// CancelMsg delivers a caller's recorded cancellation of a job.
type CancelMsg struct {
	ID string
}

// LoadedMsg reports that all job rows that existed at takeover have been delivered.
// The scheduler places no gang before it.
type LoadedMsg struct{}

// Worker describes a worker as listed by the platform.
type Worker struct {
	ID           string
	Domain       string
	Rack         string
	Accelerators int
	Address      netip.AddrPort
	// Leaving workers finish their tasks and get no new ones.
	Leaving bool
}

// WorkersMsg replaces the known workers of the shard.
type WorkersMsg struct {
	Workers []Worker
}

// Domain is the service state of a failure domain, with its row's version.
type Domain struct {
	Status  schema.DomainStatus
	Version int64
}

// DomainsMsg replaces the service states of failure domains.
type DomainsMsg struct {
	Domains []Domain
}

// ConfigMsg delivers the configuration in force, with its row's version.
type ConfigMsg struct {
	Config  schema.ConfigVersion
	Version int64
}

// WorkerReplyMsg is the result of a [CallWorkerCmd]. If Err is set, no complete
// reply arrived and the worker may or may not have acted on the call.
type WorkerReplyMsg struct {
	Worker string
	Call   plat.WorkerCall
	Reply  plat.WorkerReply
	SentAt time.Time
	Err    error
}

// CommitResultMsg is the result of a [CommitCmd]. If Committed is false, nothing
// was written.
type CommitResultMsg struct {
	Batch     int
	Committed bool
}

// DrainMsg stops new placements. It is the first step of handing the shard over.
type DrainMsg struct{}

func (TickMsg) isMsg()         {}
func (JobMsg) isMsg()          {}
func (CancelMsg) isMsg()       {}
func (LoadedMsg) isMsg()       {}
func (WorkersMsg) isMsg()      {}
func (DomainsMsg) isMsg()      {}
func (ConfigMsg) isMsg()       {}
func (WorkerReplyMsg) isMsg()  {}
func (CommitResultMsg) isMsg() {}
func (DrainMsg) isMsg()        {}

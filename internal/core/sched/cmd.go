package sched

import (
	"net/netip"

	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Cmd is an action that the runtime carries out for the scheduler.
type Cmd interface{ isCmd() }

// CallWorkerCmd sends a call to a worker. Its end comes back as a WorkerMsg.
type CallWorkerCmd struct {
	Worker  string
	Address netip.AddrPort
	Call    plat.WorkerCall
}

// Condition names a row and the version that it must have; 0 means absent.
type Condition struct {
	Row     string
	Version int64
}

// CommitCmd writes job rows in one transaction that is fenced by the shard's
// row. Its end comes back as a CommittedMsg. At most one is outstanding. A
// commit without rows renews the shard's lease.
type CommitCmd struct {
	Batch      int
	Conditions []Condition
	Jobs       []schema.JobStatus
	// Cleared names jobs whose cancellation row is no longer needed.
	Cleared []string
}

// DecisionKind says what was decided about a job.
type DecisionKind int

// The kinds of decision.
const (
	Placed DecisionKind = iota + 1
	Kept
	Reclaimed
	Started
	Broken
	Ended
	SetAside
	Taken
	Evacuated
)

// DecisionCmd reports one decision for the log.
type DecisionCmd struct {
	Kind          DecisionKind
	Job           string
	Team          string
	Run           int
	Rule          string
	Detail        string
	Worker        string
	Places        []schema.TaskPlace
	ConfigVersion int64
}

// DeposedCmd says that a worker has seen a newer owner of the shard.
type DeposedCmd struct {
	Epoch int64
}

func (DeposedCmd) isCmd()    {}
func (CallWorkerCmd) isCmd() {}
func (CommitCmd) isCmd()     {}
func (DecisionCmd) isCmd()   {}

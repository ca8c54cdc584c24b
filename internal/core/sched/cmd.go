package sched

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Cmd is an action that the runtime carries out for the scheduler.
type Cmd interface{ isCmd() }

// CallWorkerCmd sends a call to a worker. Its result is a [WorkerReplyMsg].
type CallWorkerCmd struct {
	Worker  string
	Address netip.AddrPort
	Call    plat.WorkerCall
}

// Condition requires a row to have the given version; 0 means that the row must
// not exist.
type Condition struct {
	Row     string
	Version int64
}

// CommitCmd writes job rows in one transaction, fenced by the shard's row. Its
// result is a [CommitResultMsg]. At most one commit is outstanding. A commit
// without job rows only renews the shard's lease.
type CommitCmd struct {
	Batch      int
	Conditions []Condition
	Jobs       []schema.JobStatus
	// ClearedCancels lists jobs whose cancellation rows are to be removed.
	ClearedCancels []string
}

// DecisionKind is the kind of a scheduling decision.
type DecisionKind int

const (
	// Placed means that the gang was given places.
	Placed DecisionKind = iota + 1
	// Requeued means that the gang was put back into the queue.
	Requeued
	// Reclaimed means that the gang is being stopped to free its places for
	// another.
	Reclaimed
	// Started means that every member of the gang runs.
	Started
	// Broken means that the run is being stopped since it can no longer
	// complete.
	Broken
	// Ended means that the job has reached a final state.
	Ended
	// Quarantined means that the worker was quarantined after repeated task
	// failures.
	Quarantined
	// Adopted means that the run of an earlier owner was adopted.
	Adopted
	// Evacuated means that the gang is being stopped to move it out of a failure
	// domain that is out of service.
	Evacuated
)

// DecisionCmd reports one decision, to be logged.
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
	// SubmittedAt is when the job was submitted.
	SubmittedAt time.Time
}

// StepDownCmd reports that a worker has seen a newer owner of the shard, with
// that owner's epoch.
type StepDownCmd struct {
	Epoch int64
}

func (StepDownCmd) isCmd()   {}
func (CallWorkerCmd) isCmd() {}
func (CommitCmd) isCmd()     {}
func (DecisionCmd) isCmd()   {}

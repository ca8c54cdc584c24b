package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Workers sends the planner's commands to workers. No method returns an error:
// the message tells whether the worker answered.
type Workers interface {
	// Start starts a task on a worker.
	Start(ctx context.Context, cmd plan.StartCmd) plan.StartMsg
	// Stop stops a run on a worker.
	Stop(ctx context.Context, cmd plan.StopCmd) plan.StopMsg
	// Poll asks a worker for its running and ended runs.
	Poll(ctx context.Context, cmd plan.PollCmd) plan.PollMsg
}

// OperatorChanges holds what operators have changed.
type OperatorChanges struct {
	// Version is the version after which the next call continues.
	Version int64
	// Complete reports that the domains listed as out of service are all there are.
	Complete bool
	// Config is nil if it has not changed or cannot be read.
	Config *rules.Config
	// ConfigErr is set if the configuration has changed and cannot be read.
	ConfigErr error
	// OutOfService lists domains that are now out of service.
	OutOfService []string
	// InService lists domains that are in service again.
	InService []string
}

// Directory reads what operators and workers have written to the store. With after
// 0 a call reads all rows. Otherwise it returns the changes after that version, and
// waits up to wait for one.
type Directory interface {
	// OperatorChanges returns what operators have changed.
	OperatorChanges(ctx context.Context, after int64, wait time.Duration) (OperatorChanges, error)
	// Workers returns the changed workers and the version for the next call.
	Workers(ctx context.Context, after int64, wait time.Duration) (plan.WorkersMsg, int64, error)
}

// Caller holds the host name, path and key of a call.
type Caller struct {
	Host string
	Path string
	Key  string
}

// Sentinel errors of Frontend. The platform's adapter maps each to a status code.
var (
	// ErrNotReady means that this host cannot decide on the call at present.
	// Nothing was done.
	ErrNotReady = errors.New("host is not ready")
	// ErrUnknownQueue means that no queue matches the call.
	ErrUnknownQueue = errors.New("call matches no queue")
	// ErrUnauthorized means that no team has the key.
	ErrUnauthorized = errors.New("call carries no team's key")
	// ErrUnknownJob means that the job does not exist.
	ErrUnknownJob = errors.New("no such job")
	// ErrInvalid means that the call is malformed; repeating it is useless.
	ErrInvalid = errors.New("invalid call")
	// ErrNotStored means that nothing was stored and nothing will be.
	ErrNotStored = errors.New("not stored")
	// ErrOutcomeUnknown means that the call may or may not have been stored.
	ErrOutcomeUnknown = errors.New("outcome is unknown")
)

// Frontend answers callers.
type Frontend interface {
	// Resolve finds the queue and the team of a call.
	Resolve(caller Caller) (Route, error)
	// MaxBody returns the size of the largest body that a call may have, in bytes.
	MaxBody() int64
	// Submit stores a job.
	Submit(ctx context.Context, route Route, job record.Job) error
	// State returns the state of a job.
	State(ctx context.Context, route Route, id string) (record.JobState, error)
	// Cancel stores the cancellation of a job.
	Cancel(ctx context.Context, route Route, id string) error
	// Waiting returns how many jobs of the queue have not started.
	Waiting(ctx context.Context, route Route) (int, error)
	// Ready reports whether the load balancer should send new connections.
	Ready() bool
	// Stopping reports whether connections should be closed after their answer.
	Stopping() bool
}

// Route is the queue and the team that a call belongs to.
type Route struct {
	Queue rules.Queue
	Team  string
	// JobID is the path after the queue's prefix: a job's identifier, or empty.
	JobID string
}

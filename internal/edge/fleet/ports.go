package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Workers carries the planner's orders to workers. No method returns an error:
// a call without an answer is an outcome of its own.
type Workers interface {
	Start(ctx context.Context, order plan.StartCmd) plan.StartMsg
	Stop(ctx context.Context, order plan.StopCmd) plan.StopMsg
	Look(ctx context.Context, order plan.LookCmd) plan.LookMsg
}

// Orders is what operators have changed.
type Orders struct {
	// Version is where the next call goes on.
	Version int64
	// Whole says that Out names every domain that is out of service.
	Whole bool
	// Config is nil if it has not changed.
	Config *rules.Config
	Out    []string
	Back   []string
}

// Directory reads what operators and workers have written to the store. after
// 0 reads all there is; otherwise the call waits for a change.
type Directory interface {
	Orders(ctx context.Context, after int64, wait time.Duration) (Orders, error)
	Workers(ctx context.Context, after int64, wait time.Duration) (plan.WorkersMsg, int64, error)
}

// Caller is what a call says of itself.
type Caller struct {
	Host string
	Path string
	Key  string
}

// Sentinel errors that a caller may get. The adapter gives each its status.
var (
	// ErrNotReady says that this host cannot decide at the moment; nothing
	// was done.
	ErrNotReady = errors.New("host is not ready")
	// ErrUnknownQueue says that there is no such queue.
	ErrUnknownQueue = errors.New("no such queue")
	// ErrUnauthorized says that no team has the key.
	ErrUnauthorized = errors.New("unknown key")
	// ErrUnknownJob says that there is no such job.
	ErrUnknownJob = errors.New("no such job")
	// ErrInvalid says that the call can never be carried out as it is.
	ErrInvalid = errors.New("invalid call")
	// ErrNotStored says that nothing was stored, now or later.
	ErrNotStored = errors.New("not stored")
	// ErrOpen says that the outcome is not known.
	ErrOpen = errors.New("outcome is not known")
)

// Front answers callers.
type Front interface {
	// Resolve finds the queue of a call and what follows its prefix.
	Resolve(caller Caller) (Route, error)
	// Submit stores a job.
	Submit(ctx context.Context, route Route, job record.Job) error
	// State returns the state of a job.
	State(ctx context.Context, route Route, id string) (record.JobState, error)
	// Cancel stores that a job is cancelled.
	Cancel(ctx context.Context, route Route, id string) error
	// Waiting returns how many jobs of the queue have not begun.
	Waiting(ctx context.Context, route Route) (int, error)
	// Ready reports whether the host should get new connections.
	Ready() bool
	// Stopping reports whether connections should end after their answer.
	Stopping() bool
}

// Route is where a call belongs.
type Route struct {
	Queue rules.Queue
	Team  string
	// Rest follows the queue's prefix: a job's identifier or nothing.
	Rest string
}

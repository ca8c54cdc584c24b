// Package runner runs a pure model: it passes messages to Update one at a time and
// the returned commands to an executor.
//
//	r := runner.New(model, execute, time.Now, tick)
//	go r.Run(ctx)
//	r.Send(msg)
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Model is a pure state machine with messages M and commands C. S is its own type.
type Model[S, M, C any] interface {
	// Update applies a message and returns the model and the commands to carry
	// out.
	Update(now time.Time, msg M) (S, []C)
	// Next returns the deadline at which the model wants its tick message. It
	// reports false if the model needs no tick before the next message.
	Next() (time.Time, bool)
}

// Execute carries out one command. It must not block: slow work runs in its own
// goroutine and sends its result to the runner as a message.
type Execute[C any] func(ctx context.Context, cmd C)

// Runner owns a model and is the only one to call it.
type Runner[S Model[S, M, C], M, C any] struct {
	model   S
	execute Execute[C]
	clock   func() time.Time
	tick    M

	mu      sync.Mutex
	inbox   []M
	queries []func(S)
	wake    chan struct{}
	done    chan struct{}
}

// New returns a runner for the model. The model gets the tick message whenever its
// deadline has passed. Run starts it.
func New[S Model[S, M, C], M, C any](model S, execute Execute[C], clock func() time.Time, tick M) *Runner[S, M, C] {
	return &Runner[S, M, C]{
		model:   model,
		execute: execute,
		clock:   clock,
		tick:    tick,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Send queues a message. It never blocks. Messages sent after Run has
// returned are dropped.
func (r *Runner[S, M, C]) Send(msg M) {
	r.mu.Lock()
	r.inbox = append(r.inbox, msg)
	r.mu.Unlock()
	r.signal()
}

// Inspect calls read with the model between two messages and waits for the call. It
// reports false if ctx or the runner ended first; read is then not called any more.
func (r *Runner[S, M, C]) Inspect(ctx context.Context, read func(S)) bool {
	done := make(chan struct{})
	// decided is set by the first of the call of read and the end of the wait.
	var decided atomic.Bool
	r.mu.Lock()
	r.queries = append(r.queries, func(s S) {
		if decided.CompareAndSwap(false, true) {
			read(s)
			close(done)
		}
	})
	r.mu.Unlock()
	r.signal()
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-r.done:
	}
	if decided.CompareAndSwap(false, true) {
		return false
	}
	<-done
	return true
}

// signal wakes Run.
func (r *Runner[S, M, C]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run applies messages until ctx ends.
func (r *Runner[S, M, C]) Run(ctx context.Context) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
			r.update(ctx, r.tick)
		}
		messages, queries := r.takeQueued()
		for _, msg := range messages {
			if ctx.Err() != nil {
				return
			}
			r.update(ctx, msg)
		}
		for _, query := range queries {
			query(r.model)
		}
		r.resetTimer(timer)
	}
}

// Done is closed when Run has returned.
func (r *Runner[S, M, C]) Done() <-chan struct{} {
	return r.done
}

// minTickInterval is the least time between two ticks.
const minTickInterval = time.Millisecond

// resetTimer sets the timer to the model's next deadline, or stops it if there is
// none.
func (r *Runner[S, M, C]) resetTimer(timer *time.Timer) {
	deadline, ok := r.model.Next()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(max(minTickInterval, deadline.Sub(r.clock())))
}

// takeQueued takes the queued messages and queries.
func (r *Runner[S, M, C]) takeQueued() (messages []M, queries []func(S)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	messages, queries = r.inbox, r.queries
	r.inbox, r.queries = nil, nil
	return messages, queries
}

// update applies a message to the model and executes the returned commands.
func (r *Runner[S, M, C]) update(ctx context.Context, msg M) {
	model, cmds := r.model.Update(r.clock(), msg)
	r.model = model
	for _, cmd := range cmds {
		r.execute(ctx, cmd)
	}
}

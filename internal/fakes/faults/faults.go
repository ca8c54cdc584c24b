// Package faults injects faults into the platform's fakes and records the
// history of what they did. Scenarios set and clear faults by command while a test runs.
package faults

import (
	"context"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/proof/check"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of fault.
const (
	// Down closes connections without an answer; the call has no effect.
	Down Kind = "down"
	// Slow delays each call by Delay.
	Slow Kind = "slow"
	// LoseAnswers carries the call out, then closes the connection without an
	// answer.
	LoseAnswers Kind = "lose-answers"
	// Frozen keeps connections open and holds calls back until the fault is
	// cleared.
	Frozen Kind = "frozen"
	// FailTasks makes a worker fail every task it starts.
	FailTasks Kind = "fail-tasks"
	// Truncate makes a target send only the first half of each answer's body.
	Truncate Kind = "truncate"
	// Cross makes a target answer with the identifier of another request.
	Cross Kind = "cross"
	// Refuse makes a target refuse every request.
	Refuse Kind = "refuse"
	// Lag serves the host list as it was Delay ago.
	Lag Kind = "lag"
	// Leaving marks a worker or target as leaving in the host list.
	Leaving Kind = "leaving"
)

// Fault is one injected fault. Who is the component it applies to. From limits
// it to the calls of one entry host; if empty, the calls of all hosts are
// affected. Count, if positive, ends the fault after that many calls.
type Fault struct {
	Kind  Kind          `json:"kind"`
	Who   string        `json:"who"`
	From  string        `json:"from,omitempty"`
	Delay time.Duration `json:"delay,omitempty"`
	Count int           `json:"count,omitempty"`
}

// Injector holds the active faults and the history. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  []Fault
	changed chan struct{}
	history []check.Record
}

// New returns an Injector without faults and with an empty history.
func New() *Injector {
	return &Injector{changed: make(chan struct{})}
}

// Set adds a fault.
func (i *Injector) Set(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, f)
	i.notify()
}

// Clear removes the component's faults of the kind; an empty kind removes all
// of them.
func (i *Injector) Clear(kind Kind, component string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	var rest []Fault
	for _, f := range i.faults {
		if f.Who == component && (kind == "" || f.Kind == kind) {
			continue
		}
		rest = append(rest, f)
	}
	i.faults = rest
	i.notify()
}

func (i *Injector) notify() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// Match returns the active fault of the kind that applies to a call from the
// given entry host to the component. It uses up one call of a counted fault.
func (i *Injector) Match(kind Kind, component, from string) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k := range i.faults {
		f := &i.faults[k]
		if f.Kind != kind || f.Who != component || f.From != "" && f.From != from || f.Count < 0 {
			continue
		}
		if f.Count > 0 {
			f.Count--
			if f.Count == 0 {
				f.Count = -1
			}
		}
		return *f, true
	}
	return Fault{}, false
}

// Admit waits while the component is frozen or slow, and reports whether the
// call reaches it. It returns false if the component is down or ctx is done.
func (i *Injector) Admit(ctx context.Context, component, from string) bool {
	if _, down := i.Match(Down, component, from); down {
		return false
	}
	if !i.waitWhileFrozen(ctx, component, from) {
		return false
	}
	if f, slow := i.Match(Slow, component, from); slow {
		return sleep(ctx, f.Delay)
	}
	return true
}

func (i *Injector) waitWhileFrozen(ctx context.Context, component, from string) bool {
	for {
		i.mu.Lock()
		changed := i.changed
		i.mu.Unlock()
		if _, frozen := i.Match(Frozen, component, from); !frozen {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Record adds a record to the history. A record without a time gets the
// current one.
func (i *Injector) Record(r check.Record) {
	if r.At.IsZero() {
		r.At = time.Now()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history = append(i.history, r)
}

// History returns a copy of the records so far.
func (i *Injector) History() []check.Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]check.Record(nil), i.history...)
}

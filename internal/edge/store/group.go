package store

import (
	"context"
	"slices"
	"sync"
)

// maxEntries is the largest number of expected and written rows that a group
// puts into one change; the platform takes a hundred, and the lane needs two.
const maxEntries = 96

// Group makes changes that wait at the same time in one transaction of a lane.
// Changes whose expectations fail are told so and the rest goes on.
type Group struct {
	lane  *Lane
	value func() []byte

	mu      sync.Mutex
	waiting []*pending
	wake    chan struct{}
}

type pending struct {
	change Change
	result chan groupResult
}

type groupResult struct {
	outcome Outcome
	err     error
}

// NewGroup returns a group on the lane. value gives the lane row's value.
func NewGroup(lane *Lane, value func() []byte) *Group {
	return &Group{lane: lane, value: value, wake: make(chan struct{}, 1)}
}

// Apply waits until the change has been made or certainly has not. When ctx
// ends first the change's outcome is open to the caller, and Apply returns
// the context's error; the group goes on with it.
func (g *Group) Apply(ctx context.Context, change Change) (Outcome, error) {
	p := &pending{change: change, result: make(chan groupResult, 1)}
	g.mu.Lock()
	g.waiting = append(g.waiting, p)
	g.mu.Unlock()
	g.nudge()
	select {
	case r := <-p.result:
		return r.outcome, r.err
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
}

// Touch writes the lane's row alone when nothing else waits.
func (g *Group) Touch() {
	g.mu.Lock()
	if len(g.waiting) == 0 {
		g.waiting = append(g.waiting, &pending{result: make(chan groupResult, 1)})
	}
	g.mu.Unlock()
	g.nudge()
}

func (g *Group) nudge() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run makes changes until ctx ends or the lane is fenced, which it returns.
func (g *Group) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.wake:
		}
		for batch := g.take(); len(batch) > 0; batch = g.take() {
			if err := g.commit(ctx, batch); err != nil {
				return err
			}
		}
	}
}

// take removes the next batch. Changes that touch the same row are kept for
// separate transactions.
func (g *Group) take() []*pending {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch, rest []*pending
	seen := map[Key]bool{}
	entries := 0
	for _, p := range g.waiting {
		size := p.change.entries()
		if len(batch) > 0 && entries+size > maxEntries || overlaps(seen, p.change) {
			rest = append(rest, p)
			continue
		}
		entries += size
		for _, key := range p.change.touched() {
			seen[key] = true
		}
		batch = append(batch, p)
	}
	g.waiting = rest
	return batch
}

// entries returns how many entries of a transaction the change takes.
func (c Change) entries() int {
	return len(c.Expect) + len(c.Put) + len(c.Remove)
}

// touched returns the rows that the change writes or removes.
func (c Change) touched() []Key {
	keys := slices.Clone(c.Remove)
	for _, r := range c.Put {
		keys = append(keys, r.Key)
	}
	return keys
}

func overlaps(seen map[Key]bool, change Change) bool {
	return slices.ContainsFunc(change.touched(), func(k Key) bool { return seen[k] })
}

func (g *Group) commit(ctx context.Context, batch []*pending) error {
	for len(batch) > 0 {
		outcome, err := g.lane.Apply(ctx, merge(batch), g.value)
		if err != nil {
			answer(batch, groupResult{err: err})
			return err
		}
		if outcome.Made {
			answer(batch, groupResult{outcome: outcome})
			return nil
		}
		batch = dropFailed(batch, outcome)
	}
	return nil
}

// dropFailed tells the changes whose expectations failed and returns the rest.
func dropFailed(batch []*pending, outcome Outcome) []*pending {
	var rest []*pending
	for _, p := range batch {
		if p.change.fails(outcome) {
			p.result <- groupResult{outcome: outcome}
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// fails reports whether a row is not as the change expects.
func (c Change) fails(outcome Outcome) bool {
	return slices.ContainsFunc(c.Expect, func(e Row) bool {
		return current(outcome, e.Key).Version != e.Version
	})
}

func merge(batch []*pending) Change {
	var all Change
	for _, p := range batch {
		all.Expect = append(all.Expect, p.change.Expect...)
		all.Put = append(all.Put, p.change.Put...)
		all.Remove = append(all.Remove, p.change.Remove...)
	}
	return all
}

func answer(batch []*pending, r groupResult) {
	for _, p := range batch {
		p.result <- r
	}
}

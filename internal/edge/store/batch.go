package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxEntries limits the expected, written and removed rows that are merged into one
// transaction. The platform accepts 100, and the fence row needs two of them.
const maxEntries = 96

// Batcher commits concurrent changes together: it merges the pending changes into
// one transaction of a fenced writer. If the conditions of some changes do not
// hold, those changes fail and the rest of the batch is tried again.
type Batcher struct {
	writer   *FencedWriter
	rowValue func() []byte

	mu      sync.Mutex
	pending []*pendingChange
	wake    chan struct{}
}

type pendingChange struct {
	change Change
	// until is when the change is given up; zero means never.
	until  time.Time
	result chan commitResult
}

type commitResult struct {
	outcome Outcome
	err     error
}

// NewBatcher merges changes for writer. value returns the next value of the fence
// row.
func NewBatcher(writer *FencedWriter, value func() []byte) *Batcher {
	return &Batcher{writer: writer, rowValue: value, wake: make(chan struct{}, 1)}
}

// Apply waits until the change has been committed or has certainly failed. If ctx
// ends first, Apply returns the context's error and the outcome is unknown to the
// caller; Run still tries to commit the change.
func (b *Batcher) Apply(ctx context.Context, change Change) (Outcome, error) {
	return b.ApplyUntil(ctx, change, time.Time{})
}

// ApplyUntil is Apply for a change that Run gives up if it is not committed by then. An
// attempt that is under way at that time may still be committed.
func (b *Batcher) ApplyUntil(ctx context.Context, change Change, until time.Time) (Outcome, error) {
	p := &pendingChange{change: change, until: until, result: make(chan commitResult, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, p)
	b.mu.Unlock()
	b.signal()
	select {
	case r := <-p.result:
		return r.outcome, r.err
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
}

// Touch renews the fence row. If changes are pending, their commit renews it;
// otherwise Touch queues an empty change.
func (b *Batcher) Touch() {
	b.mu.Lock()
	if len(b.pending) == 0 {
		b.pending = append(b.pending, &pendingChange{result: make(chan commitResult, 1)})
	}
	b.mu.Unlock()
	b.signal()
}

func (b *Batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run commits changes until ctx ends or a commit fails, for example because the
// writer is fenced. It returns the context's error or that of the commit.
func (b *Batcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		for batch := b.nextBatch(); len(batch) > 0; batch = b.nextBatch() {
			if err := b.commit(ctx, batch); err != nil {
				return err
			}
		}
	}
}

// nextBatch takes the next batch from the pending changes. Changes that write the
// same row, or of which one writes what another expects, go into separate transactions.
func (b *Batcher) nextBatch() []*pendingChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*pendingChange
	written, read := map[Key]bool{}, map[Key]bool{}
	entries := 0
	for _, p := range b.pending {
		size := p.change.entries()
		if len(batch) > 0 && entries+size > maxEntries || overlaps(written, p.change.keys()) || overlaps(read, p.change.writtenKeys()) {
			rest = append(rest, p)
			continue
		}
		entries += size
		for _, key := range p.change.writtenKeys() {
			written[key] = true
		}
		for _, row := range p.change.Expect {
			read[row.Key] = true
		}
		batch = append(batch, p)
	}
	b.pending = rest
	return batch
}

// entries returns how many of a transaction's maxEntries the change uses.
func (c Change) entries() int {
	return len(c.Expect) + len(c.Put) + len(c.Remove)
}

// writtenKeys returns the keys that the change writes or removes.
func (c Change) writtenKeys() []Key {
	keys := slices.Clone(c.Remove)
	for _, r := range c.Put {
		keys = append(keys, r.Key)
	}
	return keys
}

// keys returns the keys that the change writes, removes or expects.
func (c Change) keys() []Key {
	keys := c.writtenKeys()
	for _, r := range c.Expect {
		keys = append(keys, r.Key)
	}
	return keys
}

// overlaps reports whether one of the keys is in seen.
func overlaps(seen map[Key]bool, keys []Key) bool {
	return slices.ContainsFunc(keys, func(k Key) bool { return seen[k] })
}

// commit retries the batch without its failed and overdue changes until the rest is
// committed.
func (b *Batcher) commit(ctx context.Context, batch []*pendingChange) error {
	for batch = dropOverdue(batch); len(batch) > 0; batch = dropOverdue(batch) {
		outcome, err := b.attempt(ctx, batch)
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			reply(batch, commitResult{err: err})
			return err
		}
		if outcome.Applied {
			reply(batch, commitResult{outcome: outcome})
			return nil
		}
		batch = dropFailed(batch, outcome)
	}
	return nil
}

// attempt tries to commit the batch until its first change is overdue. The error is then
// context.DeadlineExceeded.
func (b *Batcher) attempt(ctx context.Context, batch []*pendingChange) (Outcome, error) {
	limited := ctx
	if until := firstOverdue(batch); !until.IsZero() {
		var cancel context.CancelFunc
		limited, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	outcome, err := b.writer.Apply(limited, merge(batch), b.rowValue)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		return Outcome{}, context.DeadlineExceeded
	}
	return outcome, err
}

// firstOverdue returns when the first change of the batch is given up; zero means never.
func firstOverdue(batch []*pendingChange) time.Time {
	var first time.Time
	for _, p := range batch {
		if first.IsZero() || !p.until.IsZero() && p.until.Before(first) {
			first = p.until
		}
	}
	return first
}

// dropOverdue gives up the changes whose time is over, whose outcome is unknown, and returns
// the rest.
func dropOverdue(batch []*pendingChange) []*pendingChange {
	now := time.Now()
	var rest []*pendingChange
	for _, p := range batch {
		if !p.until.IsZero() && !now.Before(p.until) {
			p.result <- commitResult{err: ErrUnanswered}
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// dropFailed sends the outcome to the changes whose conditions did not hold and
// returns the rest.
func dropFailed(batch []*pendingChange, outcome Outcome) []*pendingChange {
	var rest []*pendingChange
	for _, p := range batch {
		if p.change.conflicts(outcome) {
			p.result <- commitResult{outcome: outcome}
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// conflicts reports whether a row does not have the version that the change
// expects.
func (c Change) conflicts(outcome Outcome) bool {
	return slices.ContainsFunc(c.Expect, func(e Row) bool {
		return currentRow(outcome, e.Key).Version != e.Version
	})
}

func merge(batch []*pendingChange) Change {
	var all Change
	for _, p := range batch {
		all.Expect = append(all.Expect, p.change.Expect...)
		all.Put = append(all.Put, p.change.Put...)
		all.Remove = append(all.Remove, p.change.Remove...)
	}
	return all
}

func reply(batch []*pendingChange, r commitResult) {
	for _, p := range batch {
		p.result <- r
	}
}

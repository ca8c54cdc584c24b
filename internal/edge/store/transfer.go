package store

import (
	"sync"
	"time"
)

// stalledAfter is how long an attempt that transfers data may make no progress
// before another attempt may transfer data in its place.
const stalledAfter = 500 * time.Millisecond

// transfer decides which attempt of a call may transfer a large request or answer:
// one at a time, since several would share the bandwidth and all end late.
type transfer struct {
	mu sync.Mutex
	// attempts is the number of attempts so far. active is the number of the one that
	// transfers data, or 0.
	attempts, active int
	progressAt       time.Time
	ended            bool
}

// newAttempt returns the number of a new attempt.
func (t *transfer) newAttempt() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts++
	return t.attempts
}

// progressed records that an attempt has made progress. It reports whether the attempt
// may go on.
func (t *transfer) progressed(attempt int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.active != 0 && t.active != attempt && now.Sub(t.progressAt) < stalledAfter
	if t.ended || taken {
		return false
	}
	t.active, t.progressAt = attempt, now
	return true
}

// attemptEnded records that an attempt has its result.
func (t *transfer) attemptEnded(attempt int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == attempt {
		t.active = 0
	}
}

// lastProgress returns when an attempt last made progress, or zero.
func (t *transfer) lastProgress() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.progressAt
}

// end records that the call has its result.
func (t *transfer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

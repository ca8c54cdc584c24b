package store

import (
	"sync"
	"time"
)

// stalledAfter is how long no part of an arriving answer may arrive before another
// attempt is sent, and its answer may arrive in place of the first.
const stalledAfter = 500 * time.Millisecond

// transfers decides which attempt of a call may receive its large answer: one at a
// time, since several would share the bandwidth and all end late.
type transfers struct {
	mu     sync.Mutex
	active *transfer
	// arrivedAt is when a part of the active attempt's answer last arrived.
	arrivedAt time.Time
	// whole is set while the active attempt's answer has arrived whole and is decoded.
	whole bool
	// broken counts the answers that did not arrive whole.
	broken int
	ended  bool
}

// transfer is the part of one attempt.
type transfer struct {
	// arriving is set once a part of the answer has arrived, superseded once that
	// answer is not needed.
	arriving, superseded bool
}

// claim records that a part of an attempt's answer has arrived. It reports whether the
// rest may follow.
func (t *transfers) claim(attempt *transfer, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	attempt.arriving = true
	taken := t.active != nil && t.active != attempt && (t.whole || now.Sub(t.arrivedAt) < stalledAfter)
	if t.ended || taken {
		attempt.superseded = true
		return false
	}
	t.active, t.arrivedAt = attempt, now
	return true
}

// arrivedWhole records that an attempt's answer has arrived whole. No other attempt may
// take its place while it is decoded.
func (t *transfers) arrivedWhole(attempt *transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.whole {
		t.active, t.whole = attempt, true
	}
}

// attemptEnded records the result of an attempt.
func (t *transfers) attemptEnded(attempt *transfer, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == attempt {
		t.active, t.whole = nil, false
	}
	if attempt.arriving && !attempt.superseded && !IsFinal(err) {
		t.broken++
	}
}

// stalledAt returns when the answer that is arriving counts as stalled unless another
// part of it arrives, or zero if none is arriving. One that is decoded does not stall.
func (t *transfers) stalledAt(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.active == nil:
		return time.Time{}
	case t.whole:
		return now.Add(stalledAfter)
	default:
		return t.arrivedAt.Add(stalledAfter)
	}
}

// brokenAnswers returns how many answers did not arrive whole.
func (t *transfers) brokenAnswers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broken
}

// end records that the call has its result.
func (t *transfers) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

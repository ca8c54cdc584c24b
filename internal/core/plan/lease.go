package plan

import (
	"time"
)

const (
	// clockDrift is how much slower than true a worker's clock may be.
	clockDrift = 0.02
	// clockMargin covers what a clock reading is rounded by.
	clockMargin = 20 * time.Millisecond
	// takeoverMargin is how long a leader that was taken over may go on renewing
	// leases before it hears of it from a worker.
	takeoverMargin = 2 * time.Second
)

// inheritedLease returns when every lease from earlier leaders has run out.
func (m *Model) inheritedLease(now time.Time) time.Time {
	return later(now, m.takenAt.Add(takeoverMargin+m.longestLease()))
}

// longestLease returns how long any lease may last on a slow clock.
func (m *Model) longestLease() time.Duration {
	return time.Duration(float64(m.timing.LongestLease)*(1+clockDrift)) + clockMargin
}

// leaseFor returns the deadline on the worker's clock that a renewal sent now
// asks for.
func (m *Model) leaseFor(now time.Time, w *worker) time.Time {
	return w.clock.Add(now.Sub(w.clockAt)).Add(m.timing.Lease)
}

// leaseOver reports whether every lease that the worker may hold has run out
// even if its clock is slow.
func (w *worker) leaseOver(now time.Time) bool {
	if now.Before(w.inheritedUntil) {
		return false
	}
	if w.leaseUntil.IsZero() {
		return true
	}
	passed := time.Duration(float64(now.Sub(w.clockAt)) * (1 - clockDrift))
	return w.clock.Add(passed).After(w.leaseUntil.Add(clockMargin))
}

// heardClock takes in a reading of the worker's clock that cannot be from
// before sentAt.
func (w *worker) heardClock(now time.Time, clock time.Time) {
	if clock.IsZero() {
		return
	}
	if clock.After(w.clock) {
		w.clock = clock
		w.clockAt = now
	}
}

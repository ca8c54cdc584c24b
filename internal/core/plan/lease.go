package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/vouch"
)

const (
	// clockDrift is the largest fraction by which a worker's clock may run slow.
	clockDrift = 0.02
	// clockMargin covers the rounding of clock readings.
	clockMargin = 20 * time.Millisecond
)

// inheritedLease returns when every lease from earlier leaders has expired.
func (m *Model) inheritedLease(now time.Time) time.Time {
	return later(now, m.earlierUntil.Add(m.longestLease()))
}

// setEarlierUntil sets until when earlier leaders may act. Workers that have not answered
// this leader keep what earlier leaders may have granted them for no longer than that.
func (m *Model) setEarlierUntil(now, until time.Time) {
	m.earlierUntil = later(m.leaderSince.Add(vouch.Margin), until)
	for _, w := range m.sortedWorkers {
		if w.inRoster && !w.synced {
			w.inheritedUntil = earlier(w.inheritedUntil, m.inheritedLease(now))
		}
	}
}

// longestLease returns how long any lease may last by a slow clock.
func (m *Model) longestLease() time.Duration {
	return time.Duration(float64(m.timing.LongestLease)*(1+clockDrift)) + clockMargin
}

// leaseFor returns the deadline, by the worker's clock, of a lease renewed now.
func (m *Model) leaseFor(now time.Time, w *worker) time.Time {
	return w.clock.Add(now.Sub(w.clockAt)).Add(m.timing.Lease)
}

// leaseOver reports whether every lease of the worker has expired even if its
// clock is slow.
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

// leastClock returns the least that the worker's clock can show now, unless it has
// begun anew in another incarnation.
func (w *worker) leastClock(now time.Time) time.Time {
	if w.clock.IsZero() {
		return time.Time{}
	}
	passed := time.Duration(float64(now.Sub(w.clockAt)) * (1 - clockDrift))
	return w.clock.Add(passed - clockMargin)
}

// updateClock records a reading of the worker's clock. Older readings are
// ignored.
func (w *worker) updateClock(now time.Time, clock time.Time) {
	if clock.IsZero() {
		return
	}
	if clock.After(w.clock) {
		w.clock = clock
		w.clockAt = now
	}
}

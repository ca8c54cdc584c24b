package route

import "time"

// Next returns the time of the next TickMsg that the router needs: the first
// deadline of an outstanding claim or a queued request or, while requests are
// queued, the end of the first pause of a target. It returns false when there
// is none.
func (m *Model[C]) Next() (time.Time, bool) {
	next := m.nextDeadline()
	return next, !next.IsZero()
}

func (m *Model[C]) nextDeadline() time.Time {
	var next time.Time
	for _, r := range m.claims {
		if r.phase == claiming {
			next = earlierNonZero(next, r.claimDeadline)
		}
	}
	if len(m.queue) == 0 {
		return next
	}
	for _, r := range m.queue {
		next = earlierNonZero(next, m.dispatchDeadline(r))
	}
	for _, i := range m.sortedTargets {
		if m.eligible(i) && i.InFlight < m.slotShare(i) && !i.pausedUntil.IsZero() {
			next = earlierNonZero(next, i.pausedUntil)
		}
	}
	return next
}

// earlierNonZero returns the earlier of two times, or b if a is the zero time.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

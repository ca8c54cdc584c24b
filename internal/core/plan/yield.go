package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
)

// noteWaiting records that a gang could not be placed in the pass for want of room.
// Gangs that wait for something else, or would not fit on empty workers, are left out.
func (m *Model) noteWaiting(now time.Time, r rankedGang, limits riskLimits) {
	target := r.gang.job.queue.Target
	if p, known := m.view.mostUrgent[target]; known && p <= r.priority || limits.lastAttempt || limits.provenOnly {
		return
	}
	if m.fitsWhenEmpty(now, r.gang) {
		m.view.mostUrgent[target] = r.priority
	}
}

// yields reports whether a gang leaves free room to a gang of a higher priority that
// waits for more, since it has time left itself.
func (m *Model) yields(now time.Time, r rankedGang) bool {
	p, waits := m.view.mostUrgent[r.gang.job.queue.Target]
	return !m.policy.Without.Has(ablate.Yielding) && waits && p < r.priority && !m.mayUseHeadroom(now, r)
}

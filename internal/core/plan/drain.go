package plan

import "time"

const (
	// checkpointMargin is the time kept free before a worker ends, to save a
	// checkpoint.
	checkpointMargin = 500 * time.Millisecond
	// drainGrace is how much later than announced a worker is assumed to end.
	drainGrace = time.Second
)

// leaveDraining aborts an attempt that cannot be completed before one of its
// workers ends: at once if its progress cannot be saved, else just in time for
// a last checkpoint.
func (m *Model) leaveDraining(now time.Time, g *gang) bool {
	for _, r := range g.runs {
		w := r.worker
		if !w.Draining || w.drainEndsAt.IsZero() {
			continue
		}
		if !m.expectedEnd(now, r).After(w.drainEndsAt.Add(drainGrace)) {
			continue
		}
		if g.spec().SavesProgress && now.Before(w.drainEndsAt.Add(-m.timing.TaskStop-checkpointMargin)) {
			continue
		}
		m.abortAttempt(now, g, "its worker "+w.ID+" leaves")
		return true
	}
	return false
}

// expectedEnd returns when a run is expected to end, by its progress and pace.
func (m *Model) expectedEnd(now time.Time, r *run) time.Time {
	if left, known := m.learnedLeft(now, r); known {
		return now.Add(left)
	}
	work := m.expectedAttemptDuration(r.gang)
	left := float64(donePercent-r.progress.percent) / donePercent
	if r.pace > 0 {
		left /= r.pace
	}
	return now.Add(time.Duration(left * float64(work)))
}

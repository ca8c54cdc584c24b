package plan

import "time"

const (
	// leaveMargin is kept before a worker ends for saving a checkpoint.
	leaveMargin = 500 * time.Millisecond
	// leaveGrace is how much later than announced a worker is thought to end.
	leaveGrace = time.Second
)

// leaveDraining ends an attempt that cannot be completed before one of its
// workers ends: at once if nothing of it can be saved, else in time for the
// last checkpoint.
func (m *Model) leaveDraining(now time.Time, g *gang) bool {
	for _, r := range g.runs {
		w := r.worker
		if !w.Draining || w.leavesAt.IsZero() {
			continue
		}
		if !m.endOf(now, r).After(w.leavesAt.Add(leaveGrace)) {
			continue
		}
		if g.spec().SavesProgress && now.Before(w.leavesAt.Add(-m.timing.TaskStop-leaveMargin)) {
			continue
		}
		m.breakUp(now, g, "its worker "+w.ID+" leaves")
		return true
	}
	return false
}

// endOf returns when a run is thought to end, by its percent if it shows one.
func (m *Model) endOf(now time.Time, r *run) time.Time {
	work := m.lasts(r.gang)
	left := float64(wholeWork-r.percent) / wholeWork
	if r.pace > 0 {
		left /= r.pace
	}
	return now.Add(time.Duration(left * float64(work)))
}

package plan

import "time"

// preemptionGain returns the value that an urgent gang gains by preempting now instead
// of waiting until others end.
func (m *Model) preemptionGain(now time.Time, g *gang) float64 {
	work := m.expectedDuration(g)
	preempted := m.valueAt(g.job, now.Add(m.timing.TaskStop+work))
	if preempted == 0 {
		return 0
	}
	// The value falls only at the two deadlines, so it is enough to know which of them
	// the gang meets if it waits.
	full, partial := m.deadlines(g.job)
	for _, deadline := range []time.Time{full, partial} {
		if m.fitsBefore(now, g, deadline.Add(-work)) {
			return preempted - m.valueAt(g.job, deadline)
		}
	}
	return preempted
}

// fitsBefore reports whether the gang fits at a time if the gangs that run end when they
// are expected to and nothing else takes their places.
func (m *Model) fitsBefore(now time.Time, g *gang, start time.Time) bool {
	if !start.After(now) {
		return false
	}
	overlay := m.newPreemptionOverlay(false, nil)
	free := m.view.free
	for _, e := range m.endingGangs(now) {
		if e.endsAt.Before(start) {
			m.releaseInto(overlay, e.gang)
			free += len(e.gang.runs) * e.gang.need().Accelerators
		}
	}
	return free >= g.size*g.need().Accelerators && m.findPlaces(now, g, overlay) != nil
}

// endingGang is a running gang with its expected end.
type endingGang struct {
	gang   *gang
	endsAt time.Time
}

// endingGangs returns the gangs that run, with their expected ends. It computes them once
// in a pass.
func (m *Model) endingGangs(now time.Time) []endingGang {
	if m.view.ending != nil {
		return m.view.ending
	}
	m.view.ending = make([]endingGang, 0, m.active.Len())
	for g := range m.active.All() {
		if len(g.runs) == 0 {
			continue
		}
		_, left := m.expectedWhole(now, g)
		if g.phase == stopping {
			left = min(left, m.timing.TaskStop)
		}
		m.view.ending = append(m.view.ending, endingGang{g, now.Add(left)})
	}
	return m.view.ending
}

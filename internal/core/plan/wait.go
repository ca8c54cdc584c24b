package plan

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// maxForecastWait is what a gang is taken to wait that would not fit even if all others
// ended.
const maxForecastWait = time.Minute

// endingGang is a running gang with the time that is left to it.
type endingGang struct {
	gang *gang
	left time.Duration
}

// preemptionGain returns the value that an urgent gang gains by preempting now
// instead of waiting until others end.
func (m *Model) preemptionGain(now time.Time, g *gang) float64 {
	work := m.expectedDuration(g)
	preempted := m.valueAt(g.job, now.Add(m.timing.TaskStop+work))
	if preempted == 0 {
		return 0
	}
	return preempted - m.valueAt(g.job, now.Add(m.waitForEnds(now, g)+work))
}

// waitForEnds returns how long it takes until the gang fits, if gangs that run end when
// they are expected to and nothing else takes their places.
func (m *Model) waitForEnds(now time.Time, g *gang) time.Duration {
	running := m.runningByEnd(now)
	overlay, ended := m.newPreemptionOverlay(false, nil), 0
	n := sort.Search(len(running), func(i int) bool {
		if i < ended {
			overlay, ended = m.newPreemptionOverlay(false, nil), 0
		}
		for ; ended <= i; ended++ {
			m.releaseInto(overlay, running[ended].gang)
		}
		return m.findPlaces(now, g, overlay) != nil
	})
	if n == len(running) {
		return maxForecastWait
	}
	return min(running[n].left, maxForecastWait)
}

// runningByEnd returns the gangs that run, in the order in which they are expected to
// end. It computes them once in a pass.
func (m *Model) runningByEnd(now time.Time) []endingGang {
	if m.view.ending != nil {
		return m.view.ending
	}
	ending := make([]endingGang, 0, m.active.Len())
	for g := range m.active.All() {
		if len(g.runs) == 0 {
			continue
		}
		_, left := m.expectedWhole(now, g)
		if g.phase == stopping {
			left = min(left, m.timing.TaskStop)
		}
		ending = append(ending, endingGang{g, left})
	}
	slices.SortStableFunc(ending, func(a, b endingGang) int { return cmp.Compare(a.left, b.left) })
	m.view.ending = ending
	return ending
}

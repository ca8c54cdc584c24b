package plan

import "time"

const (
	// headroomSpan is the time of urgent arrivals for which room is kept free,
	// so that they need not wait for others to stop.
	headroomSpan = 2000 * time.Millisecond
	// headroomShare is the part of a patient gang's slack for which it stays
	// out of the headroom.
	headroomShare = 0.4
	// arrivalSpan is the time over which the rate of urgent arrivals is taken.
	arrivalSpan = 6 * time.Second
)

// arrivals is a decaying rate of urgent accelerators that were asked for.
type arrivals struct {
	perSecond float64
	at        time.Time
}

// add takes in accelerators that an urgent job asks for.
func (a *arrivals) add(now time.Time, accelerators int) {
	a.decay(now)
	a.perSecond += float64(accelerators) / arrivalSpan.Seconds()
}

func (a *arrivals) decay(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 && !a.at.IsZero() {
		a.perSecond *= max(0, 1-passed.Seconds()/arrivalSpan.Seconds())
	}
	a.at = now
}

// headroom returns how many accelerators on whole free workers are to be kept
// for urgent work.
func (m *Model) headroom(now time.Time) float64 {
	m.urgent.decay(now)
	return m.urgent.perSecond * headroomSpan.Seconds()
}

// leavesHeadroom reports whether a gang may take its places now: urgent ones
// may, others if enough whole workers stay free or their slack runs out.
func (m *Model) leavesHeadroom(now time.Time, r ranked, places []*worker) bool {
	if r.priority == 0 {
		return true
	}
	slack := r.startBy.Sub(r.gang.readyAt)
	if now.After(r.gang.readyAt.Add(time.Duration(headroomShare * float64(slack)))) {
		return true
	}
	opened := map[*worker]bool{}
	for _, w := range places {
		if len(w.runs) == 0 {
			opened[w] = true
		}
	}
	if len(opened) == 0 {
		return true
	}
	free := 0
	for _, w := range m.view.usable[r.gang.job.queue.Target] {
		if len(w.runs) == 0 && !opened[w] {
			free += w.free.Accelerators
		}
	}
	return float64(free) >= m.headroom(now)
}

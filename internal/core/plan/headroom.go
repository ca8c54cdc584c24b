package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
)

const (
	// headroomSpan is the length of time for whose expected urgent arrivals
	// capacity is kept free, so that they need not wait for other gangs to stop.
	headroomSpan = 2000 * time.Millisecond
	// headroomSlackShare is the share of its slack for which a gang that is not
	// urgent must not use the headroom.
	headroomSlackShare = 0.8
	// arrivalWindow is the time over which the rate of urgent arrivals is
	// averaged.
	arrivalWindow = 6 * time.Second
)

// arrivalRate is the decaying rate at which urgent jobs ask for accelerators.
type arrivalRate struct {
	perSecond float64
	at        time.Time
}

// add records the accelerators that an urgent job asks for.
func (a *arrivalRate) add(now time.Time, accelerators int) {
	a.decay(now)
	a.perSecond += float64(accelerators) / arrivalWindow.Seconds()
}

func (a *arrivalRate) decay(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 && !a.at.IsZero() {
		a.perSecond *= max(0, 1-passed.Seconds()/arrivalWindow.Seconds())
	}
	a.at = now
}

// headroom returns how many accelerators on idle workers are to be kept free
// for urgent gangs.
func (m *Model) headroom(now time.Time) float64 {
	if m.policy.Without.Has(ablate.Headroom) {
		return 0
	}
	m.urgent.decay(now)
	return m.urgent.perSecond * headroomSpan.Seconds()
}

// mayUseHeadroom reports whether a gang may take places that are kept free for
// urgent gangs: if it is urgent or has aged, or has used up its share of slack.
func (m *Model) mayUseHeadroom(now time.Time, r rankedGang) bool {
	if r.priority == 0 && !r.beyondRate || r.ageing != young {
		return true
	}
	slack := r.startBy.Sub(r.gang.readyAt)
	return now.After(r.gang.readyAt.Add(time.Duration(headroomSlackShare * float64(slack))))
}

// leavesHeadroom reports whether enough idle workers remain for urgent gangs
// when a gang takes its places, or whether it takes no idle worker with accelerators.
func (m *Model) leavesHeadroom(now time.Time, r rankedGang, places []*worker) bool {
	newlyUsed := map[*worker]bool{}
	for _, w := range places {
		if len(w.runs) == 0 && w.free.Accelerators > 0 {
			newlyUsed[w] = true
		}
	}
	if len(newlyUsed) == 0 {
		return true
	}
	free := 0
	for _, w := range m.view.usable[r.gang.job.queue.Target] {
		if len(w.runs) == 0 && !newlyUsed[w] {
			free += w.free.Accelerators
		}
	}
	return float64(free) >= m.headroom(now)
}

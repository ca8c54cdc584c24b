package plan

import (
	"slices"
	"time"
)

const (
	// claimAfter is how long a gang waits before workers are cleared for it.
	claimAfter = 1500 * time.Millisecond
	// claimShare is the part of a rack from which on a gang counts as wide.
	claimShare = 0.4
	// claimLimit is how long workers are cleared for one gang at most.
	claimLimit = 8 * time.Second
	// claimRacks is how many racks there are for each claim at the same time.
	claimRacks = 4
)

// claim keeps others out of workers until a wide gang fits on them. Without it
// small gangs take each place as it comes free, and wide ones wait for ever.
func (m *Model) claim(now time.Time, r ranked) {
	g := r.gang
	if len(g.claimed) > 0 || r.standing == earnsNothing || now.Sub(g.readyAt) < claimAfter {
		return
	}
	if m.claims >= max(1, len(m.racks)/claimRacks) || !m.wide(g) {
		return
	}
	workers := m.soonestRoom(now, g)
	if workers == nil {
		return
	}
	g.claimed = workers
	g.claimUntil = now.Add(claimLimit)
	for _, w := range workers {
		w.claimedBy = g
	}
	m.claims++
	m.decide(Claimed, g, workers[0], placeText(workers))
}

// unclaim lets others in again.
func (m *Model) unclaim(g *gang) {
	if len(g.claimed) == 0 {
		return
	}
	for _, w := range g.claimed {
		if w.claimedBy == g {
			w.claimedBy = nil
		}
	}
	g.claimed = nil
	m.claims--
	m.changed = true
}

// claimedByOther reports whether the worker is being cleared for a gang that
// goes before g.
func (w *worker) claimedByOther(g *gang) bool {
	return w.claimedBy != nil && w.claimedBy != g && g.job.queue.Priority >= w.claimedBy.job.queue.Priority
}

// wide reports whether the gang takes a large part of a rack, in whichever part
// of a worker its tasks need most.
func (m *Model) wide(g *gang) bool {
	largest := 0
	for _, rk := range m.racks {
		if rk.target == g.job.queue.Target {
			largest = max(largest, slotsOf(g, rk.workers))
		}
	}
	return float64(g.size) >= claimShare*float64(largest)
}

// slotsOf returns how many tasks of the gang the workers hold when empty.
func slotsOf(g *gang, workers []*worker) int {
	slots := 0
	for _, w := range workers {
		if w.listed && !w.Draining {
			slots += times(g.need(), w.Capacity)
		}
	}
	return slots
}

// expireClaims gives up claims that take too long, or of which a worker can no
// longer be used.
func (m *Model) expireClaims(now time.Time) {
	if m.claims == 0 {
		return
	}
	for _, g := range m.queue {
		if len(g.claimed) == 0 {
			continue
		}
		lost := slices.ContainsFunc(g.claimed, func(w *worker) bool { return !m.usable(now, w) })
		if lost || now.After(g.claimUntil) {
			m.unclaim(g)
		}
	}
}

// soonestRoom returns the workers on which the gang will fit first, if nothing
// else is placed there.
func (m *Model) soonestRoom(now time.Time, g *gang) []*worker {
	if !g.spec().SameRack || !m.rackCanHold(g) {
		workers, _ := m.clearing(now, g, m.order)
		return workers
	}
	var best []*worker
	var bestAt time.Time
	for _, rk := range m.racks {
		if rk.target != g.job.queue.Target {
			continue
		}
		workers, at := m.clearing(now, g, rk.workers)
		if workers != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = workers, at
		}
	}
	return best
}

// clearing returns those of the workers that will be empty first and hold the
// gang together, and when they will be.
func (m *Model) clearing(now time.Time, g *gang, workers []*worker) ([]*worker, time.Time) {
	type clearance struct {
		worker *worker
		at     time.Time
	}
	var candidates []clearance
	for _, w := range workers {
		if w.Target != g.job.queue.Target || w.claimedBy != nil || !m.usable(now, w) || w.slow(now) {
			continue
		}
		at := now
		for _, r := range w.runs {
			if r.gang != nil {
				at = later(at, m.endOf(now, r))
			}
		}
		candidates = append(candidates, clearance{w, at})
	}
	slices.SortStableFunc(candidates, func(a, b clearance) int { return a.at.Compare(b.at) })
	var chosen []*worker
	slots := 0
	for _, c := range candidates {
		chosen = append(chosen, c.worker)
		slots += times(g.need(), c.worker.Capacity)
		if slots >= g.size {
			return chosen, c.at
		}
	}
	return nil, time.Time{}
}

package plan

import (
	"slices"
	"time"
)

const (
	// claimAfter is how long a gang waits before workers are claimed for it.
	claimAfter = 1500 * time.Millisecond
	// wideGangShare is the share of the largest rack from which on a gang
	// counts as wide.
	wideGangShare = 0.4
	// claimTimeout limits how long a gang holds a claim.
	claimTimeout = 8 * time.Second
	// racksPerClaim limits the claims held at the same time: one for each
	// racksPerClaim racks, and at least one.
	racksPerClaim = 4
)

// claim prevents other gangs of the same or a lower priority from using some
// workers until a wide gang fits on them. Without claims, small gangs take each
// place as it becomes free, and wide ones starve.
func (m *Model) claim(now time.Time, r rankedGang) {
	g := r.gang
	if len(g.claimed) > 0 || r.lateness == tooLate || now.Sub(g.readyAt) < claimAfter {
		return
	}
	if m.claims >= max(1, len(m.racks)/racksPerClaim) || !m.wide(g) {
		return
	}
	workers := m.workersToClaim(now, g)
	if workers == nil {
		return
	}
	g.claimed = workers
	g.claimUntil = now.Add(claimTimeout)
	for _, w := range workers {
		w.claimedBy = g
	}
	m.claims++
	m.reportDecision(Claimed, g, workers[0], joinWorkerIDs(workers))
}

// unclaim releases the gang's claim.
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

// claimedByOther reports whether the worker is claimed for another gang of the
// same or a higher priority.
func (w *worker) claimedByOther(g *gang) bool {
	return w.claimedBy != nil && w.claimedBy != g && g.job.queue.Priority >= w.claimedBy.job.queue.Priority
}

// wide reports whether the gang takes a large share of a rack, measured in the
// scarcest resource of its tasks.
func (m *Model) wide(g *gang) bool {
	largest := 0
	for _, rk := range m.racks {
		if rk.target == g.job.queue.Target {
			largest = max(largest, slotsWhenEmpty(g, rk.workers))
		}
	}
	return float64(g.size) >= wideGangShare*float64(largest)
}

// slotsWhenEmpty returns how many tasks of the gang the workers can hold when
// empty.
func slotsWhenEmpty(g *gang, workers []*worker) int {
	slots := 0
	for _, w := range workers {
		if w.listed && !w.Draining {
			slots += fitCount(g.need(), w.Capacity)
		}
	}
	return slots
}

// expireClaims releases claims that have timed out or have lost a worker.
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

// workersToClaim returns the workers on which the gang will fit soonest if
// nothing else is placed there.
func (m *Model) workersToClaim(now time.Time, g *gang) []*worker {
	if !g.spec().SameRack || !m.fitsEmptyRack(g) {
		workers, _ := m.soonestEmpty(now, g, m.sortedWorkers)
		return workers
	}
	var best []*worker
	var bestAt time.Time
	for _, rk := range m.racks {
		if rk.target != g.job.queue.Target {
			continue
		}
		workers, at := m.soonestEmpty(now, g, rk.workers)
		if workers != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = workers, at
		}
	}
	return best
}

// soonestEmpty returns those of the given workers that are expected to be empty
// first and together hold the gang, and when they will be.
func (m *Model) soonestEmpty(now time.Time, g *gang, workers []*worker) ([]*worker, time.Time) {
	type emptying struct {
		worker *worker
		at     time.Time
	}
	var candidates []emptying
	for _, w := range workers {
		if w.Target != g.job.queue.Target || w.claimedBy != nil || !m.usable(now, w) || w.slow(now) {
			continue
		}
		at := now
		for _, r := range w.runs {
			if r.gang != nil {
				at = later(at, m.expectedEnd(now, r))
			}
		}
		candidates = append(candidates, emptying{w, at})
	}
	slices.SortStableFunc(candidates, func(a, b emptying) int { return a.at.Compare(b.at) })
	var chosen []*worker
	slots := 0
	for _, c := range candidates {
		chosen = append(chosen, c.worker)
		slots += fitCount(g.need(), c.worker.Capacity)
		if slots >= g.size {
			return chosen, c.at
		}
	}
	return nil, time.Time{}
}

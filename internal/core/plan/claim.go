package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// claimAfter is how long a gang waits before workers are claimed for it.
	claimAfter = 200 * time.Millisecond
	// wideGangShare is the share of the largest rack from which on a gang
	// counts as wide.
	wideGangShare = 0.4
	// claimRenewal is the least time after which a claim that was not met in time is
	// made anew, with what is then expected.
	claimRenewal = 500 * time.Millisecond
	// claimShare is the share of a target's capacity that may be claimed. The rest is
	// left to whatever fits.
	claimShare = 0.5
)

// claim prevents other gangs from using room on some workers until a gang fits there.
// Without claims, small gangs take each place as it becomes free, and wide ones
// starve.
type claim struct {
	// workers holds the worker of each task.
	workers []*worker
	// freeAt is when all of the room is expected to be free. Work that ends before that
	// may use it meanwhile.
	freeAt time.Time
	// renewAt is when the claim is made anew if the gang still waits.
	renewAt time.Time
	// ageing is that of the gang. Claims of aged gangs are kept for as long as the
	// gang waits, and those of starved gangs against work of every priority.
	ageing ageing
}

// claimFor claims workers for a gang that could not be placed, if it has aged or
// is wide.
func (m *Model) claimFor(now time.Time, r rankedGang) {
	g := r.gang
	if m.policy.Without.Has(ablate.Claims) {
		return
	}
	if len(g.claim.workers) > 0 {
		g.claim.ageing = max(g.claim.ageing, r.ageing)
		return
	}
	if r.ageing != young || m.mayClaim(now, r) {
		m.setClaim(now, g, r.ageing)
	}
}

// mayClaim reports whether workers may be claimed for a young gang.
func (m *Model) mayClaim(now time.Time, r rankedGang) bool {
	switch {
	case r.lateness == tooLate, now.Sub(r.gang.readyAt) < claimAfter:
		return false
	default:
		return m.wide(r.gang) && m.claimed[r.gang.job.queue.Target]+r.gang.coreEquivalents() <= claimShare*m.view.cores[r.gang.job.queue.Target]
	}
}

// setClaim claims the workers on which the gang will fit soonest, if there are
// enough.
func (m *Model) setClaim(now time.Time, g *gang, age ageing) {
	workers, freeAt := m.workersToClaim(now, g)
	if workers == nil {
		return
	}
	g.claim = claim{workers: workers, freeAt: freeAt, renewAt: later(freeAt, now.Add(claimRenewal)), ageing: age}
	for _, w := range workers {
		if w.claimedBy != nil && w.claimedBy != g {
			m.unclaim(w.claimedBy)
		}
		w.claimedBy = g
		w.claimedNeed = amount.Add(w.claimedNeed, g.need())
	}
	m.claimed[g.job.queue.Target] += g.coreEquivalents()
	m.claims++
	m.reportDecision(Claimed, g, workers[0], joinWorkerIDs(workers))
}

// unclaim releases the gang's claim.
func (m *Model) unclaim(g *gang) {
	if len(g.claim.workers) == 0 {
		return
	}
	for _, w := range g.claim.workers {
		w.claimedBy = nil
		w.claimedNeed = record.Amount{}
	}
	m.claimed[g.job.queue.Target] -= g.coreEquivalents()
	g.claim = claim{}
	m.claims--
	m.changed = true
}

// claimedAgainst reports whether the worker is claimed for another gang and g may use
// only what the claim leaves: unless g will have ended by the time the claim needs the
// worker, or comes before that gang and has a higher priority or is wide itself. Small
// gangs of the same priority never end, and would take the claimed room piece by piece.
func (m *Model) claimedAgainst(now time.Time, w *worker, g *gang) bool {
	holder := w.claimedBy
	if holder == nil || holder == g {
		return false
	}
	before := g.position < holder.position
	if before && (g.job.queue.Priority < holder.job.queue.Priority || m.wide(g)) {
		return false
	}
	return m.surelyEnds(now, g).After(holder.claim.freeAt)
}

// wide reports whether the gang takes a large share of a rack, measured in the
// scarcest resource of its tasks.
func (m *Model) wide(g *gang) bool {
	largest := 0
	for _, rk := range m.racks {
		if rk.target == g.job.queue.Target {
			largest = max(largest, m.slotsWhenEmpty(g, rk.workers))
		}
	}
	return float64(g.size) >= wideGangShare*float64(largest)
}

// slotsWhenEmpty returns how many tasks of the gang the workers can hold when
// empty.
func (m *Model) slotsWhenEmpty(g *gang, workers []*worker) int {
	slots := 0
	for _, w := range workers {
		if w.listed && !w.Draining && !m.outOfService[w.Domain] && m.eligible(g, w) {
			slots += g.slotsOnEmpty(w)
		}
	}
	return slots
}

// slotsOnEmpty returns how many tasks of the gang an empty worker can hold.
func (g *gang) slotsOnEmpty(w *worker) int {
	slots := amount.Count(g.need(), w.Capacity)
	if limit := g.spec().SpreadLimit; limit > 0 {
		slots = min(slots, limit)
	}
	return slots
}

// renewClaims replaces claims that wait longer than expected, that have lost a worker or
// on which the gang no longer fits.
func (m *Model) renewClaims(now time.Time, ranked []rankedGang) {
	if m.claims == 0 {
		return
	}
	for _, r := range ranked {
		g := r.gang
		if len(g.claim.workers) == 0 {
			continue
		}
		age := g.claim.ageing
		switch {
		case m.claimBroken(now, g):
			m.unclaim(g)
			m.setClaim(now, g, age)
		case age == young && now.After(g.claim.renewAt):
			m.unclaim(g)
			m.setClaim(now, g, age)
		}
	}
}

// claimBroken reports whether a worker of the gang's claim may get no new work, or
// could no longer hold what is claimed there if it were empty.
func (m *Model) claimBroken(now time.Time, g *gang) bool {
	return slices.ContainsFunc(g.claim.workers, func(w *worker) bool {
		return !m.usable(now, w) || !amount.Fits(w.claimedNeed, w.Capacity)
	})
}

// workersToClaim returns the workers on which the gang will fit soonest if
// nothing else is placed there, and when it will.
func (m *Model) workersToClaim(now time.Time, g *gang) ([]*worker, time.Time) {
	if g.spec().NearRack != "" && m.fitsNearData(g) {
		return m.soonestFit(now, g, m.workersNearData(g))
	}
	if !g.spec().SameRack || !m.fitsEmptyRack(g) {
		return m.soonestFit(now, g, m.sortedWorkers)
	}
	var best []*worker
	var bestAt time.Time
	for _, rk := range m.racks {
		if rk.target != g.job.queue.Target {
			continue
		}
		workers, at := m.soonestFit(now, g, rk.workers)
		if workers != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = workers, at
		}
	}
	return best, bestAt
}

// soonestFit returns those of the given workers that will have room for the gang
// soonest if nothing else is placed there, each once for every task, and when they
// will. Workers that are claimed for gangs that come later count as well.
func (m *Model) soonestFit(now time.Time, g *gang, workers []*worker) ([]*worker, time.Time) {
	var slots []slot
	for _, w := range workers {
		claimed := w.claimedBy != nil && w.claimedBy.position < g.position
		if claimed || !m.eligible(g, w) || !m.usable(now, w) || w.slow(now) || m.limitByRisk(now, g, w, 1) == 0 {
			continue
		}
		slots = m.appendSlots(slots, now, g, w)
	}
	if len(slots) < g.size {
		return nil, time.Time{}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return a.at.Compare(b.at) })
	places := make([]*worker, g.size)
	for i := range places {
		places[i] = slots[i].worker
	}
	return places, slots[g.size-1].at
}

// slot is room for one task on a worker from a time on.
type slot struct {
	worker *worker
	at     time.Time
}

// appendSlots appends when the worker will have room for one, two and more tasks of the
// gang as its runs end.
func (m *Model) appendSlots(slots []slot, now time.Time, g *gang, w *worker) []slot {
	most := min(g.slotsOnEmpty(w), g.size)
	free := w.free
	count := min(amount.Count(g.need(), free), most)
	for range count {
		slots = append(slots, slot{w, now})
	}
	if count == most {
		return slots
	}
	for _, e := range m.expectedEnds(now, w) {
		free = amount.Add(free, e.need)
		for n := min(amount.Count(g.need(), free), most); count < n; count++ {
			slots = append(slots, slot{w, e.at})
		}
	}
	return slots
}

// runEnd is when a run is expected to end, and what it then frees.
type runEnd struct {
	at   time.Time
	need record.Amount
}

// expectedEnds returns when the worker's runs are expected to end, soonest first.
func (m *Model) expectedEnds(now time.Time, w *worker) []runEnd {
	ends := make([]runEnd, 0, len(w.runs))
	for _, r := range w.runs {
		switch {
		case r.gang == nil:
		case r.phase == terminating:
			ends = append(ends, runEnd{now.Add(m.timing.TaskStop), r.need})
		default:
			ends = append(ends, runEnd{m.expectedEnd(now, r), r.need})
		}
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return a.at.Compare(b.at) })
	return ends
}

// leftByClaim returns what the claim on the worker leaves to others that will still run
// when the claim needs the worker.
func (m *Model) leftByClaim(now time.Time, w *worker) record.Amount {
	left := amount.Sub(w.free, w.claimedNeed)
	for _, e := range m.expectedEnds(now, w) {
		if !e.at.After(w.claimedBy.claim.freeAt) {
			left = amount.Add(left, e.need)
		}
	}
	return amount.Min(left, w.free)
}

package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// victim is a gang that may be preempted, with the cost of that.
type victim struct {
	gang *gang
	cost float64
}

// preemption is a set of gangs to stop and the places that the urgent gang then
// takes.
type preemption struct {
	victims []victim
	places  []*worker
	cost    float64
}

const (
	// preemptInterval is the least time between two searches for one gang.
	preemptInterval = 150 * time.Millisecond
	// maxPreemptTries limits the searches in one pass, those for a guarantee and the
	// others each.
	maxPreemptTries = 4
)

// preempt stops the gangs whose loss costs least to free capacity for an
// urgent gang, and reserves their places for it. It does so if the urgent gang
// gains more than that cost, or if capacity has to be reclaimed for its team's
// guarantee (forced).
func (m *Model) preempt(now time.Time, g *gang) bool {
	forced := m.mustReclaim(now, g)
	tries := &m.view.preemptTries
	if forced {
		tries = &m.view.reclaimTries
	}
	if now.Before(g.nextPreempt) || *tries >= maxPreemptTries {
		return false
	}
	gain := m.preemptionGain(now, g)
	if !forced && (gain <= 0 || m.policy.Without.Has(ablate.Preemption)) {
		return false
	}
	if m.beyondRate(g.job) && !forced {
		return false
	}
	*tries++
	g.nextPreempt = now.Add(preemptInterval)
	best, ok := m.cheapestPreemption(now, g, forced)
	if !ok || !forced && gain <= best.cost {
		return false
	}
	m.reserve(now, g, best.places)
	for _, v := range best.victims {
		v.gang.preemptions++
		m.reportDecision(Preempted, v.gang, nil, "for "+g.job.spec.ID)
		m.abortAttempt(now, v.gang, "preempted for "+g.job.spec.ID)
	}
	return true
}

// reclaim preempts for an urgent gang whose team's guarantee has to be met now.
func (m *Model) reclaim(now time.Time, r rankedGang) {
	if r.priority == 0 && m.mustReclaim(now, r.gang) {
		m.preempt(now, r.gang)
	}
}

// preemptionGain returns the value that an urgent gang gains by preempting now
// instead of waiting for capacity to become free.
func (m *Model) preemptionGain(now time.Time, g *gang) float64 {
	work := m.expectedDuration(g)
	preemptedEnd := now.Add(m.timing.TaskStop + work)
	return m.valueAt(g.job, preemptedEnd) - m.valueAt(g.job, preemptedEnd.Add(waitWithoutPreemption))
}

const (
	// waitWithoutPreemption is how long an urgent gang is expected to wait for
	// capacity if nothing is preempted.
	waitWithoutPreemption = 2 * time.Second
	// reclaimMargin is how long before the deadline of a guarantee its capacity
	// is reclaimed.
	reclaimMargin = 900 * time.Millisecond
)

// cheapestPreemption returns the preemption of least cost within one rack or
// over all workers.
func (m *Model) cheapestPreemption(now time.Time, g *gang, forced bool) (preemption, bool) {
	costs := map[*gang]float64{}
	var best preemption
	own, found := m.limitVictims(now, g, forced, costs)
	if !found {
		return best, false
	}
	found = false
	for _, scope := range m.preemptionScopes(g) {
		p, ok := m.preemptAmong(now, g, forced, scope, own, costs)
		if ok && (!found || p.cost < best.cost) {
			best, found = p, true
		}
	}
	return best, found
}

// preemptionScopes returns the sets of workers within which to search for a
// preemption: each rack, and all workers unless the gang has to stay in one
// rack.
func (m *Model) preemptionScopes(g *gang) [][]*worker {
	var scopes [][]*worker
	for _, rk := range m.racks {
		if rk.target == g.job.queue.Target {
			scopes = append(scopes, rk.workers)
		}
	}
	if g.spec().SameRack && g.size > 1 && m.fitsEmptyRack(g) {
		return scopes
	}
	return append(scopes, m.view.usable[g.job.queue.Target])
}

// mayPreempt reports whether g may preempt v: if v has a lower priority or is beyond
// its team's rate, or, when a guarantee has to be met (forced), if v belongs to another team that
// exceeds its own guarantee. Gangs that were moved forward for their long wait
// are stopped only to meet a guarantee.
func (m *Model) mayPreempt(g, v *gang, forced bool) bool {
	if v == nil || v.phase != placed || v.job == g.job {
		return false
	}
	if v.job.queue.Priority > g.job.queue.Priority || m.beyondRate(v.job) && !m.beyondRate(g.job) {
		return forced || !v.aged
	}
	return forced && v.job.spec.Team != g.job.spec.Team && !m.withinGuarantee(v.job.spec.Team)
}

// pricedVictim is a victim with the accelerators that it frees and its cost for
// each core that it frees.
type pricedVictim struct {
	victim
	freed       int
	costPerCore float64
}

// victimsAmong returns the gangs on the workers that g may preempt, cheapest
// first, and the number of accelerators that are free there. costs caches
// preemption costs.
func (m *Model) victimsAmong(now time.Time, g *gang, forced bool, workers []*worker, costs map[*gang]float64) ([]pricedVictim, int) {
	freed := map[*gang]record.Amount{}
	free := 0
	for _, w := range workers {
		if !m.usable(now, w) {
			continue
		}
		free += max(0, w.free.Accelerators)
		for _, r := range w.runs {
			if m.mayPreempt(g, r.gang, forced) {
				freed[r.gang] = amount.Add(freed[r.gang], r.need)
			}
		}
	}
	victims := make([]pricedVictim, 0, len(freed))
	for v, released := range freed {
		cost := m.cachedCost(now, v, costs)
		victims = append(victims, pricedVictim{victim{v, cost}, released.Accelerators, cost / max(amount.CoreEquivalents(released), 1)})
	}
	slices.SortFunc(victims, func(a, b pricedVictim) int {
		return cmp.Or(falseFirst(!m.aboveShare(a.gang.job.spec.Team), !m.aboveShare(b.gang.job.spec.Team)),
			cmp.Compare(a.costPerCore, b.costPerCore), compareTasks(a.gang, b.gang))
	})
	return victims, free
}

// cachedCost returns the cost of preempting the gang, computing it once a search.
func (m *Model) cachedCost(now time.Time, v *gang, costs map[*gang]float64) float64 {
	cost, known := costs[v]
	if !known {
		cost = m.preemptionCost(now, v)
		costs[v] = cost
	}
	return cost
}

// preemptAmong searches for a cheap preemption within the given workers. The gangs
// in own are stopped in any case, so that g keeps its team's limit.
func (m *Model) preemptAmong(now time.Time, g *gang, forced bool, workers []*worker, own []victim, costs map[*gang]float64) (preemption, bool) {
	victims, free := m.victimsAmong(now, g, forced, workers, costs)
	needed := g.size * g.need().Accelerators
	overlay := m.newPreemptionOverlay(forced, own)
	if forced || !m.withinLimit(g) {
		// Workers that are free but claimed for other gangs may be enough, or those that
		// the team's own gangs leave.
		if places := m.findPlacesAmong(now, g, overlay, workers); places != nil {
			return newPreemption(own, places), true
		}
	}
	chosen := slices.Clone(own)
	for _, v := range victims {
		if slices.ContainsFunc(own, func(o victim) bool { return o.gang == v.gang }) {
			continue
		}
		m.releaseInto(overlay, v.gang)
		chosen = append(chosen, v.victim)
		free += v.freed
		if free < needed {
			continue
		}
		if places := m.findPlacesAmong(now, g, overlay, workers); places != nil {
			return m.pruneVictims(now, g, forced, own, chosen, places, workers), true
		}
	}
	return preemption{}, false
}

// newPreemptionOverlay returns an overlay in which the given gangs are gone. Claims
// do not count when a guarantee has to be met (forced).
func (m *Model) newPreemptionOverlay(forced bool, gone []victim) *freeOverlay {
	overlay := &freeOverlay{free: map[*worker]record.Amount{}, ignoreClaims: forced}
	for _, v := range gone {
		m.releaseInto(overlay, v.gang)
	}
	return overlay
}

// newPreemption returns the preemption of the victims for the places.
func newPreemption(victims []victim, places []*worker) preemption {
	p := preemption{victims: victims, places: places}
	for _, v := range victims {
		p.cost += v.cost
	}
	return p
}

// releaseInto adds the capacity of a gang's runs to the overlay.
func (m *Model) releaseInto(overlay *freeOverlay, g *gang) {
	for _, r := range g.runs {
		overlay.free[r.worker] = amount.Add(overlay.freeOn(r.worker), r.need)
	}
}

// pruneVictims leaves out the victims without which the gang fits as well,
// most expensive first. Those in own stay.
func (m *Model) pruneVictims(now time.Time, g *gang, forced bool, own, chosen []victim, places []*worker, workers []*worker) preemption {
	slices.SortFunc(chosen, func(a, b victim) int { return cmp.Compare(b.cost, a.cost) })
	for i := 0; i < len(chosen); {
		if slices.Contains(own, chosen[i]) {
			i++
			continue
		}
		remaining := slices.Delete(slices.Clone(chosen), i, i+1)
		overlay := m.newPreemptionOverlay(forced, remaining)
		found := m.findPlacesAmong(now, g, overlay, workers)
		if found == nil {
			i++
			continue
		}
		chosen, places = remaining, found
	}
	return newPreemption(chosen, places)
}

// reserve keeps places for a gang while the gangs on them are being stopped.
func (m *Model) reserve(now time.Time, g *gang, places []*worker) {
	m.dequeue(g)
	g.phase = reserved
	g.places = places
	g.deadline = now.Add(m.timing.ReserveTimeout)
	m.active.Add(g)
	m.reservations.Add(g)
	m.teamLedger.Reserve(g.job.spec.Team, g.totalNeed())
	for _, w := range places {
		w.free = amount.Sub(w.free, g.need())
		w.reserved = amount.Add(w.reserved, g.need())
	}
}

// unreserve gives up reserved places.
func (m *Model) unreserve(g *gang) {
	for _, w := range g.places {
		w.reserved = amount.Sub(w.reserved, g.need())
		w.recount()
	}
	m.teamLedger.Release(g.job.spec.Team, g.totalNeed())
	g.places = nil
	m.active.Remove(g)
	m.reservations.Remove(g)
	m.changed = true
}

// startReserved checks every gang that holds a reservation.
func (m *Model) startReserved(now time.Time) {
	for g := range m.reservations.All() {
		m.checkReserved(now, g)
	}
}

// checkReserved places a gang whose reserved capacity has become free. It puts
// the gang back into the queue if a worker is lost or no longer holds what is
// reserved there, or if the reservation times out. A worker that has left the list
// may be forgotten, and a run there never end.
func (m *Model) checkReserved(now time.Time, g *gang) {
	gone := slices.ContainsFunc(g.places, func(w *worker) bool { return !w.listed })
	if !gone && m.placesFree(g) && m.reservedWithinLimit(g) {
		places := g.places
		m.unreserve(g)
		m.place(now, g, places)
		return
	}
	lost := slices.ContainsFunc(g.places, func(w *worker) bool { return !m.usable(now, w) || !amount.Fits(w.reserved, w.Capacity) })
	if lost || now.After(g.deadline) {
		m.unreserve(g)
		m.enqueue(g)
	}
}

// placesFree reports whether no other run occupies the reserved capacity.
func (m *Model) placesFree(g *gang) bool {
	wanted := map[*worker]record.Amount{}
	for _, w := range g.places {
		wanted[w] = amount.Add(wanted[w], g.need())
	}
	for w, need := range wanted {
		if !amount.Fits(need, amount.Add(w.free, w.reserved)) {
			return false
		}
	}
	return true
}

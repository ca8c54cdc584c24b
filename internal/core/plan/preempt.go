package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// victim is a gang that may lose its places, with what that costs.
type victim struct {
	gang *gang
	loss float64
}

// offer is a way of making room: whom to stop, and where to go.
type offer struct {
	victims []victim
	places  []*worker
	loss    float64
}

const (
	// preemptPause lies between two tries to make room for one gang.
	preemptPause = 150 * time.Millisecond
	// preemptTries is how many gangs room is made for in one pass at most.
	preemptTries = 4
)

// preempt makes room for an urgent gang by stopping the work that loses least,
// if the gang gains more than that, and keeps the room for it. A gang within
// its team's guarantee gets its room in any case before its time is up.
func (m *Model) preempt(now time.Time, g *gang) bool {
	if now.Before(g.nextPreempt) || m.view.preempts >= preemptTries {
		return false
	}
	forced := m.mustReclaim(now, g)
	gain := m.gain(now, g)
	if !forced && gain <= 0 {
		return false
	}
	m.view.preempts++
	g.nextPreempt = now.Add(preemptPause)
	best, ok := m.cheapest(now, g, forced)
	if !ok || !forced && gain <= best.loss {
		return false
	}
	m.reserve(now, g, best.places)
	for _, v := range best.victims {
		v.gang.preempted++
		m.decide(Preempted, v.gang, nil, "for "+g.job.spec.ID)
		m.breakUp(now, v.gang, "preempted for "+g.job.spec.ID)
	}
	return true
}

// gain returns what an urgent gang earns more if room is made for it now than
// if it starts when room comes by itself.
func (m *Model) gain(now time.Time, g *gang) float64 {
	work := m.expected(g)
	soon := now.Add(m.timing.TaskStop + work)
	return m.earns(g.job, soon) - m.earns(g.job, soon.Add(ownRoomWait))
}

const (
	// ownRoomWait is how long a gang is thought to wait for room that comes by
	// itself.
	ownRoomWait = 2 * time.Second
	// reclaimMargin is kept of the time in which a guarantee must be met.
	reclaimMargin = 900 * time.Millisecond
)

// mustReclaim reports whether the gang's team is owed the room and the time
// to make it has come.
func (m *Model) mustReclaim(now time.Time, g *gang) bool {
	due := g.job.since.Add(m.timing.Reclaim - m.timing.TaskStop - reclaimMargin)
	return !now.Before(due) && m.withinGuarantee(g.job.spec.Team)
}

// withinGuarantee reports whether all urgent jobs of the team together need no
// more than what it is guaranteed.
func (m *Model) withinGuarantee(team string) bool {
	return m.view.urgentNeed[team] <= m.guaranteed(team)
}

func (m *Model) guaranteed(team string) int {
	for _, t := range m.config.Teams {
		if t.Name == team {
			return t.Guaranteed
		}
	}
	return 0
}

// cheapest returns the offer that loses least: over one rack or all workers.
func (m *Model) cheapest(now time.Time, g *gang, forced bool) (offer, bool) {
	losses := map[*gang]float64{}
	var best offer
	found := false
	for _, area := range m.areas(g) {
		o, ok := m.offerIn(now, g, forced, area, losses)
		if ok && (!found || o.loss < best.loss) {
			best, found = o, true
		}
	}
	return best, found
}

// areas returns the sets of workers among which room may be made.
func (m *Model) areas(g *gang) [][]*worker {
	var areas [][]*worker
	for _, rk := range m.racks {
		if rk.target == g.job.queue.Target {
			areas = append(areas, rk.workers)
		}
	}
	if g.spec().SameRack && g.size > 1 && m.rackCanHold(g) {
		return areas
	}
	return append(areas, m.view.usable[g.job.queue.Target])
}

// yields reports whether v may lose its places to g. When the team of g is owed
// the room, urgent work of teams beyond their guarantee does too.
func (m *Model) yields(g, v *gang, forced bool) bool {
	if v == nil || v.phase != placed || v.job == g.job {
		return false
	}
	if v.job.queue.Priority > g.job.queue.Priority {
		return true
	}
	return forced && v.job.spec.Team != g.job.spec.Team && !m.withinGuarantee(v.job.spec.Team)
}

// priced is a victim with its loss for each core that it gives back.
type priced struct {
	victim
	freed int
	price float64
}

// pricedIn returns the gangs with runs on the workers that may lose them,
// cheapest first, and the accelerators that are free there.
func (m *Model) pricedIn(now time.Time, g *gang, forced bool, area []*worker, losses map[*gang]float64) ([]priced, int) {
	freed := map[*gang]record.Amount{}
	free := 0
	for _, w := range area {
		if !m.usable(now, w) {
			continue
		}
		free += max(0, w.free.Accelerators)
		for _, r := range w.runs {
			if m.yields(g, r.gang, forced) {
				freed[r.gang] = add(freed[r.gang], r.need)
			}
		}
	}
	order := make([]priced, 0, len(freed))
	for v, amount := range freed {
		loss, known := losses[v]
		if !known {
			loss = m.lossOf(now, v)
			losses[v] = loss
		}
		order = append(order, priced{victim{v, loss}, amount.Accelerators, loss / max(cores(amount), 1)})
	}
	slices.SortFunc(order, func(a, b priced) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.gang.job.spec.ID, b.gang.job.spec.ID),
			cmp.Compare(a.gang.step, b.gang.step), cmp.Compare(a.gang.first, b.gang.first))
	})
	return order, free
}

// offerIn makes room among the given workers with little loss.
func (m *Model) offerIn(now time.Time, g *gang, forced bool, area []*worker, losses map[*gang]float64) (offer, bool) {
	order, free := m.pricedIn(now, g, forced, area, losses)
	needed := g.size * g.need().Accelerators
	rm := &room{free: map[*worker]record.Amount{}}
	var chosen []victim
	for _, v := range order {
		m.give(rm, v.gang)
		chosen = append(chosen, v.victim)
		free += v.freed
		if free < needed {
			continue
		}
		if places := m.findIn(now, g, rm, area); places != nil {
			return m.prune(now, g, chosen, places, area), true
		}
	}
	return offer{}, false
}

// give adds the room of a gang's runs to what is free.
func (m *Model) give(rm *room, g *gang) {
	for _, r := range g.runs {
		rm.free[r.worker] = add(rm.at(r.worker), r.need)
	}
}

// prune leaves out victims without which the gang fits all the same, dearest
// first.
func (m *Model) prune(now time.Time, g *gang, chosen []victim, places []*worker, area []*worker) offer {
	slices.SortFunc(chosen, func(a, b victim) int { return cmp.Compare(b.loss, a.loss) })
	for i := 0; i < len(chosen); {
		rest := slices.Delete(slices.Clone(chosen), i, i+1)
		rm := &room{free: map[*worker]record.Amount{}}
		for _, v := range rest {
			m.give(rm, v.gang)
		}
		found := m.findIn(now, g, rm, area)
		if found == nil {
			i++
			continue
		}
		chosen, places = rest, found
	}
	o := offer{victims: chosen, places: places}
	for _, v := range chosen {
		o.loss += v.loss
	}
	return o
}

// reserve keeps places for a gang until they are free.
func (m *Model) reserve(now time.Time, g *gang, places []*worker) {
	m.dequeue(g)
	g.phase = reserved
	g.places = places
	g.deadline = now.Add(m.timing.Reserve)
	m.active.Add(g)
	m.reserves.Add(g)
	for _, w := range places {
		w.free = sub(w.free, g.need())
		w.reserved = add(w.reserved, g.need())
	}
}

// unreserve gives reserved places up.
func (m *Model) unreserve(g *gang) {
	for _, w := range g.places {
		w.reserved = sub(w.reserved, g.need())
		w.recount()
	}
	g.places = nil
	m.active.Remove(g)
	m.reserves.Remove(g)
	m.changed = true
}

// startReserved starts gangs whose room has become free.
func (m *Model) startReserved(now time.Time) {
	for g := range m.reserves.All() {
		m.expireReserved(now, g)
	}
}

// expireReserved starts a gang whose room has become free, and gives up when
// it takes too long.
func (m *Model) expireReserved(now time.Time, g *gang) {
	if m.roomIsFree(g) {
		places := g.places
		m.unreserve(g)
		m.place(now, g, places)
		return
	}
	lost := slices.ContainsFunc(g.places, func(w *worker) bool { return !m.usable(now, w) })
	if lost || now.After(g.deadline) {
		m.unreserve(g)
		m.enqueue(g)
	}
}

// roomIsFree reports whether every reserved place is free of other runs.
func (m *Model) roomIsFree(g *gang) bool {
	wanted := map[*worker]record.Amount{}
	for _, w := range g.places {
		wanted[w] = add(wanted[w], g.need())
	}
	for w, need := range wanted {
		if !fits(need, add(w.free, w.reserved)) {
			return false
		}
	}
	return true
}

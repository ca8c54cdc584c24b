package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// victim is a gang that may lose its places, with what that costs.
type victim struct {
	gang *gang
	// loss is the core-seconds of work that would be thrown away.
	loss float64
	// freed is the accelerators, in cores, that it would give back.
	freed float64
}

// preempt makes room for an urgent gang by stopping work that loses least,
// and keeps the room for it. It reports whether enough can be made.
func (m *Model) preempt(now time.Time, g *gang) bool {
	candidates := m.victims(now, g)
	if len(candidates) == 0 {
		return false
	}
	rm := &room{free: map[*worker]record.Amount{}}
	var chosen []victim
	var places []*worker
	for _, v := range candidates {
		m.give(rm, v.gang)
		chosen = append(chosen, v)
		if places = m.find(now, g, rm); places != nil {
			break
		}
	}
	if places == nil {
		return false
	}
	chosen, places = m.spareVictims(now, g, chosen, places)
	m.reserve(now, g, places)
	for _, v := range chosen {
		v.gang.preempts++
		m.decide(Preempted, v.gang, nil, "for "+g.job.spec.ID)
		m.breakUp(now, v.gang, "preempted for "+g.job.spec.ID)
	}
	return true
}

// victims returns the gangs that may lose their places to g, cheapest first.
func (m *Model) victims(now time.Time, g *gang) []victim {
	var all []victim
	for v := range m.active.All() {
		if v.phase != placed || v.job.queue.Priority <= g.job.queue.Priority || v.job.queue.Target != g.job.queue.Target {
			continue
		}
		all = append(all, victim{gang: v, loss: m.lossOf(now, v), freed: float64(v.size) * cores(v.need())})
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.loss/a.freed, b.loss/b.freed),
			cmp.Compare(a.gang.job.spec.ID, b.gang.job.spec.ID),
			cmp.Compare(a.gang.first, b.gang.first),
		)
	})
	return all
}

// lossOf returns the core-seconds that stopping the gang would throw away.
func (m *Model) lossOf(now time.Time, g *gang) float64 {
	spent := now.Sub(g.startedAt)
	if g.spec().SavesProgress {
		spent = min(spent, m.timing.CheckpointEvery)
	}
	return float64(g.size) * cores(g.need()) * spent.Seconds()
}

// give adds the room of a gang's runs to what is free.
func (m *Model) give(rm *room, g *gang) {
	for _, r := range g.runs {
		rm.free[r.worker] = add(rm.at(r.worker), r.need)
	}
}

// spareVictims leaves out victims without which the gang fits all the same.
func (m *Model) spareVictims(now time.Time, g *gang, chosen []victim, places []*worker) ([]victim, []*worker) {
	for i := len(chosen) - 2; i >= 0; i-- {
		rest := slices.Delete(slices.Clone(chosen), i, i+1)
		rm := &room{free: map[*worker]record.Amount{}}
		for _, v := range rest {
			m.give(rm, v.gang)
		}
		if found := m.find(now, g, rm); found != nil {
			chosen, places = rest, found
		}
	}
	return chosen, places
}

// reserve keeps places for a gang until they are free.
func (m *Model) reserve(now time.Time, g *gang, places []*worker) {
	m.dequeue(g)
	g.phase = reserved
	g.places = places
	g.deadline = now.Add(m.timing.Reserve)
	m.active.Add(g)
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
	m.changed = true
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
	for w := range maps.Keys(wanted) {
		if !fits(wanted[w], add(w.free, w.reserved)) {
			return false
		}
	}
	return true
}

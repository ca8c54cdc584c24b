package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// workersNearData returns the workers of the rack that holds the gang's data.
func (m *Model) workersNearData(g *gang) []*worker {
	for _, rk := range m.racks {
		if rk.name == g.spec().NearRack && rk.target == g.job.queue.Target {
			return rk.workers
		}
	}
	return nil
}

// fitsNearData reports whether the rack with the gang's data could hold the gang
// if it were empty.
func (m *Model) fitsNearData(g *gang) bool {
	return m.slotsWhenEmpty(g, m.workersNearData(g)) >= g.size
}

// mayGiveUpLocality reports whether a gang may run away from its data or across
// racks. It then runs, and holds its capacity, several times as long, so this
// is allowed only after a wait and while enough capacity is free.
func (m *Model) mayGiveUpLocality(now time.Time, g *gang) bool {
	if !g.waitedForRack(now) {
		return false
	}
	var used, capacity record.Amount
	for _, w := range m.view.usable[g.job.queue.Target] {
		capacity = amount.Add(capacity, w.Capacity)
		used = amount.Add(used, amount.Sub(w.Capacity, w.free))
	}
	return amount.ShareFor(g.need(), used, capacity) < localityMaxUse
}

// waitedForRack reports whether the gang has waited long enough to give up
// places with good locality.
func (g *gang) waitedForRack(now time.Time) bool {
	return now.Sub(g.readyAt) >= localityWait
}

const (
	// localityWait is the least time that a gang waits for places with good
	// locality.
	localityWait = time.Second
	// localityMaxUse is the share in use, of the resource that decides for a gang, from
	// which on the gang keeps waiting for good locality.
	localityMaxUse = 0.55
)

// racksThatFit returns the racks in which the gang fits now, fullest first.
func (m *Model) racksThatFit(now time.Time, g *gang, overlay *freeOverlay) []rack {
	type fit struct {
		rack      rack
		freeSlots int
	}
	var fitting []fit
	for _, rk := range m.racks {
		if rk.target != g.job.queue.Target {
			continue
		}
		slots := 0
		for _, w := range rk.workers {
			slots += m.slots(now, g, w, overlay)
		}
		if slots >= g.size {
			fitting = append(fitting, fit{rk, slots})
		}
	}
	slices.SortStableFunc(fitting, func(a, b fit) int { return cmp.Compare(a.freeSlots, b.freeSlots) })
	racks := make([]rack, len(fitting))
	for i, f := range fitting {
		racks[i] = f.rack
	}
	return racks
}

// fitsEmptyRack reports whether some rack could hold the gang if it were empty.
func (m *Model) fitsEmptyRack(g *gang) bool {
	for _, rk := range m.racks {
		if rk.target != g.job.queue.Target {
			continue
		}
		slots := m.slotsWhenEmpty(g, rk.workers)
		if slots >= g.size {
			return true
		}
	}
	return false
}

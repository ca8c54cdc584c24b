package quota

import (
	"fmt"

	"github.com/rattanshore/rattanshore/internal/core/block"
)

// slotName returns the identifier of the slot as a worker of a team's pool.
func slotName(s *slot) string {
	return fmt.Sprintf("%s/%016x", s.worker, uint64(s.reserved))
}

// Adopt allocates the places of a gang that already runs to its team's guarantee.
// Each place must be in a slot of the team with enough unused accelerators, or
// on accelerators that can be reserved for a slot that has none. Otherwise Adopt
// changes nothing and reports false.
func (l *Ledger) Adopt(team string, places []block.Place) (Allocation, bool) {
	trial := l.Clone()
	if _, ok := trial.adopt(team, places); !ok {
		return Allocation{}, false
	}
	a, _ := l.adopt(team, places)
	l.rebuildTeamPools()
	return a, true
}

func (l *Ledger) adopt(team string, places []block.Place) (Allocation, bool) {
	var a Allocation
	for _, p := range places {
		s := l.slotFor(team, p)
		if s == nil {
			return Allocation{}, false
		}
		s.used |= p.Mask
		a.parts = append(a.parts, allocationPart{slot: s, mask: p.Mask})
	}
	return a, true
}

// slotFor returns a slot of the team with the place unused, or a slot without
// accelerators after reserving those around the place for it. It returns nil if
// there is neither.
func (l *Ledger) slotFor(team string, p block.Place) *slot {
	if p.Worker < 0 {
		return nil
	}
	for _, b := range l.blocks {
		for _, s := range b.slots {
			if b.team == team && s.workerIndex == p.Worker && s.reserved&p.Mask == p.Mask && s.used&p.Mask == 0 {
				return s
			}
		}
	}
	for _, b := range l.blocks {
		if b.team != team || b.shape.Accelerators < p.Mask.Count() || !l.mayReserveOn(b, p.Worker) {
			continue
		}
		mask, ok := l.freeBlockAround(p, b.shape.Accelerators)
		if !ok {
			continue
		}
		for _, s := range b.slots {
			if s.worker == "" {
				*s = slot{worker: l.pool.Workers[p.Worker].ID, workerIndex: p.Worker, reserved: mask}
				return s
			}
		}
	}
	return nil
}

// mayReserveOn reports whether a slot of the block may be on the worker. All
// slots of an adjacent block must be in one rack.
func (l *Ledger) mayReserveOn(b *guaranteedBlock, worker int) bool {
	if !b.shape.Adjacent {
		return true
	}
	w := l.pool.Workers[worker]
	for _, s := range b.slots {
		if s.workerIndex < 0 {
			continue
		}
		other := l.pool.Workers[s.workerIndex]
		if other.Rack != w.Rack || other.Domain != w.Domain {
			return false
		}
	}
	return true
}

// freeBlockAround returns an aligned block of n unreserved accelerators that
// contains the place.
func (l *Ledger) freeBlockAround(p block.Place, n int) (block.Mask, bool) {
	taken := block.Mask(0)
	for _, b := range l.blocks {
		for _, s := range b.slots {
			if s.workerIndex == p.Worker {
				taken |= s.reserved
			}
		}
	}
	total := l.pool.Workers[p.Worker].Total
	for offset := 0; offset < block.MaxAccelerators; offset += block.Align(n) {
		candidate := block.Full(n) << offset
		if candidate&total == candidate && candidate&p.Mask == p.Mask && candidate&taken == 0 {
			return candidate, true
		}
	}
	return 0, false
}

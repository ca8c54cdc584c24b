// Package quota reserves accelerators for the teams' guarantees and tracks their
// use. A guarantee is a number of equal blocks, each with a fixed set of reserved
// accelerators. Only the block's own team may run work there that cannot be
// reclaimed, so the whole block can be formed at any time. The package does no
// I/O.
package quota

import (
	"cmp"
	"slices"

	"github.com/rattanshore/rattanshore/internal/core/block"
)

// Guarantee is a number of equal blocks that a team can use at any time.
type Guarantee struct {
	Team  string
	Count int
	Block block.Shape
}

// Ledger holds the guarantees of one shard with their reserved accelerators and
// the allocations on them.
type Ledger struct {
	pool   *block.Pool
	blocks []*guaranteedBlock
	teams  map[string]*teamPool
}

// guaranteedBlock is one block of a guarantee. It has one slot for each task.
type guaranteedBlock struct {
	team  string
	shape block.Shape
	slots []*slot
}

// slot is what is reserved for one task of a block.
type slot struct {
	// worker is the ID of the worker, or empty if nothing is reserved.
	worker string
	// workerIndex is the worker's index in the ledger's pool, or -1.
	workerIndex int
	// reserved holds the worker's accelerators that are reserved for the task.
	reserved block.Mask
	// used holds the reserved accelerators that gangs have been allocated.
	used block.Mask
}

// teamPool presents the slots of a team as workers of a pool, so that a placement
// policy can place the team's gangs within its guarantee. slots[i] is the slot of
// pool.Workers[i].
type teamPool struct {
	pool  *block.Pool
	slots []*slot
}

// Allocation is the part of a guarantee that one gang uses.
type Allocation struct {
	parts []allocationPart
}

// allocationPart is the part of an allocation that is in one slot.
type allocationPart struct {
	slot *slot
	mask block.Mask
}

// UnformableBlock is a guaranteed block that cannot be reserved in full.
type UnformableBlock struct {
	Team  string
	Block block.Shape
}

// New returns a ledger of the guarantees. [Ledger.Reserve] reserves their
// accelerators.
func New(pool *block.Pool, guarantees []Guarantee) *Ledger {
	l := &Ledger{pool: pool, teams: map[string]*teamPool{}}
	for _, g := range guarantees {
		for range g.Count {
			b := &guaranteedBlock{team: g.Team, shape: g.Block}
			for range g.Block.Tasks {
				b.slots = append(b.slots, &slot{workerIndex: -1})
			}
			l.blocks = append(l.blocks, b)
		}
	}
	slices.SortStableFunc(l.blocks, hardestFirst)
	l.rebuildTeamPools()
	return l
}

// hardestFirst orders blocks by how hard they are to place: adjacent blocks
// first, then those with more accelerators in a task, then those with more tasks.
func hardestFirst(a, b *guaranteedBlock) int {
	if a.shape.Adjacent != b.shape.Adjacent {
		if a.shape.Adjacent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.shape.Accelerators, a.shape.Accelerators),
		cmp.Compare(b.shape.Tasks, a.shape.Tasks),
		cmp.Compare(a.team, b.team),
	)
}

// SetPool replaces the workers. Allocations on workers that are gone remain until
// they are released; meanwhile their slots cannot be used.
func (l *Ledger) SetPool(pool *block.Pool) {
	l.pool = pool
	for _, b := range l.blocks {
		for _, s := range b.slots {
			s.workerIndex = l.indexOf(s.worker)
		}
	}
	l.rebuildTeamPools()
}

func (l *Ledger) indexOf(worker string) int {
	if i, ok := l.pool.Index(worker); ok {
		return i
	}
	return -1
}

// Reserve reserves usable accelerators for all slots that have none or must move,
// and returns the blocks that could not be reserved in full. Slots in use are
// never moved. Others move if their accelerators are not usable or if an
// adjacent block has to move to another rack.
func (l *Ledger) Reserve(usable []block.Mask) []UnformableBlock {
	unreserved := slices.Clone(usable)
	for _, b := range l.blocks {
		l.dropUnusableSlots(b, usable)
		for _, s := range b.slots {
			if s.workerIndex >= 0 {
				unreserved[s.workerIndex] &^= s.reserved
			}
		}
	}
	var unformable []UnformableBlock
	for _, b := range l.blocks {
		if !l.reserveMissing(b, usable, unreserved) {
			unformable = append(unformable, UnformableBlock{Team: b.team, Block: b.shape})
		}
	}
	l.rebuildTeamPools()
	return unformable
}

// dropUnusableSlots clears the slots of a block that must move: those on
// accelerators that are not usable and, of an adjacent block, the others too
// unless a part of it is in use. An adjacent block that spans racks is cleared
// as well. Slots in use are never cleared.
func (l *Ledger) dropUnusableSlots(b *guaranteedBlock, usable []block.Mask) {
	unusable := slices.ContainsFunc(b.slots, func(s *slot) bool { return !s.usable(usable) })
	if !unusable && !l.spansRacks(b) {
		return
	}
	inUse := slices.ContainsFunc(b.slots, func(s *slot) bool { return s.used != 0 })
	keepUsable := b.shape.Adjacent && inUse && unusable
	for _, s := range b.slots {
		if s.used != 0 || keepUsable && s.usable(usable) {
			continue
		}
		if b.shape.Adjacent || !s.usable(usable) {
			*s = slot{workerIndex: -1}
		}
	}
}

// spansRacks reports whether an adjacent block is in more than one rack. This
// happens when it was moved while a part of it was in use.
func (l *Ledger) spansRacks(b *guaranteedBlock) bool {
	if !b.shape.Adjacent {
		return false
	}
	first := l.pool.Workers[b.slots[0].workerIndex]
	return slices.ContainsFunc(b.slots, func(s *slot) bool {
		w := l.pool.Workers[s.workerIndex]
		return w.Rack != first.Rack || w.Domain != first.Domain
	})
}

// usable reports whether all reserved accelerators of the slot are usable.
func (s *slot) usable(usable []block.Mask) bool {
	return s.workerIndex >= 0 && usable[s.workerIndex]&s.reserved == s.reserved
}

// reserveMissing reserves accelerators for the slots of a block that have none,
// and reports whether the whole block is then reserved on usable accelerators.
// It removes what it reserves from unreserved.
func (l *Ledger) reserveMissing(b *guaranteedBlock, usable, unreserved []block.Mask) bool {
	var missing []*slot
	rack, domain := "", ""
	allUsable := true
	for _, s := range b.slots {
		switch {
		case s.worker == "":
			missing = append(missing, s)
		case !s.usable(usable):
			allUsable = false
		default:
			rack, domain = l.pool.Workers[s.workerIndex].Rack, l.pool.Workers[s.workerIndex].Domain
		}
	}
	if len(missing) == 0 {
		return allUsable
	}
	candidates := unreserved
	if b.shape.Adjacent && rack != "" {
		candidates = l.onlyRack(unreserved, rack, domain)
	}
	shape := b.shape
	shape.Tasks = len(missing)
	places := block.BestFit{}.Place(l.pool, candidates, shape)
	if places == nil {
		return false
	}
	for i, p := range places {
		*missing[i] = slot{worker: l.pool.Workers[p.Worker].ID, workerIndex: p.Worker, reserved: p.Mask}
		unreserved[p.Worker] &^= p.Mask
	}
	return allUsable
}

// onlyRack clears the masks of workers outside the rack.
func (l *Ledger) onlyRack(masks []block.Mask, rack, domain string) []block.Mask {
	inRack := make([]block.Mask, len(masks))
	for i, w := range l.pool.Workers {
		if w.Rack == rack && w.Domain == domain {
			inRack[i] = masks[i]
		}
	}
	return inRack
}

// rebuildTeamPools recomputes the teams' pools from the slots.
func (l *Ledger) rebuildTeamPools() {
	type teamSlots struct {
		workers []block.Worker
		slots   map[string]*slot
	}
	l.teams = map[string]*teamPool{}
	byTeam := map[string]*teamSlots{}
	for _, b := range l.blocks {
		t := byTeam[b.team]
		if t == nil {
			t = &teamSlots{slots: map[string]*slot{}}
			byTeam[b.team] = t
		}
		for _, s := range b.slots {
			if s.workerIndex < 0 {
				continue
			}
			w := l.pool.Workers[s.workerIndex]
			w.ID = slotName(s)
			w.Total = s.reserved
			t.workers = append(t.workers, w)
			t.slots[w.ID] = s
		}
	}
	for team, t := range byTeam {
		p := &teamPool{pool: block.NewPool(t.workers)}
		for _, w := range p.pool.Workers {
			p.slots = append(p.slots, t.slots[w.ID])
		}
		l.teams[team] = p
	}
}

// Reserved returns, for each worker, the accelerators reserved for guarantees.
func (l *Ledger) Reserved() []block.Mask {
	reserved := make([]block.Mask, len(l.pool.Workers))
	for _, b := range l.blocks {
		for _, s := range b.slots {
			if s.workerIndex >= 0 {
				reserved[s.workerIndex] |= s.reserved
			}
		}
	}
	return reserved
}

// FindUnused looks for a place for the shape in the unused part of the team's
// guarantee, on allowed accelerators. It does not change the ledger;
// [Ledger.Allocate] takes the result.
func (l *Ledger) FindUnused(team string, shape block.Shape, allowed []block.Mask) (Allocation, bool) {
	t := l.teams[team]
	if t == nil {
		return Allocation{}, false
	}
	avail := make([]block.Mask, len(t.slots))
	for i, s := range t.slots {
		avail[i] = s.reserved &^ s.used & allowed[s.workerIndex]
	}
	places := block.BestFit{}.Place(t.pool, avail, shape)
	if places == nil {
		return Allocation{}, false
	}
	a := Allocation{}
	for _, p := range places {
		a.parts = append(a.parts, allocationPart{slot: t.slots[p.Worker], mask: p.Mask})
	}
	return a, true
}

// Places returns the allocated places.
func (a Allocation) Places() []block.Place {
	places := make([]block.Place, len(a.parts))
	for i, p := range a.parts {
		places[i] = block.Place{Worker: p.slot.workerIndex, Mask: p.mask}
	}
	return places
}

// Empty reports whether nothing is allocated.
func (a Allocation) Empty() bool {
	return len(a.parts) == 0
}

// Allocate marks the accelerators of an allocation that FindUnused returned as
// used.
func (l *Ledger) Allocate(a Allocation) {
	for _, p := range a.parts {
		p.slot.used |= p.mask
	}
}

// Release marks the accelerators of an allocation as unused.
func (l *Ledger) Release(a Allocation) {
	for _, p := range a.parts {
		p.slot.used &^= p.mask
	}
}

// Clone returns an independent copy. Allocations made in the original must not be
// passed to the copy.
func (l *Ledger) Clone() *Ledger {
	c := &Ledger{pool: l.pool}
	for _, b := range l.blocks {
		copied := &guaranteedBlock{team: b.team, shape: b.shape}
		for _, s := range b.slots {
			one := *s
			copied.slots = append(copied.slots, &one)
		}
		c.blocks = append(c.blocks, copied)
	}
	c.rebuildTeamPools()
	return c
}

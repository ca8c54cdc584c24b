package sched

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Placement rules, as named in the log and in job rows.
const (
	// RuleGuarantee places a gang on free capacity of its team's guarantee.
	RuleGuarantee = "guarantee"
	// RuleGuaranteeReclaim places a gang within its team's guarantee and stops
	// lent work that runs there.
	RuleGuaranteeReclaim = "guarantee-reclaim"
	// RuleBeyondGuarantees places a gang that must not run twice outside all
	// guarantees.
	RuleBeyondGuarantees = "beyond-guarantees"
	// RuleLent places a gang on any free capacity, from which it may be
	// reclaimed.
	RuleLent = "lent"
	// RuleUrgentReclaim stops patient work to place an urgent gang.
	RuleUrgentReclaim = "urgent-reclaim"
	// RuleAgedReclaim stops younger lent work to place a gang that has waited
	// long.
	RuleAgedReclaim = "aged-reclaim"
)

// maxReclaims is how often a gang may be reclaimed for gangs that are not
// placed within their guarantees. Urgent gangs of the same team are exempt.
const maxReclaims = 3

// idlePassInterval is the maximum time between two scheduling passes while gangs
// wait, since gangs age and workers become schedulable without a message.
const idlePassInterval = time.Second

// request holds what determines whether a gang can be placed, so that within one
// pass equal requests have equal outcomes.
type request struct {
	team          string
	class         schema.JobClass
	shape         block.Shape
	nonIdempotent bool
	aged          bool
}

// placement is where a gang is to run and the gangs that must be stopped first.
type placement struct {
	rule       string
	places     []block.Place
	allocation quota.Allocation
	victims    []*gang
}

// pass tries to place each waiting gang, in order of rank. A request that failed
// is not tried again in the same pass.
func (m *Model[P]) pass(now time.Time) {
	m.passNeeded = false
	m.lastPass = now
	m.nextPass = now.Add(idlePassInterval)
	m.refreshAvail(now)
	failed := map[request]struct{}{}
	for _, g := range slices.Clone(m.queue) {
		if g.phase != waiting {
			continue
		}
		if now.Before(g.notBefore) {
			m.nextPass = earlier(m.nextPass, g.notBefore)
			continue
		}
		r := m.requestOf(now, g)
		if _, done := failed[r]; done {
			continue
		}
		p, ok := m.findPlacement(now, g, r)
		if ok {
			m.applyPlacement(now, g, p)
			continue
		}
		if m.options.noBackfill {
			return
		}
		if len(g.failedOn) == 0 {
			failed[r] = struct{}{}
		}
	}
}

func (m *Model[P]) requestOf(now time.Time, g *gang) request {
	return request{
		team:          g.status.Spec.Team,
		class:         g.status.Spec.Class,
		shape:         g.shape,
		nonIdempotent: g.status.Spec.NonIdempotent,
		aged:          now.Sub(g.status.SubmittedAt) > m.timing.AgedReclaimAfter,
	}
}

// refreshAvail recomputes the free accelerators of schedulable workers and the
// reservations for guarantees.
func (m *Model[P]) refreshAvail(now time.Time) {
	for i, n := range m.poolNodes {
		m.avail[i] = 0
		if m.schedulable(now, n) {
			m.avail[i] = n.free &^ n.earmarked
		}
	}
	m.assignReservations(now)
}

// assignReservations reserves accelerators for all guarantees, if what may be
// reserved has changed.
func (m *Model[P]) assignReservations(now time.Time) {
	reservable := m.reservable(now)
	if slices.Equal(reservable, m.assignedFrom) {
		return
	}
	m.assignedFrom = reservable
	m.unformable = m.ledger.Reserve(reservable)
	m.reserved = m.ledger.Reserved()
}

// reservable returns the accelerators that may be reserved for guarantees: those
// of schedulable workers that are not taken by pinned gangs outside their teams'
// guarantees.
func (m *Model[P]) reservable(now time.Time) []block.Mask {
	masks := make([]block.Mask, len(m.poolNodes))
	for i, n := range m.poolNodes {
		if m.schedulable(now, n) {
			masks[i] = n.total
		}
	}
	for g := range m.active.All() {
		if !g.pinnedOutsideGuarantee() {
			continue
		}
		for _, mb := range g.members {
			if i, ok := m.pool.Index(mb.node.ID); ok {
				masks[i] &^= mb.mask
			}
		}
	}
	return masks
}

// findPlacement tries each rule in turn: free capacity before reclaimed
// capacity, the team's guarantee before lent capacity.
func (m *Model[P]) findPlacement(now time.Time, g *gang, r request) (placement, bool) {
	avail := m.availFor(g, m.avail)
	if p, ok := m.placeInGuarantee(g, r, avail, RuleGuarantee); ok {
		return p, true
	}
	if r.nonIdempotent {
		if p, ok := m.placeBeyondGuarantees(now, r, avail, RuleBeyondGuarantees); ok {
			return p, true
		}
	} else if places := m.placeLent(r.shape, avail); places != nil {
		return placement{rule: RuleLent, places: places}, true
	}
	return m.placeByReclaim(now, g, r)
}

// availFor removes workers on which the gang has failed and, for gangs that must
// not run twice, workers on probation.
func (m *Model[P]) availFor(g *gang, avail []block.Mask) []block.Mask {
	if len(g.failedOn) == 0 && !g.status.Spec.NonIdempotent {
		return avail
	}
	eligible := slices.Clone(avail)
	for i, n := range m.poolNodes {
		if g.failedOn[n.ID] || n.probation && g.status.Spec.NonIdempotent {
			eligible[i] = 0
		}
	}
	return eligible
}

func (m *Model[P]) placeInGuarantee(g *gang, r request, avail []block.Mask, rule string) (placement, bool) {
	allocation, ok := m.ledger.FindUnused(r.team, g.shape, avail)
	if !ok {
		return placement{}, false
	}
	return placement{rule: rule, places: allocation.Places(), allocation: allocation}, true
}

// placeLent prefers places outside all reservations, so that less lent capacity
// has to be reclaimed later.
func (m *Model[P]) placeLent(shape block.Shape, avail []block.Mask) []block.Place {
	if places := m.policy.Place(m.pool, subtract(avail, m.reserved), shape); places != nil {
		return places
	}
	return m.policy.Place(m.pool, avail, shape)
}

// placeBeyondGuarantees places a gang that must not run twice outside all
// reservations, where the guarantees stay formable, also after the loss of any
// failure domain.
func (m *Model[P]) placeBeyondGuarantees(now time.Time, r request, avail []block.Mask, rule string) (placement, bool) {
	places := m.findUnreservedPlaces(m.ledger, m.reservable(now), avail, r.shape)
	return placement{rule: rule, places: places}, places != nil
}

// findUnreservedPlaces finds places outside all reservations that leave the
// guarantees formable. Those that would not be reserved after the loss of any
// failure domain are tried first and need no further check.
func (m *Model[P]) findUnreservedPlaces(l *quota.Ledger, reservable, avail []block.Mask, shape block.Shape) []block.Place {
	unreserved := subtract(avail, l.Reserved())
	if places := m.policy.Place(m.pool, subtract(unreserved, l.FailoverReserved(reservable)), shape); places != nil {
		return places
	}
	for _, candidate := range m.domainSubsets(unreserved) {
		places := m.policy.Place(m.pool, candidate, shape)
		if places != nil && m.guaranteesFormableWithout(l, reservable, places) {
			return places
		}
	}
	return nil
}

func subtract(avail, taken []block.Mask) []block.Mask {
	remaining := make([]block.Mask, len(avail))
	for i := range avail {
		remaining[i] = avail[i] &^ taken[i]
	}
	return remaining
}

// placeByReclaim looks for a placement that stops running gangs: lent work for a
// gang within its guarantee, patient work for an urgent gang, and younger lent
// work for a gang that has waited long.
func (m *Model[P]) placeByReclaim(now time.Time, g *gang, r request) (placement, bool) {
	if m.options.noReclaim {
		return placement{}, false
	}
	lent := func(v *gang) bool { return !v.pinned() }
	if p, ok := m.placeInGuarantee(g, r, m.availFor(g, m.reclaimable(now, lent)), RuleGuaranteeReclaim); ok {
		p.victims = m.victims(p.places, lent)
		return p, true
	}
	var rule string
	var canReclaim func(*gang) bool
	switch {
	case r.class == schema.Urgent:
		rule = RuleUrgentReclaim
		canReclaim = func(v *gang) bool { return m.yieldsToUrgent(g, v) }
	case r.aged:
		rule = RuleAgedReclaim
		canReclaim = func(v *gang) bool { return !v.pinned() && v.rank.After(g.rank) && v.reclaimCount < maxReclaims }
	default:
		return placement{}, false
	}
	avail := m.availFor(g, m.reclaimable(now, canReclaim))
	if r.nonIdempotent {
		p, ok := m.placeBeyondGuarantees(now, r, avail, rule)
		p.victims = m.victims(p.places, canReclaim)
		return p, ok
	}
	places := m.placeLent(r.shape, avail)
	if places == nil {
		return placement{}, false
	}
	return placement{rule: rule, places: places, victims: m.victims(places, canReclaim)}, true
}

// yieldsToUrgent reports whether v may be reclaimed for the urgent gang g: v
// must be patient and either belong to g's team or run on lent capacity.
func (m *Model[P]) yieldsToUrgent(g, v *gang) bool {
	if v.status.Spec.Class == schema.Urgent || v.status.Spec.NonIdempotent {
		return false
	}
	if v.status.Spec.Team == g.status.Spec.Team {
		return true
	}
	return !v.usesGuarantee() && v.reclaimCount < maxReclaims
}

// domainSubsets returns avail, followed by the part of it in each failure
// domain.
func (m *Model[P]) domainSubsets(avail []block.Mask) [][]block.Mask {
	subsets := [][]block.Mask{avail}
	for _, d := range m.pool.Domains() {
		inDomain := make([]block.Mask, len(avail))
		for i, w := range m.pool.Workers {
			if w.Domain == d {
				inDomain[i] = avail[i]
			}
		}
		subsets = append(subsets, inDomain)
	}
	return subsets
}

// guaranteesFormableWithout reports whether all guarantees can be formed without
// the places, also after the loss of any failure domain. If a failure domain is
// out of service, or the configuration accepts that a loss makes guarantees
// unformable, it reports whether no more blocks are unformable than before.
func (m *Model[P]) guaranteesFormableWithout(l *quota.Ledger, reservable []block.Mask, places []block.Place) bool {
	remaining := slices.Clone(reservable)
	for _, p := range places {
		remaining[p.Worker] &^= p.Mask
	}
	if m.config.Document.AcceptUnformableAfterDomainLoss || m.anyDomainOut() {
		return len(l.Clone().Reserve(remaining)) <= len(m.unformable)
	}
	_, _, ok := l.ToleratesDomainLoss(remaining)
	return ok
}

// applyPlacement takes the places for the gang and stops the victims. The places
// are held at once if they are free, otherwise when the victims have left them.
func (m *Model[P]) applyPlacement(now time.Time, g *gang, p placement) {
	g.status.Rule = p.rule
	g.allocation = p.allocation
	m.ledger.Allocate(p.allocation)
	g.status.Lent = !g.pinned()
	g.members = make([]member, len(p.places))
	g.status.Places = make([]schema.TaskPlace, len(p.places))
	for i, pl := range p.places {
		n := m.poolNodes[pl.Worker]
		g.members[i] = member{node: n, mask: pl.Mask}
		g.status.Places[i] = schema.TaskPlace{Worker: n.ID, Domain: n.Domain, Rack: n.Rack, Mask: uint64(pl.Mask)}
		n.earmarked |= pl.Mask
		n.gangs.Add(g)
		m.avail[pl.Worker] &^= pl.Mask
	}
	m.active.Add(g)
	m.dequeue(g)
	m.emitDecision(Placed, g, "")
	for _, v := range p.victims {
		v.reclaimCount++
		m.stopRun(now, v, schema.Waiting, "reclaimed for "+g.status.Spec.ID, true)
		m.emitDecision(Reclaimed, v, "for "+g.status.Spec.ID+" by "+p.rule)
	}
	g.phase = reclaiming
	g.deadline = now.Add(m.timing.Lease + m.timing.ReclaimGrace + m.timing.ClockBound)
	m.holdWhenFree(now, g)
}

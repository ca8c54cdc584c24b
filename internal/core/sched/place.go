package sched

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// The rules that decide a placement, as the log and job rows name them.
const (
	RuleGuarantee        = "guarantee"
	RuleGuaranteeReclaim = "guarantee-reclaim"
	RuleBeyondGuarantees = "beyond-guarantees"
	RuleLent             = "lent"
	RuleUrgentReclaim    = "urgent-reclaim"
	RuleAgedReclaim      = "aged-reclaim"
)

// maxReclaims is how often lent work may lose its place to work that has no
// guarantee for it.
const maxReclaims = 3

// idlePassInterval is the longest time between two passes while gangs wait,
// since gangs age and workers come back without a message.
const idlePassInterval = time.Second

// request is what the outcome of a try depends on within one pass.
type request struct {
	team          string
	class         schema.JobClass
	shape         block.Shape
	nonIdempotent bool
	aged          bool
}

// placement is a decided placement.
type placement struct {
	rule       string
	places     []block.Place
	allocation quota.Allocation
	victims    []*gang
}

// pass tries every waiting gang once, in order of rank. A request that failed
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
		aged:          now.Sub(g.status.SubmittedAt) > m.timing.Patience,
	}
}

// refreshAvail notes what is free, and gives guarantees a home on what can be
// used.
func (m *Model[P]) refreshAvail(now time.Time) {
	for i, n := range m.poolNodes {
		m.avail[i] = 0
		if m.schedulable(now, n) {
			m.avail[i] = n.free &^ n.earmarked
		}
	}
	m.assignReservations(now)
}

// assignReservations gives every guaranteed block a home on workers that are open,
// clear of work that cannot be stopped.
func (m *Model[P]) assignReservations(now time.Time) {
	usable := m.reservable(now)
	if slices.Equal(usable, m.assignedFrom) {
		return
	}
	m.assignedFrom = usable
	m.unformable = m.ledger.Assign(usable)
	m.reserved = m.ledger.Reserved()
}

// reservable returns what guarantees may have as a home: all but what runs beyond
// them and cannot be stopped.
func (m *Model[P]) reservable(now time.Time) []block.Mask {
	usable := make([]block.Mask, len(m.poolNodes))
	for i, n := range m.poolNodes {
		if m.schedulable(now, n) {
			usable[i] = n.total
		}
	}
	for g := range m.active.All() {
		if !g.pinnedOutsideGuarantee() {
			continue
		}
		for _, mb := range g.members {
			if i, ok := m.pool.Index(mb.node.ID); ok {
				usable[i] &^= mb.mask
			}
		}
	}
	return usable
}

// findPlacement looks for a placement by each rule in turn: free capacity before
// reclaimed, the team's guarantee before what is lent.
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

// availFor keeps a gang off workers on which it has failed, and work that must
// not run twice off workers on probation.
func (m *Model[P]) availFor(g *gang, avail []block.Mask) []block.Mask {
	if len(g.failedOn) == 0 && !g.status.Spec.NonIdempotent {
		return avail
	}
	cut := slices.Clone(avail)
	for i, n := range m.poolNodes {
		if g.failedOn[n.ID] || n.probation && g.status.Spec.NonIdempotent {
			cut[i] = 0
		}
	}
	return cut
}

func (m *Model[P]) placeInGuarantee(g *gang, r request, avail []block.Mask, rule string) (placement, bool) {
	booking, ok := m.ledger.FindUnused(r.team, g.shape, avail)
	if !ok {
		return placement{}, false
	}
	return placement{rule: rule, places: booking.Places(), allocation: booking}, true
}

// placeLent looks for places outside all homes first, so that less of what is
// lent has to be taken back.
func (m *Model[P]) placeLent(shape block.Shape, avail []block.Mask) []block.Place {
	if places := m.policy.Place(m.pool, subtract(avail, m.reserved), shape); places != nil {
		return places
	}
	return m.policy.Place(m.pool, avail, shape)
}

// placeBeyondGuarantees places work that cannot be stopped outside all homes, if every
// guarantee would still find a home after the loss of any failure domain.
func (m *Model[P]) placeBeyondGuarantees(now time.Time, r request, avail []block.Mask, rule string) (placement, bool) {
	places := m.findUnreservedPlaces(m.ledger, m.reservable(now), avail, r.shape)
	return placement{rule: rule, places: places}, places != nil
}

// findUnreservedPlaces tries places off all homes and spares first, which leave every
// guarantee formable by themselves, and then such whose effect is tried out.
func (m *Model[P]) findUnreservedPlaces(l *quota.Ledger, usable, avail []block.Mask, shape block.Shape) []block.Place {
	outside := subtract(avail, l.Reserved())
	if places := m.policy.Place(m.pool, subtract(outside, l.FailoverReserved(usable)), shape); places != nil {
		return places
	}
	for _, candidate := range m.domainSubsets(outside) {
		places := m.policy.Place(m.pool, candidate, shape)
		if places != nil && m.guaranteesFormableWithout(l, usable, places) {
			return places
		}
	}
	return nil
}

func subtract(avail, taken []block.Mask) []block.Mask {
	cut := make([]block.Mask, len(avail))
	for i := range avail {
		cut[i] = avail[i] &^ taken[i]
	}
	return cut
}

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

// yieldsToUrgent reports whether v loses its place to the urgent gang g: lent
// patient work does, and so does patient work of g's own team.
func (m *Model[P]) yieldsToUrgent(g, v *gang) bool {
	if v.status.Spec.Class == schema.Urgent || v.status.Spec.NonIdempotent {
		return false
	}
	if v.status.Spec.Team == g.status.Spec.Team {
		return true
	}
	return !v.usesGuarantee() && v.reclaimCount < maxReclaims
}

// domainSubsets returns avail whole and then cut to each failure domain.
func (m *Model[P]) domainSubsets(avail []block.Mask) [][]block.Mask {
	all := [][]block.Mask{avail}
	for _, d := range m.pool.Domains() {
		cut := make([]block.Mask, len(avail))
		for i, w := range m.pool.Workers {
			if w.Domain == d {
				cut[i] = avail[i]
			}
		}
		all = append(all, cut)
	}
	return all
}

// guaranteesFormableWithout reports whether every guarantee has a home, and would find
// one after the loss of any failure domain, once the places are taken for good.
func (m *Model[P]) guaranteesFormableWithout(l *quota.Ledger, usable []block.Mask, places []block.Place) bool {
	rest := slices.Clone(usable)
	for _, p := range places {
		rest[p.Worker] &^= p.Mask
	}
	if m.config.Document.AcceptUnformableAfterDomainLoss || m.anyDomainOut() {
		return len(l.Clone().Assign(rest)) <= len(m.unformable)
	}
	_, _, ok := l.Withstands(rest)
	return ok
}

// applyPlacement takes the places of a plan, and either holds them at once or first
// reclaims them.
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

package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// maxPassInterval is the longest time between two placement passes while gangs
// wait. Quarantines end and deadlines pass without a message.
const maxPassInterval = 200 * time.Millisecond

const (
	// minPassInterval is the shortest time between two placement passes, and
	// minPassIntervalPerGang the addition for each waiting gang. They keep a
	// long queue from taking all of the processor.
	minPassInterval        = 3 * time.Millisecond
	minPassIntervalPerGang = 50 * time.Microsecond
)

// runPass tries to place every waiting gang once, in order of rank.
func (m *Model) runPass(now time.Time) {
	if !m.loaded || len(m.queue) == 0 || now.Before(m.nextPass) && (!m.changed || now.Before(m.soonestPass)) {
		return
	}
	m.changed = false
	m.nextPass = now.Add(maxPassInterval)
	m.soonestPass = now.Add(minPassInterval + time.Duration(len(m.queue))*minPassIntervalPerGang)
	m.refreshView(now)
	ranked := make([]rankedGang, 0, len(m.queue))
	for _, g := range m.queue {
		ranked = append(ranked, m.rankOf(now, g))
	}
	m.ageRanked(now, ranked)
	slices.SortFunc(ranked, compareRanked)
	for i, r := range ranked {
		r.gang.position = i
	}
	m.renewClaims(now, ranked)
	failed := failedKeys{noPlaces: map[placementKey]bool{}, noHeadroom: map[placementKey]bool{}, noLastResort: map[placementKey]bool{}}
	for len(ranked) > 0 {
		n := 1
		for n < len(ranked) && ranked[n].band() == ranked[0].band() {
			n++
		}
		m.placeBand(now, ranked[:n], failed)
		ranked = ranked[n:]
	}
	m.reportFragments(now)
}

// placeBand tries to place gangs that are ordered by their teams' shares. Once the
// team of a gang has got its share in this pass, the gang comes after the others.
func (m *Model) placeBand(now time.Time, ranked []rankedGang, failed failedKeys) {
	var deferred []rankedGang
	for _, r := range ranked {
		if r.aboveShare || m.aboveShare(r.gang.job.spec.Team) {
			r.aboveShare = true
			deferred = append(deferred, r)
			continue
		}
		m.tryPlace(now, r, failed)
	}
	slices.SortStableFunc(deferred, compareRanked)
	for _, r := range deferred {
		m.tryPlace(now, r, failed)
	}
}

// failedKeys holds the keys of gangs that could not be placed in a pass, since
// there are no places for them, or since these would take headroom.
type failedKeys struct {
	noPlaces, noHeadroom map[placementKey]bool
	// noLastResort holds the keys of gangs that need no last resort or have found none.
	noLastResort map[placementKey]bool
}

// has reports whether a gang with the key would fail as well.
func (f failedKeys) has(key placementKey, mayUseHeadroom bool) bool {
	return f.noPlaces[key] || !mayUseHeadroom && f.noHeadroom[key]
}

// add records that a gang with the key has failed. hadPlaces tells that its places would
// have taken headroom.
func (f failedKeys) add(key placementKey, hadPlaces bool) {
	if hadPlaces {
		f.noHeadroom[key] = true
		return
	}
	f.noPlaces[key] = true
}

// tryPlace places the gang if it can. Otherwise it preempts for an urgent gang,
// or claims workers for an overdue or a wide one. A gang is skipped if another
// with the same key has failed for a reason that holds for both: a gang with a
// claim has workers of its own, and one that avoids workers on which it has
// failed adds no key, since other gangs may use these workers. A gang whose team is at
// its limit neither claims nor adds a key.
func (m *Model) tryPlace(now time.Time, r rankedGang, failed failedKeys) {
	g := r.gang
	switch {
	case g.awaitsLost(now), m.awaitsWave(now, g):
		return
	case !m.withinLimit(g):
		m.holdForLimit(now, r)
		return
	case m.yields(now, r):
		return
	}
	key := r.placementKey(now)
	key.risk = m.riskLimitsOf(now, g)
	shared := len(g.claim.workers) == 0 && r.ageing == young
	mayUseHeadroom := m.mayUseHeadroom(now, r)
	skip := shared && failed.has(key, mayUseHeadroom)
	places := m.anyPlaces(now, g, key, failed, skip)
	if places != nil && (mayUseHeadroom || m.leavesHeadroom(now, r, places)) {
		m.dequeue(g)
		g.aged = r.ageing != young
		m.place(now, g, places)
		return
	}
	if skip {
		// The gang that has failed may not have been allowed to reclaim.
		m.reclaim(now, r)
		return
	}
	if r.priority == 0 && m.preempt(now, g) {
		return
	}
	m.noteWaiting(now, r, key.risk)
	m.noteLimits(g, key.risk)
	m.claimFor(now, r)
	if shared && len(g.failedOn) == 0 {
		failed.add(key, places != nil)
	}
}

// anyPlaces returns places for the gang, of the last resort if there are no others. The
// usual ones are skipped if they were looked for in vain for another gang.
func (m *Model) anyPlaces(now time.Time, g *gang, key placementKey, failed failedKeys, skipUsual bool) []*worker {
	if !skipUsual {
		if places := m.findPlaces(now, g, nil); places != nil {
			return places
		}
	}
	return m.lastResortPlaces(now, g, key, failed)
}

// freeOverlay overrides the free capacity of some workers, to try out a
// placement that needs other gangs to be stopped first.
type freeOverlay struct {
	free map[*worker]record.Amount
	// ignoreClaims is set if the gang may use workers that are claimed for
	// others.
	ignoreClaims bool
}

// allowsClaimed reports whether the gang may use workers claimed for others.
func (o *freeOverlay) allowsClaimed() bool {
	return o != nil && o.ignoreClaims
}

// freeOn returns the worker's capacity that is free for gangs without a
// reservation.
func (o *freeOverlay) freeOn(w *worker) record.Amount {
	if o != nil {
		if free, ok := o.free[w]; ok {
			return free
		}
	}
	return w.free
}

// findPlaces returns a worker for each task of the gang, or nil. The overlay
// replaces the workers' free capacity where it has an entry.
func (m *Model) findPlaces(now time.Time, g *gang, overlay *freeOverlay) []*worker {
	s := g.spec()
	if s.NearRack != "" {
		if places := m.findPlacesAmong(now, g, overlay, m.workersNearData(g)); places != nil {
			return places
		}
		if m.fitsNearData(g) && !m.mayGiveUpLocality(now, g) {
			return nil
		}
	}
	if s.SameRack && g.size > 1 {
		for _, rk := range m.racksThatFit(now, g, overlay) {
			if places := m.findPlacesAmong(now, g, overlay, rk.workers); places != nil {
				return places
			}
		}
		if m.fitsEmptyRack(g) && !m.mayGiveUpLocality(now, g) {
			return nil
		}
	}
	return m.findPlacesAmong(now, g, overlay, m.view.usable[g.job.queue.Target])
}

// eligible reports whether the gang may run on the worker at all: the worker
// has the target and label that the gang asks for, and the gang has not failed
// there, or may be tried there again.
func (m *Model) eligible(g *gang, w *worker) bool {
	if w.Target != g.job.queue.Target || !g.lastResort && m.avoidsForFailure(g, w) {
		return false
	}
	label := g.spec().Label
	return label == "" || slices.Contains(w.Labels, label)
}

// slots returns how many tasks of the gang the worker can take now.
func (m *Model) slots(now time.Time, g *gang, w *worker, overlay *freeOverlay) int {
	switch {
	case !m.eligible(g, w), !m.reachable(now, w):
		return 0
	case !g.lastResort && (w.setAside(now) || w.slow(now) && !m.view.scarce):
		return 0
	}
	if isolated(now, g, w) || w.hasTrialStart() {
		return 0
	}
	s := g.spec()
	free := overlay.freeOn(w)
	if amount.Negative(amount.Add(free, w.reserved)) {
		return 0
	}
	n := amount.Count(s.Need, free)
	if n > 0 && !overlay.allowsClaimed() && m.claimedAgainst(now, w, g) {
		n = min(n, amount.Count(s.Need, m.leftByClaim(now, w)))
	}
	if s.SpreadLimit > 0 {
		n = min(n, max(0, s.SpreadLimit-m.tasksOn(g, w)))
	}
	return m.limitByRisk(now, g, w, n)
}

// tasksOn counts the tasks of the gang's step that are on the worker.
func (m *Model) tasksOn(g *gang, w *worker) int {
	n := 0
	for t := range w.runs {
		if t.Job == g.job.spec.ID && t.Step == g.step && t.Occurrence == g.occurrence {
			n++
		}
	}
	return n
}

// findPlacesAmong looks for places on the given workers. It fills those with
// the least spare capacity first, so that whole workers stay free for large
// tasks.
func (m *Model) findPlacesAmong(now time.Time, g *gang, overlay *freeOverlay, workers []*worker) []*worker {
	var candidates []candidate
	total := 0
	for _, w := range workers {
		n := m.slots(now, g, w, overlay)
		if n == 0 {
			continue
		}
		candidates = append(candidates, candidate{w, n, overlay.freeOn(w)})
		total += n
	}
	if total < g.size {
		return nil
	}
	if g.size == 1 {
		best := slices.MinFunc(candidates, candidateOrder(g))
		return []*worker{best.worker}
	}
	slices.SortStableFunc(candidates, candidateOrder(g))
	places := make([]*worker, 0, g.size)
	for _, c := range candidates {
		for range min(c.slots, g.size-len(places)) {
			places = append(places, c.worker)
		}
		if len(places) == g.size {
			return places
		}
	}
	return nil
}

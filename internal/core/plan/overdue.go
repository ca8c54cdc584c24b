package plan

import (
	"slices"
	"time"
)

const (
	// OverdueAfter is how long a gang waits, from when it could first run, until
	// it is overdue. The oldest overdue gangs come before all others, so that
	// none waits for ever behind work that is worth more.
	OverdueAfter = 15 * time.Second
	// overdueShare is the share of a target's capacity that may be in use by, or
	// claimed for, gangs that were placed because they were overdue. The rest
	// stays with the usual order.
	overdueShare = 0.125
)

// markOverdue marks the overdue gangs that may go first: those that have waited
// longest and fit, up to the overdue share of each target. A gang that is larger
// than that share may go first if none is waiting before it.
func (m *Model) markOverdue(now time.Time, ranked []rankedGang) {
	var old []*rankedGang
	for i := range ranked {
		r := &ranked[i]
		if now.Sub(r.gang.readyAt) >= OverdueAfter {
			old = append(old, r)
		}
	}
	if len(old) == 0 {
		return
	}
	slices.SortStableFunc(old, func(a, b *rankedGang) int { return a.gang.readyAt.Compare(b.gang.readyAt) })
	shares := m.overdueShares()
	fits := map[rankKey]bool{}
	for _, r := range old {
		key := rankKey{r.gang.job, r.gang.step}
		fit, known := fits[key]
		if !known {
			fit = m.fitsWhenEmpty(now, r.gang)
			fits[key] = fit
		}
		if fit {
			r.overdue = shares[r.gang.job.queue.Target].take(r.gang.coreEquivalents())
		}
	}
}

// fitsWhenEmpty reports whether the gang would fit if all usable workers were
// empty.
func (m *Model) fitsWhenEmpty(now time.Time, g *gang) bool {
	slots := 0
	for _, w := range m.view.usable[g.job.queue.Target] {
		if m.eligible(g, w) && !w.slow(now) {
			slots += g.slotsOnEmpty(w)
		}
	}
	return slots >= g.size
}

// overdueBudget is what overdue gangs of one target may still take, in
// equivalents of cores.
type overdueBudget struct {
	limit, used float64
	// full is set once an older gang waits for its part. Younger ones must not
	// overtake it.
	full    bool
	waiting int
}

// take reports whether a gang of the given size may go first.
func (b *overdueBudget) take(size float64) bool {
	if b == nil || b.full {
		return false
	}
	if b.used+size > b.limit && (size <= b.limit || b.waiting > 0) {
		b.full = true
		return false
	}
	b.used += size
	b.waiting++
	return true
}

// overdueShares returns the budget of each target, less what gangs that were
// placed because they were overdue use.
func (m *Model) overdueShares() map[string]*overdueBudget {
	budgets := map[string]*overdueBudget{}
	for target, workers := range m.view.usable {
		b := &overdueBudget{}
		for _, w := range workers {
			b.limit += overdueShare * coreEquivalents(w.Capacity)
		}
		budgets[target] = b
	}
	for g := range m.active.All() {
		if b := budgets[g.job.queue.Target]; b != nil && g.overdue {
			b.used += g.coreEquivalents()
		}
	}
	return budgets
}

// coreEquivalents returns what all tasks of the gang need, in equivalents of
// cores.
func (g *gang) coreEquivalents() float64 {
	return float64(g.size) * coreEquivalents(g.need())
}

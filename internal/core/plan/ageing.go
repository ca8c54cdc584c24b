package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
	"github.com/rattanshore/rattanshore/internal/core/amount"
)

// ageing is how far a gang's long wait moves it forward.
type ageing int

const (
	// young gangs are placed in the usual order.
	young ageing = iota
	// overdue gangs come before all others but urgent ones.
	overdue
	// starved gangs come before all others.
	starved
)

const (
	// OverdueAfter is how long a gang waits, from when it could first run, until
	// it is overdue, so that it doesn't wait for ever behind work that is worth
	// more.
	OverdueAfter = 15 * time.Second
	// StarvedAfter is how long it waits until it comes before urgent work too.
	// Urgent gangs lose their value within seconds, so this is late.
	StarvedAfter = 40 * time.Second
	// overdueShare is the share of a target's capacity that may be in use by, or
	// claimed for, gangs that were moved forward. The rest stays with the usual
	// order.
	overdueShare = 0.125
)

// ageAt returns how far a gang that is waiting has aged.
func (g *gang) ageAt(now time.Time) ageing {
	switch waited := now.Sub(g.readyAt); {
	case waited >= StarvedAfter:
		return starved
	case waited >= OverdueAfter:
		return overdue
	default:
		return young
	}
}

// ageRanked moves the overdue gangs forward that have waited longest and fit, up
// to the overdue share of each target. A gang that is larger than that share is
// moved forward if none is waiting before it.
func (m *Model) ageRanked(now time.Time, ranked []rankedGang) {
	if m.policy.Without.Has(ablate.Ageing) {
		return
	}
	var old []*rankedGang
	for i := range ranked {
		r := &ranked[i]
		if r.gang.ageAt(now) != young {
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
		if fit && shares[r.gang.job.queue.Target].take(r.gang.coreEquivalents()) {
			r.ageing = r.gang.ageAt(now)
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
	full bool
	// moved counts the gangs that were moved forward in this pass.
	moved int
}

// take reports whether a gang of the given size may be moved forward.
func (b *overdueBudget) take(size float64) bool {
	if b == nil || b.full {
		return false
	}
	if b.used+size > b.limit && (size <= b.limit || b.moved > 0) {
		b.full = true
		return false
	}
	b.used += size
	b.moved++
	return true
}

// overdueShares returns the budget of each target, less what gangs that were
// moved forward use.
func (m *Model) overdueShares() map[string]*overdueBudget {
	budgets := map[string]*overdueBudget{}
	for target, workers := range m.view.usable {
		b := &overdueBudget{}
		for _, w := range workers {
			b.limit += overdueShare * amount.CoreEquivalents(w.Capacity)
		}
		budgets[target] = b
	}
	for g := range m.active.All() {
		if b := budgets[g.job.queue.Target]; b != nil && g.aged {
			b.used += g.coreEquivalents()
		}
	}
	return budgets
}

// coreEquivalents returns what all tasks of the gang need, in equivalents of
// cores.
func (g *gang) coreEquivalents() float64 {
	return float64(g.size) * amount.CoreEquivalents(g.need())
}

package plan

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/core/share"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// teamRules holds what the configuration in force says about teams.
type teamRules struct {
	byName  map[string]rules.Team
	weights map[string]float64
}

func newTeamRules(config rules.Config) teamRules {
	t := teamRules{byName: make(map[string]rules.Team, len(config.Teams)), weights: map[string]float64{}}
	for _, team := range config.Teams {
		t.byName[team.Name] = team
		if team.Weight > 0 {
			t.weights[team.Name] = team.Weight
		}
	}
	return t
}

// limit returns what the team may have running.
func (t teamRules) limit(team string) record.Amount {
	return t.byName[team].Limit
}

// totalNeed returns what all tasks of the gang need together.
func (g *gang) totalNeed() record.Amount {
	return amount.Times(g.need(), g.size)
}

// withinLimit reports whether the gang may be placed now: with it, its team keeps
// its limit even if all that may be running goes on running.
func (m *Model) withinLimit(g *gang) bool {
	team := g.job.spec.Team
	return share.Within(amount.Add(m.teamLedger.Held(team), g.totalNeed()), m.teams.limit(team))
}

// reservedWithinLimit is the same for a gang with a reservation of its own. Other
// reservations of its team are checked when their gangs are placed.
func (m *Model) reservedWithinLimit(g *gang) bool {
	team := g.job.spec.Team
	return share.Within(amount.Add(m.teamLedger.Running(team), g.totalNeed()), m.teams.limit(team))
}

// overLimit reports whether the team may have more running than its limit, which an
// operator may have lowered. What was not started yet is then given up.
func (m *Model) overLimit(team string) bool {
	return !share.Within(m.teamLedger.Running(team), m.teams.limit(team))
}

// holdForLimit keeps a gang waiting whose team is at its limit. An urgent gang
// preempts less urgent work of its own team instead.
func (m *Model) holdForLimit(now time.Time, r rankedGang) {
	g := r.gang
	if r.priority == 0 && m.preempt(now, g) {
		return
	}
	m.unclaim(g)
	m.view.heldForLimit[g.job.spec.Team]++
	if !g.heldForLimit {
		g.heldForLimit = true
		m.reportDecision(HeldForLimit, g, nil, "team "+g.job.spec.Team+" holds "+formatAmount(m.teamLedger.Held(g.job.spec.Team))+
			", its limit is "+formatAmount(m.teams.limit(g.job.spec.Team)))
	}
}

// limitVictims returns the gangs of g's own team that have to be stopped so that g
// keeps its team's limit, cheapest first. It reports false if there are not enough.
func (m *Model) limitVictims(now time.Time, g *gang, forced bool, costs map[*gang]float64) ([]victim, bool) {
	team, limit := g.job.spec.Team, m.teams.limit(g.job.spec.Team)
	excess := share.Excess(amount.Add(m.teamLedger.Committed(team), g.totalNeed()), limit)
	if excess == (record.Amount{}) {
		return nil, true
	}
	if !forced && !share.Within(m.teamLedger.Committed(team), limit) {
		// The limit was lowered: what runs is not stopped for it.
		return nil, false
	}
	var candidates []pricedVictim
	for v := range m.active.All() {
		if v.job.spec.Team != team || !m.mayPreempt(g, v, forced) {
			continue
		}
		cost := m.cachedCost(now, v, costs)
		candidates = append(candidates, pricedVictim{victim: victim{v, cost}, costPerCore: cost / max(v.coreEquivalents(), 1)})
	}
	slices.SortFunc(candidates, func(a, b pricedVictim) int {
		return cmp.Or(cmp.Compare(a.costPerCore, b.costPerCore), compareTasks(a.gang, b.gang))
	})
	var chosen []victim
	for _, c := range candidates {
		left := c.gang.relieve(excess)
		if left == excess {
			continue
		}
		chosen = append(chosen, c.victim)
		excess = left
		if excess == (record.Amount{}) {
			return chosen, true
		}
	}
	return nil, false
}

// relieve returns what is left of an excess once the gang's runs are stopped. Members
// that have ended already free nothing.
func (g *gang) relieve(excess record.Amount) record.Amount {
	for _, r := range g.runs {
		if r.phase != terminating {
			excess = amount.Sub(excess, r.need)
		}
	}
	return amount.Sub(excess, amount.Min(excess, record.Amount{}))
}

// countSubmission counts a job against its team's rate.
func (m *Model) countSubmission(j *job) {
	weight := m.teams.weights[j.spec.Team]
	j.beyondRate = weight > 0 && m.rate.Exceeds(j.spec.Team, j.spec.SubmittedAt, weight)
}

// beyondRate reports whether the job comes after the work of teams that keep their
// rate. Urgent work within its team's guarantee never does.
func (m *Model) beyondRate(j *job) bool {
	return j.beyondRate && (j.queue.Priority > 0 || !m.withinGuarantee(j.spec.Team))
}

// aboveShare reports whether the team holds more than its weighted share of the usable
// capacity.
func (m *Model) aboveShare(team string) bool {
	return m.view.shares.Above(team, m.teamLedger.Committed(team))
}

// newShares divides the usable capacity among the teams with work.
func (m *Model) newShares(capacity record.Amount) share.Shares {
	if len(m.teams.weights) == 0 {
		return share.Shares{}
	}
	active := map[string]bool{}
	for _, g := range m.queue {
		active[g.job.spec.Team] = true
	}
	for g := range m.active.All() {
		active[g.job.spec.Team] = true
	}
	return share.NewShares(capacity, m.teams.weights, active)
}

// formatAmount returns an amount for the log.
func formatAmount(a record.Amount) string {
	return strconv.Itoa(a.MilliCores) + "m " + strconv.Itoa(a.MemoryMB) + "MB " + strconv.Itoa(a.Accelerators) + " accelerators"
}

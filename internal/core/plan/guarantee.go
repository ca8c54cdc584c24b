package plan

import "time"

// mustReclaim reports whether the gang's team is within its guarantee and
// capacity has to be reclaimed now to meet the deadline.
func (m *Model) mustReclaim(now time.Time, g *gang) bool {
	reclaimAt := g.job.acceptedAt.Add(m.timing.Reclaim - m.timing.TaskStop - reclaimMargin)
	return !now.Before(reclaimAt) && m.withinGuarantee(g.job.spec.Team)
}

// withinGuarantee reports whether the team's urgent jobs together need no more
// accelerators than the team is guaranteed.
func (m *Model) withinGuarantee(team string) bool {
	return m.view.urgentDemand[team] <= m.guaranteed(team)
}

// guaranteed returns the number of accelerators that the team is guaranteed: at most
// its limit.
func (m *Model) guaranteed(team string) int {
	t := m.teams.byName[team]
	if limit := t.Limit.Accelerators; limit > 0 {
		return min(t.Guaranteed, limit)
	}
	return t.Guaranteed
}

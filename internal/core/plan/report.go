package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/share"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// teamsInterval is the least time between two reports on teams.
const teamsInterval = time.Second

// TeamUse is what a team with a limit or a weight holds.
type TeamUse struct {
	Team string
	// Running may be running now.
	Running record.Amount
	Limit   record.Amount
	// Share is the team's dominant share of the usable capacity.
	Share float64
	// HeldForLimit is the number of gangs that wait only for the limit.
	HeldForLimit int
}

// TeamsCmd reports what teams hold, for the metrics.
type TeamsCmd struct {
	Teams []TeamUse
}

func (TeamsCmd) isCmd() {}

// reportTeams reports what the teams with a limit or a weight hold.
func (m *Model) reportTeams(now time.Time) {
	if !m.loaded || now.Before(m.nextTeams) {
		return
	}
	m.nextTeams = now.Add(teamsInterval)
	if len(m.queue) == 0 {
		m.view.heldForLimit = nil
	}
	var cmd TeamsCmd
	for name, t := range m.teams.byName {
		if t.Weight <= 0 && t.Limit == (record.Amount{}) {
			continue
		}
		cmd.Teams = append(cmd.Teams, TeamUse{
			Team: name, Running: m.teamLedger.Running(name), Limit: t.Limit,
			Share: share.Dominant(m.teamLedger.Running(name), m.view.capacity), HeldForLimit: m.view.heldForLimit[name],
		})
	}
	if len(cmd.Teams) == 0 && !m.teamsReported {
		return
	}
	m.teamsReported = len(cmd.Teams) > 0
	slices.SortFunc(cmd.Teams, func(a, b TeamUse) int { return cmp.Compare(a.Team, b.Team) })
	m.emit(cmd)
}

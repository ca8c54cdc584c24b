package metrc

import (
	"fmt"
	"io"
	"sync"
)

// maxTeams bounds the number of teams that have metrics of their own. The others are
// summed up under the name otherTeams.
const (
	maxTeams   = 64
	otherTeams = "other"
)

// Team holds the metrics of one team. Amounts are in accelerators.
type Team struct {
	Name    string
	Running int
	// Limit is what the team may have running; 0 is no limit.
	Limit int
	// Share is the team's part of the capacity, from 0 to 1.
	Share float64
	// Held is the number of gangs that wait only for the team's limit.
	Held int
}

// Teams holds the metrics of teams that have a limit or a weight. Only the leader has
// any.
type Teams struct {
	mu    sync.Mutex
	teams []Team
}

// Set replaces the metrics of all teams.
func (t *Teams) Set(teams []Team) {
	if len(teams) > maxTeams {
		rest := Team{Name: otherTeams}
		for _, x := range teams[maxTeams:] {
			rest.Running += x.Running
			rest.Share += x.Share
			rest.Held += x.Held
		}
		teams = append(teams[:maxTeams:maxTeams], rest)
	}
	t.mu.Lock()
	t.teams = teams
	t.mu.Unlock()
}

// write writes the metrics in the Prometheus text format.
func (t *Teams) write(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.teams {
		_, _ = fmt.Fprintf(w, "rattanshore_team_running_accelerators{team=%q} %d\n", x.Name, x.Running)
		_, _ = fmt.Fprintf(w, "rattanshore_team_limit_accelerators{team=%q} %d\n", x.Name, x.Limit)
		_, _ = fmt.Fprintf(w, "rattanshore_team_share{team=%q} %g\n", x.Name, x.Share)
		_, _ = fmt.Fprintf(w, "rattanshore_team_gangs_held{team=%q} %d\n", x.Name, x.Held)
	}
}

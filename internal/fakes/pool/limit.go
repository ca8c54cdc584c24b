package pool

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// limitConfigDelay is how long after an operator's change a start under the limit
// before it is still allowed: a configuration is in force everywhere within 4 s.
const limitConfigDelay = 4 * time.Second

// teamLimit is a limit that a team had from the given time on.
type teamLimit struct {
	limit record.Amount
	from  time.Time
}

// SetTeamLimit sets what a team may have running from now on. A resource with 0 has
// no limit. Starts are judged by the workers' own runs.
func (p *Pool) SetTeamLimit(team string, limit record.Amount) {
	p.RecordEvent("team %s may have %v running", team, limit)
	p.teamLimits[team] = append(p.teamLimits[team], teamLimit{limit, p.clock.Now()})
}

// Running returns what the team's runs on all workers need, those being stopped
// included.
func (p *Pool) Running(team string) record.Amount {
	var total record.Amount
	for _, w := range p.workers {
		if w.Dead {
			continue
		}
		for _, r := range w.runs {
			if job, known := p.workload.Job(r.task.Job); known && job.Team == team {
				total.MilliCores += r.need.MilliCores
				total.MemoryMB += r.need.MemoryMB
				total.Accelerators += r.need.Accelerators
			}
		}
	}
	return total
}

// checkTeamLimit records a problem if a start that was sent at the given time has
// brought its team above every limit that may have been in force since then.
func (p *Pool) checkTeamLimit(cmd plan.StartCmd, job record.Job, sentAt time.Time) {
	limits := p.teamLimits[job.Team]
	since := sentAt.Add(-limitConfigDelay)
	running := p.Running(job.Team)
	for i, l := range limits {
		superseded := i+1 < len(limits) && !limits[i+1].from.After(since)
		if !superseded && keeps(running, l.limit) {
			return
		}
	}
	if len(limits) > 0 {
		p.RecordProblem("%v attempt %d brings team %s to %v, above its limit", cmd.Task, cmd.Attempt, job.Team, running)
	}
}

// keeps reports whether an amount is within a limit.
func keeps(a, limit record.Amount) bool {
	return (limit.MilliCores == 0 || a.MilliCores <= limit.MilliCores) &&
		(limit.MemoryMB == 0 || a.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || a.Accelerators <= limit.Accelerators)
}

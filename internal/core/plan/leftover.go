package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// leftovers holds what may be left of jobs that earlier leaders ended. Their rows no
// longer tell where they ran, and a run that was being stopped counts for its team's
// limit until it is gone.
type leftovers struct {
	// jobs holds these jobs until their rows are deleted.
	jobs map[string]record.Job
	// assumed holds the jobs that count in full, since a worker that has not answered
	// this leader may still run them.
	assumed []record.Job
}

// addLeftover remembers a job that an earlier leader ended.
func (m *Model) addLeftover(job record.Job, p record.Progress) {
	m.leftovers.jobs[job.ID] = job
	stopped := p.State == record.Cancelled || p.State == record.Failed
	recent := m.earlierUntil.Sub(p.EndedAt) < m.longestLease()
	if !stopped || p.Attempt == 0 || !recent {
		return
	}
	m.leftovers.assumed = append(m.leftovers.assumed, job)
	m.teamLedger.Start(job.Team, largestNeed(job))
}

// largestNeed returns the most that a job can have running.
func largestNeed(job record.Job) record.Amount {
	var total record.Amount
	for _, s := range job.Steps {
		total = amount.Add(total, amount.Times(s.Need, s.Tasks))
	}
	return total
}

// settleLeftovers stops counting the assumed jobs once every worker that may have
// their runs has answered, or its leases are over. What answers report counts by
// itself.
func (m *Model) settleLeftovers(now time.Time) {
	if len(m.leftovers.assumed) == 0 || !m.loaded {
		return
	}
	for _, w := range m.sortedWorkers {
		if w.inRoster && !w.synced && now.Before(w.inheritedUntil) {
			return
		}
	}
	for _, job := range m.leftovers.assumed {
		m.teamLedger.End(job.Team, largestNeed(job), false)
	}
	m.leftovers.assumed = nil
	m.changed = true
}

// leftoverNeed returns the team of a task of such a job and what the task needs.
func (m *Model) leftoverNeed(t TaskID) (string, record.Amount, bool) {
	job, known := m.leftovers.jobs[t.Job]
	if !known || t.Step < 0 || t.Step >= len(job.Steps) {
		return "", record.Amount{}, false
	}
	return job.Team, job.Steps[t.Step].Need, true
}

package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// restore applies the progress that an earlier leader recorded. Its runs are
// confirmed or dropped when their workers answer.
func (m *Model) restore(now time.Time, j *job, p record.Progress) {
	j.everPlaced = p.State == record.Running
	j.everRan = j.everPlaced
	for _, g := range j.gangs {
		g.attempt = j.attempt
	}
	for _, gp := range p.Gangs {
		g := j.gang(gp.Occurrence, gp.Step, gp.First)
		if g == nil {
			continue
		}
		g.failedAttempts = gp.FailedAttempts
		g.checkpoint = gp.Checkpoint
		g.crashes = gp.Crashes
		m.recoverLosses(now, g, gp.Losses)
		if gp.Done {
			g.phase = done
			j.unfinished[stepKey{g.occurrence, g.step}]--
			continue
		}
		m.recoverRuns(now, g, gp)
	}
}

// recoverRuns takes over the runs that an earlier leader recorded for a gang.
func (m *Model) recoverRuns(now time.Time, g *gang, gp record.GangProgress) {
	for _, place := range gp.Places {
		w, known := m.workers[place.Worker]
		if !known {
			// A worker is missing from the roster only when nothing runs on it.
			continue
		}
		m.addRun(&run{
			task:    TaskID{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.step, Index: place.Index},
			attempt: gp.Attempt, gang: g, worker: w, need: g.need(), phase: recovering, sentAt: now,
			incarnation: startTime(place), inherited: true,
		})
	}
	if len(g.runs) == 0 {
		return
	}
	g.phase = placed
	g.attempt = gp.Attempt
	g.placedAt = now
	g.deadline = later(now.Add(m.timing.GangWait), m.inheritedLease(now))
	if len(g.runs) < g.size {
		m.abortAttempt(now, g, "some of its workers are not known")
	}
}

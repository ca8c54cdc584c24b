package pool

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// crashesForFailure is the number of crashes under one of its tasks from which
	// on a job may be given up.
	crashesForFailure = 2
	// crashLimit is the number of crashes under a task after which it may be started
	// less than startsAfterLimit times more.
	crashLimit       = 3
	startsAfterLimit = 3
)

// crashCounts counts the crashes of workers by the tasks that ran there.
type crashCounts struct {
	under map[plan.TaskID]int
	// startsAfter counts the starts of a task after crashLimit crashes under it.
	startsAfter map[plan.TaskID]int
}

func newCrashCounts() crashCounts {
	return crashCounts{under: map[plan.TaskID]int{}, startsAfter: map[plan.TaskID]int{}}
}

// Crashes returns how many workers have crashed under a task.
func (p *Pool) Crashes(t plan.TaskID) int {
	return p.crashes.under[t]
}

// checkCrashes records a problem for a task that is started although too many
// workers have crashed under it.
func (p *Pool) checkCrashes(t plan.TaskID) {
	if p.crashes.under[t] < crashLimit {
		return
	}
	p.crashes.startsAfter[t]++
	if p.crashes.startsAfter[t] == startsAfterLimit {
		p.RecordProblem("%v started %d times more after %d workers had crashed under it", t, startsAfterLimit, crashLimit)
	}
}

// CheckFailed records a problem if a job is reported as failed although no task of
// it has failed too often or has had too many workers crash under it.
func (p *Pool) CheckFailed(id string) {
	job, ok := p.workload.Job(id)
	if !ok {
		p.RecordProblem("%s is reported as failed but was never submitted", id)
		return
	}
	for occurrence := range max(1, job.Occurrences) {
		for s := range job.Steps {
			if p.stepHasFailed(job, occurrence, s) {
				return
			}
		}
	}
	p.RecordProblem("%s is reported as failed without cause", id)
}

// stepHasFailed reports whether a task of a step has failed too often or has had too many
// workers crash under it.
func (p *Pool) stepHasFailed(job record.Job, occurrence, number int) bool {
	step, failures := job.Steps[number], 0
	for i := range step.Tasks {
		t := plan.TaskID{Job: job.ID, Occurrence: occurrence, Step: number, Index: i}
		failures = p.failuresWith(t, step, failures)
		if failures >= p.workload.MaxAttempts(job) || p.crashes.under[t] >= crashesForFailure {
			return true
		}
	}
	return false
}

// failuresWith returns how often a task has failed. The failures of a gang's members
// before it are added, since the members fail together.
func (p *Pool) failuresWith(t plan.TaskID, step record.Step, before int) int {
	if step.Gang {
		return before + p.failedRuns[t]
	}
	return p.failedRuns[t]
}

// clockOf returns the time of a worker's own clock, which begins anew with each
// incarnation.
func (p *Pool) clockOf(w *Worker) time.Time {
	return p.startedAt.Add(p.clock.Now().Sub(w.Entry.StartedAt))
}

// extendLease extends a worker's lease to a time of its own clock, by MaxLease from
// now at most.
func (p *Pool) extendLease(w *Worker, until time.Time) {
	if longest := p.clockOf(w).Add(MaxLease); until.After(longest) {
		until = longest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// Package crew simulates the platform's workers: leases, fencing, gangs, and
// ended runs that are reported until they are acknowledged. It runs on any
// clock, keeps the workers' side of the protocol, and records each call that
// breaks a promise of the scheduler.
package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// StopDelay is how long a stopped task takes to end.
	StopDelay = 400 * time.Millisecond
	// GangWait is how long the members of a gang wait for each other.
	GangWait = 3 * time.Second
	// leaseCheckInterval is the time between two checks for expired leases.
	leaseCheckInterval = 20 * time.Millisecond
)

// Clock tells the time and runs callbacks. Callbacks never overlap with each
// other or with calls to the simulated workers.
type Clock interface {
	Now() time.Time
	After(delay time.Duration, do func())
}

// Workload provides the submitted jobs and how their tasks behave.
type Workload interface {
	Job(id string) (record.Job, bool)
	// MaxAttempts returns how often a task of the job may fail before it must not
	// be started again.
	MaxAttempts(job record.Job) int
	// TaskDuration returns how long a task takes on a worker of normal speed.
	TaskDuration(task plan.TaskID) time.Duration
	// Fails reports whether a task fails on a worker.
	Fails(task plan.TaskID, worker string) bool
}

// Pool is the set of simulated workers.
type Pool struct {
	clock     Clock
	jobs      Workload
	startedAt time.Time
	workers   map[string]*Worker

	// done counts the runs of a task that ended done; ackedDone holds the tasks
	// whose end as done was acknowledged.
	done        map[plan.TaskID]int
	ackedDone   map[plan.TaskID]bool
	starts      map[plan.TaskID]int
	lastStart   map[plan.TaskID]time.Time
	failures    map[plan.TaskID]int
	lastFailure map[plan.TaskID]time.Time
	firstStart  map[string]time.Time
	problems    []string
	notes       []string
}

// New returns an empty set of workers.
func New(clock Clock, jobs Workload) *Pool {
	c := &Pool{
		clock:       clock,
		jobs:        jobs,
		startedAt:   clock.Now(),
		workers:     map[string]*Worker{},
		done:        map[plan.TaskID]int{},
		ackedDone:   map[plan.TaskID]bool{},
		starts:      map[plan.TaskID]int{},
		lastStart:   map[plan.TaskID]time.Time{},
		failures:    map[plan.TaskID]int{},
		lastFailure: map[plan.TaskID]time.Time{},
		firstStart:  map[string]time.Time{},
	}
	c.expireLeases()
	return c
}

// Add adds a worker, or replaces it by a new incarnation with the same
// identifier.
func (c *Pool) Add(entry plan.Worker) *Worker {
	w := &Worker{
		Entry:          entry,
		runs:           map[plan.TaskID]*run{},
		highestAttempt: map[plan.TaskID]int{},
		endTimes:       map[int64]time.Time{},
	}
	c.workers[entry.ID] = w
	return w
}

// Worker returns a worker by its identifier.
func (c *Pool) Worker(id string) *Worker {
	return c.workers[id]
}

// IDs returns the identifiers of all workers in order.
func (c *Pool) IDs() []string {
	return slices.Sorted(maps.Keys(c.workers))
}

// Alive returns the entries of all workers that are not dead, in order.
func (c *Pool) Alive() []plan.Worker {
	var entries []plan.Worker
	for _, id := range c.IDs() {
		if w := c.workers[id]; !w.Dead {
			entries = append(entries, w.Entry)
		}
	}
	return entries
}

// Crash ends a worker, and with it the other members of its gangs.
func (c *Pool) Crash(w *Worker) {
	if w.Dead {
		return
	}
	c.RecordEvent("%s crashes", w.Entry.ID)
	w.Dead = true
	for _, r := range w.sortedRuns() {
		c.endGangMembers(r, plan.EndMemberEnded)
	}
}

// Problems returns the broken promises that were recorded.
func (c *Pool) Problems() []string {
	return c.problems
}

// Events returns the recorded events, for reports of failures.
func (c *Pool) Events() []string {
	return c.notes
}

// RecordEvent records an event.
func (c *Pool) RecordEvent(format string, args ...any) {
	c.notes = append(c.notes, c.withTime(format, args...))
}

// RecordProblem records a broken promise.
func (c *Pool) RecordProblem(format string, args ...any) {
	c.problems = append(c.problems, c.withTime(format, args...))
}

// withTime formats a message with the time since New.
func (c *Pool) withTime(format string, args ...any) string {
	return c.clock.Now().Sub(c.startedAt).String() + ": " + fmt.Sprintf(format, args...)
}

// FirstStart returns when the first task of a job was started.
func (c *Pool) FirstStart(job string) (time.Time, bool) {
	at, ok := c.firstStart[job]
	return at, ok
}

// Starts returns how often a task was started.
func (c *Pool) Starts(t plan.TaskID) int {
	return c.starts[t]
}

// Failures returns how many failed runs of a task were acknowledged.
func (c *Pool) Failures(t plan.TaskID) int {
	return c.failures[t]
}

// IsDone reports whether a task has ended as done. A gang is done if one of its
// members is.
func (c *Pool) IsDone(t plan.TaskID, step record.Step) bool {
	if !step.Gang {
		return c.done[t] > 0
	}
	for i := range step.Tasks {
		t.Index = i
		if c.done[t] > 0 {
			return true
		}
	}
	return false
}

// CheckCompleted records a problem for each task that is not done of a job that
// is reported as completed.
func (c *Pool) CheckCompleted(id string) {
	job, ok := c.jobs.Job(id)
	if !ok {
		c.RecordProblem("%s is reported as completed but was never submitted", id)
		return
	}
	for s, step := range job.Steps {
		for i := range step.Tasks {
			t := plan.TaskID{Job: id, Step: s, Index: i}
			if !c.IsDone(t, step) {
				c.RecordProblem("%s is reported as completed although %v is not done", id, t)
			}
		}
	}
}

// expireLeases ends the runs on workers whose lease has expired, and schedules
// the next check.
func (c *Pool) expireLeases() {
	now := c.clock.Now()
	for _, id := range c.IDs() {
		w := c.workers[id]
		if w.Dead || w.lease.After(now) {
			continue
		}
		w.leaseExpiredAt = now
		for _, r := range w.sortedRuns() {
			if w.runs[r.task] == r {
				c.end(w, r, plan.EndLeaseExpired)
			}
		}
	}
	c.clock.After(leaseCheckInterval, c.expireLeases)
}

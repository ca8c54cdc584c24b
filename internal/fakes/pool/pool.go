// Package pool simulates the platform's workers: leases, fencing, gangs, and
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
	// MaxLease is the longest lease that a worker grants.
	MaxLease = 6 * time.Second
	// leaseCheckInterval is the time between two checks for expired leases.
	leaseCheckInterval = 20 * time.Millisecond
	// defaultEndsPerAnswer is the platform's limit of the ends that a worker lists.
	defaultEndsPerAnswer = 500
	// defaultLimitGrace is three heartbeats of a worker.
	defaultLimitGrace = 4500 * time.Millisecond
)

// Clock returns the time and schedules callbacks. Callbacks never overlap with
// each other or with calls to the simulated workers.
type Clock interface {
	Now() time.Time
	After(delay time.Duration, callback func())
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
	// OnStart is called after each start of a task, if it is set. It may crash the
	// worker.
	OnStart func(w *Worker, task plan.TaskID)

	clock     Clock
	workload  Workload
	startedAt time.Time
	workers   map[string]*Worker
	// ids holds the sorted identifiers of all workers, or nil after a new one.
	ids []string

	// done counts the runs of a task that ended as done; ackedDone holds the tasks
	// whose end as done was acknowledged.
	done        map[plan.TaskID]int
	ackedDone   map[plan.TaskID]bool
	starts      map[plan.TaskID]int
	lastStart   map[plan.TaskID]time.Time
	failures    map[plan.TaskID]int
	lastFailure map[plan.TaskID]time.Time
	firstStart  map[string]time.Time
	// failedRuns counts the runs that ended in failure, acknowledged or not.
	failedRuns map[plan.TaskID]int
	// teamLimits holds the limits of each team, oldest first.
	teamLimits map[string][]teamLimit
	crashes    crashCounts
	problems   []string
	events     []string

	// EndsPerAnswer is the largest number of ends that an answer to a poll lists.
	EndsPerAnswer int
	// LimitGrace is how long after a worker's capacity has shrunk a start may still
	// bring the worker over it.
	LimitGrace time.Duration
}

// New returns a Pool without workers.
func New(clock Clock, workload Workload) *Pool {
	p := &Pool{
		clock:       clock,
		workload:    workload,
		startedAt:   clock.Now(),
		workers:     map[string]*Worker{},
		done:        map[plan.TaskID]int{},
		ackedDone:   map[plan.TaskID]bool{},
		starts:      map[plan.TaskID]int{},
		lastStart:   map[plan.TaskID]time.Time{},
		failures:    map[plan.TaskID]int{},
		lastFailure: map[plan.TaskID]time.Time{},
		firstStart:  map[string]time.Time{},
		failedRuns:  map[plan.TaskID]int{},
		teamLimits:  map[string][]teamLimit{},
		crashes:     newCrashCounts(),
		LimitGrace:  defaultLimitGrace,

		EndsPerAnswer: defaultEndsPerAnswer,
	}
	p.expireLeases()
	return p
}

// Add adds a worker, or replaces it with a new incarnation with the same
// identifier. The grace for a smaller capacity holds for that one, too.
func (p *Pool) Add(entry plan.Worker) *Worker {
	w := &Worker{
		Entry:          entry,
		runs:           map[plan.TaskID]*run{},
		highestAttempt: map[plan.TaskID]int{},
		endTimes:       map[int64]time.Time{},
	}
	if former := p.workers[entry.ID]; former != nil {
		w.formerCapacities = append(former.formerCapacities, formerCapacity{former.Entry.Capacity, p.clock.Now()})
	}
	if p.workers[entry.ID] == nil {
		p.ids = nil
	}
	p.workers[entry.ID] = w
	return w
}

// Worker returns a worker by its identifier.
func (p *Pool) Worker(id string) *Worker {
	return p.workers[id]
}

// IDs returns the sorted identifiers of all workers.
func (p *Pool) IDs() []string {
	if p.ids == nil {
		p.ids = slices.Sorted(maps.Keys(p.workers))
	}
	return slices.Clone(p.ids)
}

// Alive returns the entries of all workers that are not dead, sorted by
// identifier.
func (p *Pool) Alive() []plan.Worker {
	var entries []plan.Worker
	for _, id := range p.IDs() {
		if w := p.workers[id]; !w.Dead {
			entries = append(entries, w.Entry)
		}
	}
	return entries
}

// Crash ends a worker, and with it the other members of its gangs.
func (p *Pool) Crash(w *Worker) {
	if w.Dead {
		return
	}
	p.RecordEvent("%s crashes", w.Entry.ID)
	w.Dead = true
	for _, r := range w.sortedRuns() {
		p.crashes.under[r.task]++
		p.endGangMembers(r, plan.EndMemberEnded)
	}
}

// Problems returns the broken promises that were recorded.
func (p *Pool) Problems() []string {
	return p.problems
}

// Events returns the recorded events, for reports of failures.
func (p *Pool) Events() []string {
	return p.events
}

// RecordEvent records an event.
func (p *Pool) RecordEvent(format string, args ...any) {
	p.events = append(p.events, p.withTime(format, args...))
}

// RecordProblem records a broken promise.
func (p *Pool) RecordProblem(format string, args ...any) {
	p.problems = append(p.problems, p.withTime(format, args...))
}

// withTime formats a message with the time since New.
func (p *Pool) withTime(format string, args ...any) string {
	return p.clock.Now().Sub(p.startedAt).String() + ": " + fmt.Sprintf(format, args...)
}

// FirstStart returns when the first task of a job was started.
func (p *Pool) FirstStart(job string) (time.Time, bool) {
	at, ok := p.firstStart[job]
	return at, ok
}

// Starts returns how often a task was started.
func (p *Pool) Starts(t plan.TaskID) int {
	return p.starts[t]
}

// Failures returns how many failed runs of a task were acknowledged.
func (p *Pool) Failures(t plan.TaskID) int {
	return p.failures[t]
}

// IsDone reports whether a task has ended as done. A member of a gang is done if
// any member is.
func (p *Pool) IsDone(t plan.TaskID, step record.Step) bool {
	if !step.Gang {
		return p.done[t] > 0
	}
	for i := range step.Tasks {
		t.Index = i
		if p.done[t] > 0 {
			return true
		}
	}
	return false
}

// CheckCompleted records a problem for each task that is not done although its
// job is reported as completed.
func (p *Pool) CheckCompleted(id string) {
	job, ok := p.workload.Job(id)
	if !ok {
		p.RecordProblem("%s is reported as completed but was never submitted", id)
		return
	}
	for s, step := range job.Steps {
		for i := range step.Tasks {
			t := plan.TaskID{Job: id, Step: s, Index: i}
			if !p.IsDone(t, step) {
				p.RecordProblem("%s is reported as completed although %v is not done", id, t)
			}
		}
	}
}

// expireLeases ends the runs on workers whose lease has expired, and schedules
// the next check.
func (p *Pool) expireLeases() {
	now := p.clock.Now()
	for _, id := range p.IDs() {
		w := p.workers[id]
		if w.Dead || w.lease.After(p.clockOf(w)) {
			continue
		}
		w.leaseExpiredAt = now
		for _, r := range w.sortedRuns() {
			if w.runs[r.task] == r {
				p.end(w, r, plan.EndLeaseExpired)
			}
		}
	}
	p.clock.After(leaseCheckInterval, p.expireLeases)
}

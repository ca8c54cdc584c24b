// Package crew is a stand-in of the platform's workers: leases, fences, gangs,
// ends that are listed until they are acknowledged. It runs on any clock, keeps
// to what workers promise and notes every order that breaks a promise of ours.
package crew

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
	// GangWait is how long members wait for each other.
	GangWait = 3 * time.Second
	// lapsePause lies between two looks for leases that have run out.
	lapsePause = 20 * time.Millisecond
)

// Clock tells the time and calls back. Callbacks never overlap with each other
// or with calls to the crew.
type Clock interface {
	Now() time.Time
	After(delay time.Duration, do func())
}

// Jobs tells the crew what the tasks belong to.
type Jobs interface {
	Job(id string) (record.Job, bool)
	// MaxAttempts returns how many runs of a job's task may fail.
	MaxAttempts(job record.Job) int
	// Work returns how long a task takes on a sound worker.
	Work(task plan.TaskID) time.Duration
	// Fails reports whether a task ends by a failure at a worker.
	Fails(task plan.TaskID, worker string) bool
}

// Crew is all workers.
type Crew struct {
	clock   Clock
	jobs    Jobs
	origin  time.Time
	workers map[string]*Worker

	done        map[plan.TaskID]int
	noted       map[plan.TaskID]bool
	starts      map[plan.TaskID]int
	lastStart   map[plan.TaskID]time.Time
	failures    map[plan.TaskID]int
	lastFailure map[plan.TaskID]time.Time
	firstStart  map[string]time.Time
	problems    []string
	notes       []string
}

// New returns a crew without workers.
func New(clock Clock, jobs Jobs) *Crew {
	c := &Crew{
		clock:       clock,
		jobs:        jobs,
		origin:      clock.Now(),
		workers:     map[string]*Worker{},
		done:        map[plan.TaskID]int{},
		noted:       map[plan.TaskID]bool{},
		starts:      map[plan.TaskID]int{},
		lastStart:   map[plan.TaskID]time.Time{},
		failures:    map[plan.TaskID]int{},
		lastFailure: map[plan.TaskID]time.Time{},
		firstStart:  map[string]time.Time{},
	}
	c.lapse()
	return c
}

// Add puts a worker in, or starts a new life of one.
func (c *Crew) Add(entry plan.Worker) *Worker {
	w := &Worker{
		Entry:   entry,
		runs:    map[plan.TaskID]*run{},
		high:    map[plan.TaskID]int{},
		endedAt: map[int64]time.Time{},
	}
	c.workers[entry.ID] = w
	return w
}

// Worker returns a worker by its identifier.
func (c *Crew) Worker(id string) *Worker {
	return c.workers[id]
}

// IDs returns the identifiers of all workers in order.
func (c *Crew) IDs() []string {
	return slices.Sorted(maps.Keys(c.workers))
}

// Alive returns the entries of all workers that are not dead, in order.
func (c *Crew) Alive() []plan.Worker {
	var entries []plan.Worker
	for _, id := range c.IDs() {
		if w := c.workers[id]; !w.Dead {
			entries = append(entries, w.Entry)
		}
	}
	return entries
}

// Crash ends a worker. What its gangs' other members do ends too.
func (c *Crew) Crash(w *Worker) {
	if w.Dead {
		return
	}
	c.Note("%s crashes", w.Entry.ID)
	w.Dead = true
	for _, r := range w.sorted() {
		c.breakGang(r, plan.EndBroken)
	}
}

// Problems returns every promise that was broken.
func (c *Crew) Problems() []string {
	return c.problems
}

// Notes returns what happened, for the report of a failure.
func (c *Crew) Notes() []string {
	return c.notes
}

// Note keeps what happened.
func (c *Crew) Note(format string, args ...any) {
	c.notes = append(c.notes, c.stamp(format, args...))
}

// Problem notes a broken promise.
func (c *Crew) Problem(format string, args ...any) {
	c.problems = append(c.problems, c.stamp(format, args...))
}

func (c *Crew) stamp(format string, args ...any) string {
	return c.clock.Now().Sub(c.origin).String() + ": " + fmt.Sprintf(format, args...)
}

// FirstStart returns when the first task of a job was started.
func (c *Crew) FirstStart(job string) (time.Time, bool) {
	at, ok := c.firstStart[job]
	return at, ok
}

// Starts returns how often a task was started.
func (c *Crew) Starts(t plan.TaskID) int {
	return c.starts[t]
}

// Failures returns how many failed runs of a task were acknowledged.
func (c *Crew) Failures(t plan.TaskID) int {
	return c.failures[t]
}

// IsDone reports whether a task has ended well; one member of a gang stands for
// all.
func (c *Crew) IsDone(t plan.TaskID, step record.Step) bool {
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

// CheckCompleted notes a problem if a job is shown as completed too early.
func (c *Crew) CheckCompleted(id string) {
	job, ok := c.jobs.Job(id)
	if !ok {
		c.Problem("%s is shown as completed and was never submitted", id)
		return
	}
	for s, step := range job.Steps {
		for i := range step.Tasks {
			t := plan.TaskID{Job: id, Step: s, Index: i}
			if !c.IsDone(t, step) {
				c.Problem("%s is shown as completed while %v is not done", id, t)
			}
		}
	}
}

// lapse kills what runs on workers whose lease has run out.
func (c *Crew) lapse() {
	now := c.clock.Now()
	for _, id := range c.IDs() {
		w := c.workers[id]
		if w.Dead || w.lease.After(now) {
			continue
		}
		w.lapsedAt = now
		for _, r := range w.sorted() {
			if w.runs[r.task] == r {
				c.end(w, r, plan.EndLapsed)
			}
		}
	}
	c.clock.After(lapsePause, c.lapse)
}

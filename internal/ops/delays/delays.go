// Package delays tells from the logs of a leader why jobs ended late. It answers load
// under which jobs are late for several reasons at once: without the reason of each one,
// an operator cannot tell missing capacity from faults. It is called by 'explain-late'
// and knows only the events that docs/EVENTS.md lists.
package delays

import (
	"strings"
	"time"

	"github.com/rattanshore/rattanshore/internal/ops/logev"
)

// Cause is what took the largest part of a late job's time, apart from its last run.
type Cause string

// The causes.
const (
	// NotPlanned jobs were stored for long before a leader read them.
	NotPlanned Cause = "not-planned"
	// NoCapacity jobs waited for places, or for others to be stopped for them.
	NoCapacity Cause = "no-capacity"
	// SlowStart jobs had places that were stored or started late.
	SlowStart Cause = "slow-start"
	// TaskFailed, Stalled, SlowWorker, Preempted, WorkerLost and WorkerLeft jobs ran again,
	// since an attempt ended that way.
	TaskFailed Cause = "task-failed"
	Stalled    Cause = "stalled"
	SlowWorker Cause = "slow-worker"
	Preempted  Cause = "preempted"
	WorkerLost Cause = "worker-lost"
	WorkerLeft Cause = "worker-left"
	// Takeover jobs were not planned while the leader changed.
	Takeover Cause = "takeover"
	// LongRun jobs took longer than was expected, in a run that was not broken.
	LongRun Cause = "long-run"
)

// Line is a log line, of which only the fields that are needed are read.
type Line struct {
	Event      logev.Event `json:"event"`
	Time       time.Time   `json:"time"`
	Job        string      `json:"job"`
	Step       int         `json:"step"`
	Task       int         `json:"task"`
	Detail     string      `json:"detail"`
	Priority   int         `json:"priority"`
	Team       string      `json:"team"`
	AcceptedAt time.Time   `json:"accepted-at"`
	Due        time.Time   `json:"due"`
}

// Late is a job that ended after it was due.
type Late struct {
	Job      string
	Team     string
	Priority int
	Due, At  time.Time
	Cause    Cause
}

// maxGangs bounds the memory of a Reader: about 200 bytes for each gang.
const maxGangs = 500_000

// Reader follows the jobs of a log. Its lines have to be in the order of their times.
type Reader struct {
	jobs  map[string]*jobTrace
	gangs int
	// skipped counts the jobs that were not followed for want of memory.
	skipped int
}

// New returns a reader that follows no job yet.
func New() *Reader {
	return &Reader{jobs: map[string]*jobTrace{}}
}

// Skipped returns the number of jobs that were not followed, since too many gangs were
// under way.
func (r *Reader) Skipped() int { return r.skipped }

type gangKey struct{ step, task int }

// jobTrace is what a log has told of a job that has not ended.
type jobTrace struct {
	takenAt time.Time
	gangs   map[gangKey]*gangTrace
	// last is the gang that ended last, or else the one that was placed last.
	last *gangTrace
}

// gangTrace holds what a gang's time was spent on.
type gangTrace struct {
	since time.Time
	// waitsFor is the cause to which the time since then belongs.
	waitsFor Cause
	spent    map[Cause]time.Duration
}

// Add handles the next line. If it is the end of a job that was due, ended is set, and
// late is not nil if the job was late.
func (r *Reader) Add(l Line) (late *Late, ended bool) {
	if l.Job == "" {
		return nil, false
	}
	if l.Event == logev.JobEnded {
		return r.end(l)
	}
	j := r.jobs[l.Job]
	if l.Event == logev.JobTaken {
		r.taken(j, l)
		return nil, false
	}
	if j == nil {
		return nil, false
	}
	if g := r.gangOf(j, l); g != nil {
		g.add(l)
		j.last = g
	}
	return nil, false
}

// taken handles the line of a leader that has read a job. If it is not the first one,
// the time since the job's gangs were last heard of belongs to the takeover.
func (r *Reader) taken(j *jobTrace, l Line) {
	if j == nil {
		if r.gangs >= maxGangs {
			r.skipped++
			return
		}
		r.jobs[l.Job] = &jobTrace{takenAt: l.Time, gangs: map[gangKey]*gangTrace{}}
		return
	}
	for _, g := range j.gangs {
		if g.waitsFor != "" {
			g.spend(l.Time, Takeover)
		}
	}
}

// gangOf returns the gang that the line is about, nil if the line tells of no progress.
func (r *Reader) gangOf(j *jobTrace, l Line) *gangTrace {
	switch l.Event {
	case logev.GangPlaced, logev.GangStarted, logev.GangTaken, logev.GangBroken, logev.TaskEnded:
	default:
		return nil
	}
	key := gangKey{l.Step, l.Task}
	g := j.gangs[key]
	if g == nil {
		g = &gangTrace{since: j.takenAt, waitsFor: NoCapacity, spent: map[Cause]time.Duration{}}
		j.gangs[key] = g
		r.gangs++
	}
	return g
}

// add handles a line about the gang.
func (g *gangTrace) add(l Line) {
	switch l.Event {
	case logev.GangPlaced:
		g.spend(l.Time, g.waitsFor)
		g.waitsFor = SlowStart
	case logev.GangStarted, logev.GangTaken:
		g.spend(l.Time, g.waitsFor)
		g.waitsFor = LongRun
	case logev.GangBroken:
		cause := causeOf(l.Detail)
		g.spend(l.Time, cause)
		g.waitsFor = cause
	case logev.TaskEnded:
		g.since, g.waitsFor = l.Time, ""
	default:
	}
}

// spend counts the time since the gang was last heard of under the cause.
func (g *gangTrace) spend(now time.Time, cause Cause) {
	if cause != "" {
		g.spent[cause] += now.Sub(g.since)
	}
	g.since = now
}

// causeOf returns the cause that the detail of a broken gang tells.
func causeOf(detail string) Cause {
	for _, c := range []struct {
		prefix string
		cause  Cause
	}{
		{"failed at ", TaskFailed},
		{"no progress at ", Stalled},
		{"slow at ", SlowWorker},
		{"preempted for ", Preempted},
		{"its worker ", WorkerLeft},
	} {
		if strings.HasPrefix(detail, c.prefix) {
			return c.cause
		}
	}
	return WorkerLost
}

// end handles the end of a job. Lines of builds that do not log when a job was due, and
// jobs that did not complete, are left out.
func (r *Reader) end(l Line) (*Late, bool) {
	j := r.jobs[l.Job]
	delete(r.jobs, l.Job)
	if j != nil {
		r.gangs -= len(j.gangs)
	}
	if l.Due.IsZero() || !strings.HasPrefix(l.Detail, "completed") {
		return nil, false
	}
	if !l.Time.After(l.Due) {
		return nil, true
	}
	late := &Late{Job: l.Job, Team: l.Team, Priority: l.Priority, Due: l.Due, At: l.Time, Cause: LongRun}
	if j == nil {
		late.Cause = NotPlanned
		return late, true
	}
	late.Cause = j.largest(l.AcceptedAt, l.Time.Sub(l.Due))
	return late, true
}

// largest returns the cause that took most time. If all of them took less than the job
// was late by, its run was long.
func (j *jobTrace) largest(acceptedAt time.Time, lateBy time.Duration) Cause {
	spent := map[Cause]time.Duration{NotPlanned: j.takenAt.Sub(acceptedAt)}
	if j.last != nil {
		for cause, d := range j.last.spent {
			spent[cause] += d
		}
	}
	delete(spent, LongRun)
	largest, total := LongRun, time.Duration(0)
	for _, c := range Causes() {
		total += spent[c]
		if spent[c] > spent[largest] {
			largest = c
		}
	}
	if total < lateBy {
		return LongRun
	}
	return largest
}

// Causes returns all causes in the order in which they are reported.
func Causes() []Cause {
	return []Cause{
		NotPlanned, NoCapacity, SlowStart, TaskFailed, Stalled, SlowWorker, Preempted, WorkerLost, WorkerLeft, Takeover, LongRun,
	}
}

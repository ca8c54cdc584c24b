// Package trust judges workers by what they have done, not by what they report
// about themselves. It answers three patterns of load: many workers fail all that
// they start while they report themselves healthy, workers go away and come back
// by turns, and tasks fail by their own fault on sound workers. The planner adds
// events and asks for each worker's standing before each placement pass.
//
// The package reads no clock: every event has its time.
package trust

import (
	"slices"
	"time"
)

// Kind is what an event tells about a worker.
type Kind int

// The kinds of event.
const (
	// Succeeded means that a run ended as done.
	Succeeded Kind = iota + 1
	// Failed means that a run ended in failure, or made no progress.
	Failed
	// StartUnanswered means that a start got no answer.
	StartUnanswered
	// StartRefused means that the worker accepted no work although it is listed.
	StartRefused
	// Restarted means that a new incarnation of the worker was noticed.
	Restarted
	// Silent means that a poll got no answer.
	Silent
	// Unlisted means that the worker's entry was removed.
	Unlisted
	// Answered means that a poll was answered.
	Answered
)

// Event is something that a worker did.
type Event struct {
	Kind   Kind
	Worker string
	At     time.Time
	// Job is the job of the run that ended, and Tasks the number of tasks that ran
	// together with it.
	Job   string
	Tasks int
	// Began is when the run was sent to the worker.
	Began time.Time
}

// Class says which work a worker gets.
type Class int

// The classes of workers.
const (
	// Sound workers get all work.
	Sound Class = iota
	// OnTrial workers get one short task at a time until one has succeeded.
	OnTrial
	// Avoided workers get no work until a time.
	Avoided
)

// Standing is the judgement on a worker.
type Standing struct {
	Class Class
	// Until is when the avoidance of an avoided worker ends, or has ended for one
	// on trial.
	Until time.Time
	// Suspicion is above 0 while failures on the worker have not been followed by a
	// success. It orders workers by evidence.
	Suspicion float64
	// Proven is set if a run that began recently has succeeded, and during a wave of
	// failures, one that began in the wave.
	Proven bool
	// Wave is set while many workers fail.
	Wave bool
	// Stay is how long the worker stays between two departures, or 0 if it has not
	// left repeatedly.
	Stay time.Duration
	// LeavesAt is the announced end of the worker's stay, or zero.
	LeavesAt time.Time
}

const (
	// failureMemory is how long a failure counts if no success follows it.
	failureMemory = 10 * time.Second
	// forgetAfter is how long a worker without events is remembered.
	forgetAfter = time.Minute
	// maxFailures limits the failures that are remembered for one worker.
	maxFailures = 8
	// maxJobWorkers limits the workers that are remembered for one failing job.
	maxJobWorkers = 8
)

// failure is the newest failure of a job on a worker.
type failure struct {
	job       string
	tasks     int
	began, at time.Time
}

// history is what is remembered about one worker.
type history struct {
	// failures holds the failures, one for each job, that no success has followed.
	failures []failure
	// provenAt is when the newest run that has succeeded began.
	provenAt time.Time
	// avoidedAt is when the newest avoidance began, and avoidedUntil when it ends.
	// firstAvoidedAt is when the first one began since the worker was sound.
	firstAvoidedAt, avoidedAt, avoidedUntil time.Time
	// repeatFailures counts the failures of runs that began after an avoidance had begun.
	repeatFailures int
	suspicion      float64
	departures     []time.Time
	// away is set from a sign that the worker is away until it answers.
	away     bool
	leavesAt time.Time
	newest   time.Time
}

// Ledger holds what is remembered about all workers.
type Ledger struct {
	// pause is the length of the first avoidance of a worker.
	pause   time.Duration
	workers map[string]*history
	// jobs holds the workers on which each job has failed, with when.
	jobs map[string]map[string]time.Time
	wave wave
}

// New returns an empty ledger. The pause is the length of a worker's first
// avoidance; later ones are the longer, the longer the fault lasts.
func New(pause time.Duration) *Ledger {
	return &Ledger{pause: pause, workers: map[string]*history{}, jobs: map[string]map[string]time.Time{}, wave: newWave()}
}

// Add adds an event. Events come in the order of their times.
func (l *Ledger) Add(e Event) {
	if e.Kind == Answered {
		if h := l.workers[e.Worker]; h != nil {
			h.away = false
		}
		return
	}
	h := l.history(e.Worker)
	h.newest = e.At
	switch e.Kind {
	case Succeeded:
		l.wave.add(e)
		h.succeed(e.Began)
	case Failed:
		l.wave.add(e)
		l.addJobFailure(e)
		h.fail(e, l.pause)
	case StartUnanswered, StartRefused, Silent, Unlisted:
		h.depart(e.At)
		h.away = true
	case Restarted:
		h.depart(e.At)
	case Answered:
	}
}

// Announce records the announced end of a worker's stay; zero withdraws it.
func (l *Ledger) Announce(worker string, now, leavesAt time.Time) {
	h := l.history(worker)
	h.newest, h.leavesAt = now, leavesAt
}

func (l *Ledger) history(worker string) *history {
	h := l.workers[worker]
	if h == nil {
		h = &history{}
		l.workers[worker] = h
	}
	return h
}

func (l *Ledger) addJobFailure(e Event) {
	on := l.jobs[e.Job]
	if on == nil {
		on = map[string]time.Time{}
		l.jobs[e.Job] = on
	}
	if _, known := on[e.Worker]; known || len(on) < maxJobWorkers {
		on[e.Worker] = e.At
	}
}

// succeed ends the suspicion that comes from runs that began no later than one that
// has succeeded. A run that began before the failed ones tells nothing about them.
func (h *history) succeed(began time.Time) {
	if began.After(h.provenAt) {
		h.provenAt = began
	}
	h.failures = slices.DeleteFunc(h.failures, func(f failure) bool { return !f.began.After(began) })
	if len(h.failures) == 0 {
		h.clear()
	}
}

// fail adds a failure. The avoidance is extended only by runs that began after it,
// since others tell nothing new.
func (h *history) fail(e Event, pause time.Duration) {
	f := failure{job: e.Job, tasks: max(1, e.Tasks), began: e.Began, at: e.At}
	h.failures = slices.DeleteFunc(h.failures, func(o failure) bool { return o.job == f.job })
	if len(h.failures) == maxFailures {
		h.failures = slices.Delete(h.failures, 0, 1)
	}
	h.failures = append(h.failures, f)
	if !h.avoidedUntil.IsZero() && !e.Began.Before(h.avoidedAt) {
		h.repeatFailures++
		h.avoid(e.At, pause)
	}
}

const (
	// pauseShare is the length of a further avoidance as a share of how long the fault
	// has lasted. So trust comes back soon after a short fault, and a long one costs
	// few trials.
	pauseShare = 0.5
	// maxPause limits the length of one avoidance.
	maxPause = 30 * time.Second
)

func (h *history) avoid(now time.Time, pause time.Duration) {
	if h.firstAvoidedAt.IsZero() {
		h.firstAvoidedAt = now
	}
	lasted := now.Sub(h.firstAvoidedAt)
	h.avoidedAt = now
	h.avoidedUntil = now.Add(min(max(pause, time.Duration(pauseShare*float64(lasted))), maxPause))
}

// clear makes the worker sound.
func (h *history) clear() {
	h.failures = nil
	h.repeatFailures, h.suspicion = 0, 0
	h.firstAvoidedAt, h.avoidedAt, h.avoidedUntil = time.Time{}, time.Time{}, time.Time{}
}

// Len returns the number of workers and jobs that are remembered.
func (l *Ledger) Len() int {
	return len(l.workers) + len(l.jobs)
}

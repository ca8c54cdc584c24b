package trust

import (
	"math"
	"slices"
	"time"
)

const (
	// jobFault is the share of jobs that may fail by their own fault.
	jobFault = 0.05
	// badShare is the share of workers that may fail all they start outside of a
	// wave, and maxBadShare the largest that is assumed in one.
	badShare    = 0.01
	maxBadShare = 0.5
	// trialLimit is how long a worker is on trial at most. It may get no task that is
	// fit for a trial.
	trialLimit = 10 * time.Second
)

// Review updates the judgement on all workers. It has to be called before Standing.
func (l *Ledger) Review(now time.Time) {
	l.forget(now)
	l.wave.review(now)
	bad := l.wave.badShare()
	for _, h := range l.workers {
		if len(h.failures) == 0 && h.avoidedUntil.IsZero() {
			continue
		}
		l.review(now, h, bad)
	}
}

// review updates the judgement on one worker. It is avoided from when it is more
// likely bad than sound, until its trial succeeds or is given up.
func (l *Ledger) review(now time.Time, h *history, bad float64) {
	if !h.avoidedUntil.IsZero() {
		if !now.Before(h.avoidedUntil.Add(trialLimit)) {
			h.clear()
		}
		return
	}
	h.failures = slices.DeleteFunc(h.failures, func(f failure) bool { return now.Sub(f.at) >= failureMemory })
	h.suspicion = 0
	if len(h.failures) == 0 {
		return
	}
	odds := l.odds(h, bad)
	h.suspicion = odds
	if odds >= 1 {
		h.avoid(now, l.pause)
	}
}

// odds returns how much likelier it is that the worker is bad than that each of its
// failures is the fault of the job.
func (l *Ledger) odds(h *history, bad float64) float64 {
	odds := bad / (1 - bad)
	for _, f := range h.failures {
		odds /= faultOfJob(len(l.jobs[f.job]), f.tasks, bad)
	}
	return odds
}

// faultOfJob returns the probability that a job fails by its own fault, given that
// it has failed on a number of workers. The more of them, the likelier, unless its
// runs have so many tasks that each meets a bad worker.
func faultOfJob(workers, tasks int, bad float64) float64 {
	hit := 1 - math.Pow(1-bad, float64(tasks))
	others := math.Pow(hit, float64(max(0, workers-1)))
	return jobFault / (jobFault + (1-jobFault)*others)
}

// Standing returns the judgement on a worker as of the last review.
func (l *Ledger) Standing(now time.Time, worker string) Standing {
	s := Standing{Wave: l.wave.on}
	h := l.workers[worker]
	if h == nil {
		return s
	}
	s.Suspicion, s.LeavesAt = h.suspicion*math.Pow(1/jobFault, float64(h.repeatFailures)), h.leavesAt
	s.Proven = !h.provenAt.IsZero() && len(h.failures) == 0 && l.recent(now, h.provenAt)
	s.Stay = h.stay(now)
	switch {
	case h.avoidedUntil.IsZero():
	case now.Before(h.avoidedUntil):
		s.Class, s.Until = Avoided, h.avoidedUntil
	default:
		s.Class, s.Until = OnTrial, h.avoidedUntil
	}
	return s
}

// LastFailure returns when a run of the job last failed, as far as that is remembered.
func (l *Ledger) LastFailure(job string) time.Time {
	var newest time.Time
	for _, at := range l.jobs[job] {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// recent reports whether a run that began at the given time tells that its worker is
// sound now.
func (l *Ledger) recent(now, began time.Time) bool {
	if l.wave.on {
		return !began.Before(l.wave.since)
	}
	return now.Sub(began) < failureMemory
}

// forget removes what is too old to matter.
func (l *Ledger) forget(now time.Time) {
	for job, on := range l.jobs {
		for worker, at := range on {
			if now.Sub(at) >= failureMemory {
				delete(on, worker)
			}
		}
		if len(on) == 0 {
			delete(l.jobs, job)
		}
	}
	for worker, h := range l.workers {
		if now.Sub(h.newest) >= forgetAfter {
			delete(l.workers, worker)
		}
	}
}

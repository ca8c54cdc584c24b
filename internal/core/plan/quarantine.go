package plan

import (
	"time"
)

// countWorkerFailure counts a failure on a worker, and quarantines the worker
// after consecutive failures of different jobs.
func (m *Model) countWorkerFailure(now time.Time, w *worker, job string) {
	if w.lastFailedJob == job {
		return
	}
	w.lastFailedJob = job
	w.consecutiveFailures++
	if w.consecutiveFailures < failuresBeforeQuarantine {
		return
	}
	pause := min(m.timing.Quarantine<<min(w.quarantines, 3), maxQuarantine)
	w.quarantinedUntil = now.Add(pause)
	w.quarantines++
	m.reportDecision(WorkerQuarantined, nil, w, "consecutive tasks failed")
}

const (
	// failuresBeforeQuarantine is the number of consecutive failures, of
	// different jobs, after which a worker is quarantined.
	failuresBeforeQuarantine = 2
	// maxQuarantine limits the length of one quarantine.
	maxQuarantine = 30 * time.Second
)

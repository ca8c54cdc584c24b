package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
	"github.com/rattanshore/rattanshore/internal/core/trust"
)

// countWorkerFailure counts a failure on a worker, and quarantines the worker
// after consecutive failures of different jobs. Under the policy of worker risk the
// failure is noted instead, and the next review decides.
func (m *Model) countWorkerFailure(now time.Time, w *worker, job string) {
	if m.risk.ledger != nil {
		m.noteStalled(now, w, job)
		return
	}
	if w.lastFailedJob == job || m.policy.Without.Has(ablate.Quarantine) {
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
	// quickFailureShare is the share of its expected duration within which a run fails
	// quickly. Tasks that fail by themselves do so at any time, those on a broken worker
	// at once.
	quickFailureShare = 0.05
	// failuresBeforeQuarantine is the number of consecutive failures, of
	// different jobs, after which a worker is quarantined.
	failuresBeforeQuarantine = 2
	// maxQuarantine limits the length of one quarantine.
	maxQuarantine = 30 * time.Second
)

// noteQuickFailure quarantines a worker on which a run has failed quickly. If its job has
// failed so on another worker before, the job is the likely cause, and none is quarantined.
func (m *Model) noteQuickFailure(now time.Time, w *worker, r *run) {
	g := r.gang
	if m.risk.ledger != nil || m.policy.Without.Has(ablate.QuickFailures) || g == nil || r.inherited || r.confirmedAt.IsZero() {
		return
	}
	quick := time.Duration(quickFailureShare * float64(m.expectedDuration(g)))
	if now.Sub(r.sentAt) > quick {
		return
	}
	j := g.job
	if j.quickFailedOn != nil && j.quickFailedOn != w {
		j.quickFailedOn.quarantinedUntil = time.Time{}
		return
	}
	j.quickFailedOn = w
	w.consecutiveFailures = max(w.consecutiveFailures, failuresBeforeQuarantine-1)
}

// note adds an event of a worker to the ledger.
func (m *Model) note(now time.Time, w *worker, kind trust.Kind) {
	if m.risk.ledger != nil {
		m.risk.ledger.Add(trust.Event{Kind: kind, Worker: w.ID, At: now})
	}
}

// noteEnd notes the reported end of a run, if it tells about the worker. It is not
// known when the runs of earlier leaders began, so their success proves nothing.
func (m *Model) noteEnd(now time.Time, w *worker, r *run, end EndReport) {
	if m.risk.ledger == nil || end.Kind != EndDone && end.Kind != EndFailed {
		return
	}
	e := trust.Event{Kind: trust.Failed, Worker: w.ID, At: now, Job: end.Task.Job, Tasks: 1, Began: now}
	if r != nil {
		e.Began = r.sentAt
		if r.gang != nil {
			e.Tasks = r.gang.size
		}
	}
	if end.Kind == EndDone {
		if r == nil || r.inherited {
			return
		}
		e.Kind = trust.Succeeded
	}
	m.risk.add(e)
}

// noteStalled notes that the runs of a job make no progress on the worker. Failed runs
// are noted when their end is reported; they are no longer on the worker.
func (m *Model) noteStalled(now time.Time, w *worker, job string) {
	for _, r := range w.sortedRuns() {
		if r.task.Job == job && r.phase == running && r.progress.suspect() {
			m.risk.add(trust.Event{
				Kind: trust.Failed, Worker: w.ID, At: now, Job: job, Tasks: r.gang.size, Began: r.sentAt,
			})
			return
		}
	}
}

// notePoll notes the outcome of a poll.
func (m *Model) notePoll(now time.Time, w *worker, answered bool) {
	if answered {
		m.note(now, w, trust.Answered)
		return
	}
	m.note(now, w, trust.Silent)
}

// noteStart notes the outcome of a start that was not carried out as asked. A worker
// that has too little free capacity is no less trusted.
func (m *Model) noteStart(now time.Time, w *worker, outcome StartOutcome) {
	switch outcome {
	case Unanswered:
		m.note(now, w, trust.StartUnanswered)
	case Unhealthy, Invalid:
		m.note(now, w, trust.StartRefused)
	case Started, Fenced, Outdated, Expired, NoCapacity, Replaced:
	}
}

// noteEntry notes the announced end of a worker's stay, or that none is announced.
func (m *Model) noteEntry(now time.Time, w *worker, before bool) {
	if m.risk.ledger == nil || w.Draining == before {
		return
	}
	leavesAt := time.Time{}
	if w.Draining {
		leavesAt = w.drainEndsAt
	}
	m.risk.ledger.Announce(w.ID, now, leavesAt)
}

package plan

import (
	"cmp"
	"slices"
	"time"
)

// loseRun removes a run that is gone without a reported end, and aborts its
// gang's attempt.
func (m *Model) loseRun(now time.Time, r *run, reason string) {
	m.removeRun(r)
	if r.gang == nil {
		return
	}
	r.gang.lostAttempts = append(r.gang.lostAttempts, r.attempt)
	m.abortAttempt(now, r.gang, reason+" ("+r.worker.ID+")")
}

// removeRun removes a run from its worker and gang and frees its capacity.
func (m *Model) removeRun(r *run) {
	delete(r.worker.runs, r.task)
	if r.team != "" {
		m.teamLedger.End(r.team, r.need, r.phase == terminating)
	}
	if r.hadCrashes {
		r.hadCrashes = false
		r.worker.runsWithCrashes--
	}
	r.worker.recount()
	m.changed = true
	if r.gang == nil {
		return
	}
	for i, other := range r.gang.runs {
		if other == r {
			r.gang.runs = append(r.gang.runs[:i], r.gang.runs[i+1:]...)
			break
		}
	}
}

// abortAttempt stops the remaining runs of the gang's attempt. The gang waits
// again when none is left.
func (m *Model) abortAttempt(now time.Time, g *gang, reason string) {
	if g.phase == placed {
		m.observeCut(g)
		g.phase = stopping
		m.reportDecision(AttemptAborted, g, nil, reason)
	}
	m.stopRuns(now, g, nil)
	m.checkRunsGone(g)
}

// checkRunsGone handles a gang without runs: it is no longer active, and a gang
// that was being stopped is queued again.
func (m *Model) checkRunsGone(g *gang) {
	if len(g.runs) > 0 {
		return
	}
	if g.phase != reserved {
		m.active.Remove(g)
	}
	if g.phase == stopping {
		m.enqueue(g)
	}
}

// stopRuns stops the runs of the gang that match, or all if match is nil.
func (m *Model) stopRuns(now time.Time, g *gang, match func(*run) bool) {
	for _, r := range slices.Clone(g.runs) {
		if match == nil || match(r) {
			m.stopRun(now, r)
		}
	}
}

// stopRun stops a run, unless a stop is pending or was answered. A run whose
// place is still being stored was never started and is just removed.
func (m *Model) stopRun(now time.Time, r *run) {
	if r.phase == storing {
		m.removeRun(r)
		return
	}
	if r.phase == terminating && (r.callPending || now.Before(r.retryAt)) {
		return
	}
	if r.phase == terminating && !r.stopAnsweredAt.IsZero() {
		return
	}
	if r.phase != terminating && r.team != "" {
		m.teamLedger.Stop(r.team, r.need)
	}
	r.phase = terminating
	r.callPending = true
	r.clockAtStop = r.worker.leastClock(now)
	m.schedulePoll(now, r.worker)
	m.emit(StopCmd{Worker: r.worker.ID, Address: r.worker.Address, Task: r.task, Attempt: r.attempt, Epoch: m.epoch})
}

// handleStop handles the outcome of a StopCmd.
func (m *Model) handleStop(now time.Time, msg StopMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	r := w.runs[msg.Task]
	if r == nil || r.attempt != msg.Attempt {
		return
	}
	r.callPending = false
	switch {
	case msg.Fenced:
		m.emit(StepDownCmd{})
	case msg.Replaced && !w.replacedBefore(msg.SentAt):
		m.workerReplaced(now, w)
	case msg.Answered && !msg.Replaced:
		r.stopAnsweredAt = now
		r.stopRead = r.stopRead || !msg.Clock.Before(r.clockAtStop)
	default:
		r.retryAt = now.Add(stopRetry)
	}
}

// stopRetry is the pause after an unanswered stop.
const stopRetry = 200 * time.Millisecond

// expireGangs does what has become due for gangs.
func (m *Model) expireGangs(now time.Time) {
	for g := range m.active.All() {
		m.expireGang(now, g)
	}
	var recurring []*job
	for _, j := range m.jobs {
		if j.spec.Occurrences > 0 {
			recurring = append(recurring, j)
		}
	}
	slices.SortFunc(recurring, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	for _, j := range recurring {
		m.advance(now, j)
	}
}

// expireGang repeats unanswered start and stop requests and aborts attempts that
// cannot continue.
func (m *Model) expireGang(now time.Time, g *gang) {
	switch g.phase {
	case placed:
		if m.hasUnstartableRun(g) {
			m.abortAttempt(now, g, "a worker became unavailable before the start")
			return
		}
		m.startAwaitingEntries(now, g)
		m.retryStarts(now, g)
		if !g.allRunning() && !g.deadline.IsZero() && now.After(g.deadline) {
			m.failUnconfirmed(now, g)
			m.abortAttempt(now, g, "not all members started in time")
			return
		}
		m.checkProgress(now, g)
	case stopping, discarded, done:
		for _, r := range g.runs {
			if r.phase == terminating && !r.callPending && r.stopAnsweredAt.IsZero() && !now.Before(r.retryAt) {
				m.stopRun(now, r)
			}
		}
	case blocked, waiting, reserved:
	}
}

// retryStarts repeats unanswered starts to workers that are certain not to have
// restarted meanwhile: the next incarnation could carry out the repeated start.
func (m *Model) retryStarts(now time.Time, g *gang) {
	for _, r := range g.runs {
		if r.phase == starting && !r.callPending && r.worker.synced && !now.Before(r.retryAt) && r.sameIncarnation(now) {
			m.sendStart(now, r)
		}
	}
}

// failUnconfirmed records the starts of a gang that were not confirmed as failed.
func (m *Model) failUnconfirmed(now time.Time, g *gang) {
	for _, r := range g.runs {
		if r.phase == starting || r.phase == storing {
			m.startFailed(now, r.worker, firstRefusalPause)
		}
	}
}

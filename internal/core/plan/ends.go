package plan

import (
	"slices"
	"strconv"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// reconcile compares the runs that a worker reports with those it should have. While the
// worker has more ends than it lists, no run counts as missing.
func (m *Model) reconcile(now time.Time, w *worker, msg PollMsg) {
	reported := make(map[TaskID]RunReport, len(msg.Running))
	for _, report := range msg.Running {
		if other, ok := reported[report.Task]; !ok || other.Attempt < report.Attempt {
			reported[report.Task] = report
		}
	}
	for _, end := range msg.Ended {
		if end.Number <= w.seenEnd {
			continue
		}
		w.seenEnd = end.Number
		m.handleEnd(now, w, end)
	}
	for _, report := range msg.Running {
		m.updateRun(now, w, report, msg.Clock)
	}
	if !msg.MoreEnds {
		m.reconcileMissing(now, w, reported, msg.SentAt)
	}
	if w.seenEnd > w.storedEnd {
		m.write.acksDirty = true
	}
}

// reconcileMissing handles the runs that the worker should have and that were not among
// the reported ones when it was polled.
func (m *Model) reconcileMissing(now time.Time, w *worker, reported map[TaskID]RunReport, polledAt time.Time) {
	for _, r := range w.sortedRuns() {
		report, listed := reported[r.task]
		if listed && report.Attempt == r.attempt {
			continue
		}
		m.handleMissing(now, r, polledAt)
	}
}

// updateRun handles a run that the worker reports at the given time of its clock.
func (m *Model) updateRun(now time.Time, w *worker, report RunReport, clock time.Time) {
	r := w.runs[report.Task]
	if r == nil {
		m.stopUnknown(now, w, report)
		return
	}
	if r.attempt != report.Attempt {
		return
	}
	if r.gang == nil {
		m.stopRun(now, r)
		return
	}
	if report.Checkpoint != "" && r.phase != terminating {
		r.gang.checkpoint = report.Checkpoint
	}
	if !r.incarnationEnded {
		r.incarnation, r.onNextIncarnation = w.StartedAt, false
	}
	r.progress.report(report.Percent, clock)
	m.measurePace(now, r)
	m.confirmRun(now, r)
}

// stopUnknown stops a run that belongs to no known attempt. Every place is stored
// before its start is sent, so such a run is left over from a job or a gang that
// has ended. What it needs counts until it is gone.
func (m *Model) stopUnknown(now time.Time, w *worker, report RunReport) {
	r := &run{task: report.Task, attempt: report.Attempt, worker: w, phase: running, sentAt: now, confirmedAt: now}
	if g := m.gangOf(nil, report.Task); g != nil {
		r.team, r.need = g.job.spec.Team, g.need()
	} else if team, need, known := m.leftoverNeed(report.Task); known {
		r.team, r.need = team, need
	} else {
		r.needUnknown = true
	}
	m.addRun(r)
	m.stopRun(now, r)
}

// handleMissing handles a run that its worker should have and does not report. A run
// that an earlier leader placed can no longer begin there, since the worker has answered
// a poll under this epoch.
func (m *Model) handleMissing(now time.Time, r *run, polledAt time.Time) {
	switch r.phase {
	case storing, starting:
	case recovering:
		m.loseMissing(now, r, "the worker does not have the run")
	case running:
		if r.confirmedAt.Before(polledAt) {
			m.loseMissing(now, r, "the worker no longer has the run")
		}
	case terminating:
		answered := !r.stopAnsweredAt.IsZero() && r.stopAnsweredAt.Before(polledAt)
		switch {
		case answered || r.inherited && r.confirmedAt.IsZero():
			m.loseMissing(now, r, "stopped")
		case r.gang == nil:
			m.stopRun(now, r)
		}
	}
}

// handleEnd handles the reported end of a run.
func (m *Model) handleEnd(now time.Time, w *worker, end EndReport) {
	r := w.runs[end.Task]
	if r != nil && r.attempt != end.Attempt {
		r = nil
	}
	g := m.gangOf(r, end.Task)
	m.noteEnd(now, w, r, end)
	if r != nil && g != nil && g.phase == placed && end.Kind == EndDone {
		m.measureSpeed(now, g)
		m.observeDone(now, g)
	}
	if r != nil && end.Kind == EndFailed {
		m.noteQuickFailure(now, w, r)
	}
	if r != nil {
		m.removeRun(r)
	}
	switch {
	case g == nil:
	case g.phase == discarded, g.phase == done:
		m.checkRunsGone(g)
	case r != nil, end.Attempt >= g.attempt, g.phase == waiting, g.phase == blocked:
		m.currentAttemptEnded(now, g, w, end)
	default:
		m.earlierAttemptEnded(now, g, w, end)
	}
}

// gangOf returns the gang of a run, or that of the task if no run is known.
func (m *Model) gangOf(r *run, t TaskID) *gang {
	if r != nil {
		return r.gang
	}
	if j, ok := m.jobs[t.Job]; ok {
		return j.gang(t.Occurrence, t.Step, t.Index)
	}
	return nil
}

// currentAttemptEnded handles the end of a gang's current attempt.
func (m *Model) currentAttemptEnded(now time.Time, g *gang, w *worker, end EndReport) {
	if end.Checkpoint != "" && end.Attempt >= g.attempt {
		g.checkpoint = end.Checkpoint
		m.markDirty(now, g)
	}
	switch end.Kind {
	case EndDone:
		w.consecutiveFailures = 0
		w.quarantines = 0
		if !m.policy.Without.Has(ablate.MeanRunTimes) {
			m.estimator.observeEnd(now, g)
		}
		m.gangDone(now, g, end.Attempt)
	case EndFailed:
		m.runFailed(now, g, w, end.Attempt)
	case EndStopped, EndLeaseExpired, EndMemberEnded, EndGangIncomplete:
		m.abortAttempt(now, g, endText(end.Kind)+" at "+w.ID)
	}
}

// earlierAttemptEnded handles the end of an attempt before the current one. A
// success completes the gang, and the current attempt is stopped. A failure
// counts only if it was not recorded before and its run had not been given up.
func (m *Model) earlierAttemptEnded(now time.Time, g *gang, w *worker, end EndReport) {
	switch end.Kind {
	case EndDone:
		m.gangDone(now, g, end.Attempt)
	case EndFailed:
		if !slices.Contains(g.lostAttempts, end.Attempt) {
			m.countFailure(now, g, w, end.Attempt)
		}
	case EndStopped, EndLeaseExpired, EndMemberEnded, EndGangIncomplete:
	}
}

// endText describes the end of a run that neither succeeded nor failed.
func endText(kind EndKind) string {
	switch kind {
	case EndStopped:
		return "stopped"
	case EndLeaseExpired:
		return "lease expired"
	case EndMemberEnded:
		return "another member of the gang ended"
	case EndGangIncomplete:
		return "gang members did not start in time"
	case EndDone, EndFailed:
	}
	return "ended"
}

// gangDone handles the successful end of an attempt.
func (m *Model) gangDone(now time.Time, g *gang, attempt int) {
	if g.spec().Perpetual {
		m.abortAttempt(now, g, "perpetual task ended")
		return
	}
	switch g.phase {
	case waiting:
		m.dequeue(g)
	case reserved:
		m.unreserve(g)
	case blocked, placed, stopping, done, discarded:
	}
	g.phase = done
	m.stopRuns(now, g, func(r *run) bool { return r.attempt != attempt })
	m.checkRunsGone(g)
	g.job.unfinished[stepKey{g.occurrence, g.step}]--
	m.markDirty(now, g)
	m.reportDecision(GangDone, g, nil, "done")
	m.advance(now, g.job)
}

// runFailed handles the failed end of an attempt.
func (m *Model) runFailed(now time.Time, g *gang, w *worker, attempt int) {
	if m.countFailure(now, g, w, attempt) {
		m.abortAttempt(now, g, "failed at "+w.ID)
	}
}

// maxFailuresKept is the number of failed attempts that are remembered of a perpetual
// task, which may fail any number of times: the newest ones, so that the end of one that is
// reported again does not count twice.
const maxFailuresKept = 20

// countFailure counts a failed attempt once. It reports whether the job
// continues.
func (m *Model) countFailure(now time.Time, g *gang, w *worker, attempt int) bool {
	m.countWorkerFailure(now, w, g.job.spec.ID)
	if slices.Contains(g.failedAttempts, attempt) {
		return true
	}
	g.failedAttempts = append(g.failedAttempts, attempt)
	if extra := len(g.failedAttempts) - maxFailuresKept; extra > 0 && g.spec().Perpetual {
		g.failedAttempts = slices.Delete(g.failedAttempts, 0, extra)
	}
	if g.failedOn == nil {
		g.failedOn = map[string]time.Time{}
	}
	g.failedOn[w.ID] = now
	limit := g.job.queue.MaxAttempts
	if limit > 0 && len(g.failedAttempts) >= limit && !g.spec().Perpetual {
		m.endJob(now, g.job, record.Failed, strconv.Itoa(len(g.failedAttempts))+" attempts failed")
		return false
	}
	m.markDirty(now, g)
	return true
}

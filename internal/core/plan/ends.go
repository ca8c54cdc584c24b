package plan

import (
	"slices"
	"strconv"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// reconcile compares what a worker says it has with what it should have.
func (m *Model) reconcile(now time.Time, w *worker, msg LookMsg) {
	running := make(map[TaskID]RunReport, len(msg.Running))
	for _, report := range msg.Running {
		if other, ok := running[report.Task]; !ok || other.Attempt < report.Attempt {
			running[report.Task] = report
		}
	}
	for _, end := range msg.Ended {
		if end.Number <= w.seen {
			continue
		}
		w.seen = end.Number
		m.runEnded(now, w, end)
	}
	for _, report := range msg.Running {
		m.runListed(now, w, report)
	}
	for _, r := range w.sorted() {
		report, listed := running[r.task]
		if listed && report.Attempt == r.attempt {
			continue
		}
		m.runMissing(now, r, msg.SentAt)
	}
	if w.seen > w.durable {
		m.write.ackChanged = true
	}
}

// runListed takes in a run that the worker has.
func (m *Model) runListed(now time.Time, w *worker, report RunReport) {
	r := w.runs[report.Task]
	if r == nil {
		m.stray(now, w, report)
		return
	}
	if r.attempt != report.Attempt {
		return
	}
	if r.gang != nil && report.Checkpoint != "" && r.phase != ending {
		r.gang.checkpoint = report.Checkpoint
	}
	if report.Percent != r.percent {
		r.percent = report.Percent
		r.percentAt = now
	}
	m.measurePace(now, r)
	m.confirm(now, r)
}

// stray stops a run that belongs to no gang: every start is stored before it is
// sent, so it is left over from a job that has ended.
func (m *Model) stray(now time.Time, w *worker, report RunReport) {
	r := &run{task: report.Task, attempt: report.Attempt, worker: w, phase: working, sentAt: now, confirmedAt: now}
	m.hold(r)
	m.stopRun(now, r)
}

// runMissing takes in that the worker does not have a run that it should.
func (m *Model) runMissing(now time.Time, r *run, lookedAt time.Time) {
	switch r.phase {
	case recording, sending:
	case recovering:
		m.dropRun(now, r, "its worker does not have it")
	case working:
		if r.confirmedAt.Before(lookedAt) {
			m.dropRun(now, r, "its worker no longer has it")
		}
	case ending:
		if !r.stoppedAt.IsZero() && r.stoppedAt.Before(lookedAt) {
			m.dropRun(now, r, "stopped")
		}
	}
}

// runEnded takes in the end of a run.
func (m *Model) runEnded(now time.Time, w *worker, end EndReport) {
	r := w.runs[end.Task]
	if r != nil && r.attempt != end.Attempt {
		r = nil
	}
	g := m.gangOf(r, end.Task)
	if r != nil && g != nil && g.phase == placed && end.Kind == EndDone {
		m.measureSpeed(now, g)
	}
	if r != nil {
		m.release(r)
	}
	switch {
	case g == nil:
	case g.phase == dead, g.phase == done:
		m.afterRelease(g)
	case r != nil, end.Attempt >= g.attempt, g.phase == waiting, g.phase == blocked:
		m.attemptEnded(now, g, w, end)
	default:
		m.earlierEnded(now, g, w, end)
	}
}

// gangOf returns the gang of a run, or of a task of which no run is known.
func (m *Model) gangOf(r *run, t TaskID) *gang {
	if r != nil {
		return r.gang
	}
	if j, ok := m.jobs[t.Job]; ok {
		return j.gang(t.Occurrence, t.Step, t.Index)
	}
	return nil
}

// attemptEnded takes in the end of a gang's newest attempt.
func (m *Model) attemptEnded(now time.Time, g *gang, w *worker, end EndReport) {
	if end.Checkpoint != "" && end.Attempt >= g.attempt {
		g.checkpoint = end.Checkpoint
		m.record(now, g.job, soon)
	}
	switch end.Kind {
	case EndDone:
		w.failures = 0
		w.benches = 0
		m.learn.ended(now, g)
		m.gangDone(now, g, end.Attempt)
	case EndFailed:
		m.runFailed(now, g, w, end.Attempt)
	case EndStopped, EndLapsed, EndBroken, EndAlone:
		m.breakUp(now, g, endText(end.Kind)+" at "+w.ID)
	}
}

// earlierEnded takes in the end of an attempt before the present one. What is
// done is done, and the present attempt is called off. A failure tells something
// new only if it was never stored, and does not count if the run had been given
// up.
func (m *Model) earlierEnded(now time.Time, g *gang, w *worker, end EndReport) {
	switch end.Kind {
	case EndDone:
		m.gangDone(now, g, end.Attempt)
	case EndFailed:
		if !slices.Contains(g.lost, end.Attempt) {
			m.countFailure(now, g, w, end.Attempt)
		}
	case EndStopped, EndLapsed, EndBroken, EndAlone:
	}
}

func endText(kind EndKind) string {
	switch kind {
	case EndStopped:
		return "stopped"
	case EndLapsed:
		return "lease ran out"
	case EndBroken:
		return "another member ended"
	case EndAlone:
		return "members did not come together"
	case EndDone, EndFailed:
	}
	return "ended"
}

// gangDone takes in that an attempt of the gang has ended well.
func (m *Model) gangDone(now time.Time, g *gang, attempt int) {
	if g.spec().Perpetual {
		m.breakUp(now, g, "ended and has to last")
		return
	}
	switch g.phase {
	case waiting:
		m.dequeue(g)
	case reserved:
		m.unreserve(g)
	case blocked, placed, stopping, done, dead:
	}
	g.phase = done
	m.stopRuns(now, g, func(r *run) bool { return r.attempt != attempt })
	m.afterRelease(g)
	g.job.open[stepKey{g.occurrence, g.step}]--
	m.record(now, g.job, soon)
	m.decide(Ended, g, nil, "done")
	m.advance(now, g.job)
}

func (m *Model) runFailed(now time.Time, g *gang, w *worker, attempt int) {
	if m.countFailure(now, g, w, attempt) {
		m.breakUp(now, g, "failed at "+w.ID)
	}
}

// countFailure counts a failed attempt once. It reports whether the job goes
// on.
func (m *Model) countFailure(now time.Time, g *gang, w *worker, attempt int) bool {
	m.benched(now, w, g.job.spec.ID)
	if slices.Contains(g.failed, attempt) {
		return true
	}
	g.failed = append(g.failed, attempt)
	if g.failedOn == nil {
		g.failedOn = map[string]bool{}
	}
	g.failedOn[w.ID] = true
	limit := g.job.queue.MaxAttempts
	if limit > 0 && len(g.failed) >= limit && !g.spec().Perpetual {
		m.endJob(now, g.job, record.Failed, strconv.Itoa(len(g.failed))+" attempts failed")
		return false
	}
	m.record(now, g.job, soon)
	return true
}

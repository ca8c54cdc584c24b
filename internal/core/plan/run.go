package plan

import (
	"slices"
	"strconv"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// runPhase is where a run stands.
type runPhase int

const (
	// recording runs are being stored; nothing was sent yet.
	recording runPhase = iota
	// sending runs have been ordered and not confirmed.
	sending
	// recovering runs were recorded by an earlier leader; their worker has not
	// said yet whether it has them.
	recovering
	// working runs were confirmed by their worker.
	working
	// ending runs have been told to stop.
	ending
)

// run is one attempt of a task at a worker. It is kept until its worker has
// said that it is gone, or its lease has surely run out.
type run struct {
	task    TaskID
	attempt int
	// gang is nil while the job of the run is not known here.
	gang   *gang
	worker *worker
	need   record.Amount

	phase       runPhase
	sentAt      time.Time
	confirmedAt time.Time
	// nextTry is when an unanswered order is sent again.
	nextTry time.Time
	calling bool
	// open is set once an order to start had no answer: it may have been
	// carried out, or may still be.
	open     bool
	stopSent bool
	// stoppedAt is when a stop was answered.
	stoppedAt time.Time

	percent   int
	percentAt time.Time
	// rate is the percent per second since the gang was whole. pace is the
	// newest measurement against peers or estimates, the latter made since
	// paceFrom, when the percent was pacePercent.
	rate        float64
	pace        float64
	paceFrom    time.Time
	pacePercent int
}

// place gives a gang its runs and has them stored. They are started once they
// are, so that a successor knows where to look for them.
func (m *Model) place(now time.Time, g *gang, places []*worker) {
	g.phase = placed
	g.attempt++
	g.job.attempt = max(g.job.attempt, g.attempt)
	g.startedAt = now
	g.together = time.Time{}
	g.resumed = g.checkpoint != ""
	g.away = isAway(g, places)
	g.deadline = time.Time{}
	g.places = nil
	m.active.Add(g)
	if !g.job.started {
		g.job.started = true
		g.job.state = record.Running
		m.write.waitingChanged = true
	}
	for i, w := range places {
		m.hold(&run{
			task:    TaskID{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.step, Index: g.first + i},
			attempt: g.attempt, gang: g, worker: w, need: g.need(), sentAt: now,
		})
	}
	m.record(now, g.job, atOnce)
	m.decide(Placed, g, places[0], placeText(places))
}

// start sends the starts of a gang whose places are stored.
func (m *Model) start(now time.Time, g *gang) {
	if g.phase != placed {
		return
	}
	for _, r := range g.runs {
		if r.phase == recording {
			r.phase = sending
			r.sentAt = now
			m.sendStart(now, r)
		}
	}
	g.deadline = now.Add(m.timing.GangWait)
}

// isAway reports whether places are away from the gang's data or spread over
// racks though it should lie in one.
func isAway(g *gang, places []*worker) bool {
	s := g.spec()
	for _, w := range places {
		if s.NearRack != "" && w.Rack != s.NearRack || s.SameRack && w.Rack != places[0].Rack {
			return true
		}
	}
	return false
}

func placeText(places []*worker) string {
	text := ""
	for i, w := range places {
		if i > 0 {
			text += " "
		}
		text += w.ID
	}
	return text
}

// hold takes the run's room at its worker.
func (m *Model) hold(r *run) {
	r.worker.runs[r.task] = r
	r.worker.recount()
	if r.gang != nil {
		r.gang.runs = append(r.gang.runs, r)
		m.active.Add(r.gang)
	}
}

func (m *Model) sendStart(now time.Time, r *run) {
	w := r.worker
	lease := w.leaseUntil
	if !r.open {
		lease = m.leaseFor(now, w)
		w.leaseUntil = later(w.leaseUntil, lease)
	}
	r.calling = true
	w.asked(now)
	m.emit(StartCmd{
		Worker:     w.ID,
		Address:    w.Address,
		Task:       r.task,
		Attempt:    r.attempt,
		Payload:    r.gang.job.spec.Payload,
		LeaseUntil: lease,
		Epoch:      m.epoch,
		Checkpoint: r.gang.checkpoint,
	})
}

func (m *Model) startEnded(now time.Time, msg StartMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	w.heardClock(now, msg.Clock)
	r := w.runs[msg.Task]
	if r == nil || r.attempt != msg.Attempt {
		return
	}
	r.calling = false
	if r.phase == ending {
		m.endingStartEnded(now, r, msg)
		return
	}
	switch msg.Outcome {
	case Started:
		w.answered()
		m.confirm(now, r)
	case Unanswered:
		r.open = true
		r.nextTry = now.Add(m.timing.StartRetry)
	case Fenced:
		m.emit(DeposedCmd{})
	case Replaced:
		m.replaced(now, w)
	case Outdated:
		r.gang.attempt += attemptSkip
		m.rejectedStart(now, r, "a later attempt has ended there")
	case NoRoom:
		w.avoidTill = later(w.avoidTill, now.Add(noRoomPause))
		m.rejectedStart(now, r, "no room")
	case Unhealthy:
		w.avoidTill = later(w.avoidTill, now.Add(unhealthyPause))
		m.rejectedStart(now, r, "the worker takes no work")
	case Expired, Invalid:
		w.avoidTill = later(w.avoidTill, now.Add(noRoomPause))
		m.rejectedStart(now, r, "the order was refused")
	}
}

const (
	// noRoomPause is how long a worker that had less room than thought gets
	// nothing more.
	noRoomPause = 300 * time.Millisecond
	// unhealthyPause is the same for a worker that takes no work.
	unhealthyPause = time.Second
	// attemptSkip leaves attempts out that another leader may have used.
	attemptSkip = 4
)

// endingStartEnded takes the late answer to a start whose run is to stop.
func (m *Model) endingStartEnded(now time.Time, r *run, msg StartMsg) {
	switch msg.Outcome {
	case NoRoom, Unhealthy, Expired, Invalid, Outdated, Started, Unanswered:
		m.stopRun(now, r)
	case Fenced:
		m.emit(DeposedCmd{})
	case Replaced:
		m.replaced(now, r.worker)
	}
}

// rejectedStart ends the attempt of a gang of which a start was refused. The
// run is dropped if it is certain that no earlier order can start it.
func (m *Model) rejectedStart(now time.Time, r *run, reason string) {
	g := r.gang
	if !r.open {
		m.release(r)
	}
	m.breakUp(now, g, "start at "+r.worker.ID+" refused: "+reason)
}

// confirm takes in that the worker has the run.
func (m *Model) confirm(now time.Time, r *run) {
	if r.phase != sending && r.phase != recovering {
		return
	}
	kind := Running
	if r.phase == recovering {
		kind = Adopted
	}
	r.phase = working
	r.confirmedAt = now
	r.percentAt = now
	m.lookSoon(now, r.worker)
	g := r.gang
	if !g.whole() || !g.together.IsZero() {
		return
	}
	g.together = now
	m.decide(kind, g, r.worker, "")
	if kind == Running && !g.job.atWork {
		g.job.atWork = true
		m.emit(DecisionCmd{
			Kind: JobStarted, Job: g.job.spec.ID, Attempt: g.attempt, Worker: r.worker.ID, Domain: r.worker.Domain,
			Delay: now.Sub(g.job.spec.SubmittedAt), Detail: g.job.spec.Queue, ConfigVersion: m.config.Version,
		})
	}
}

// whole reports whether all members of the gang are at work.
func (g *gang) whole() bool {
	if len(g.runs) < g.size {
		return false
	}
	for _, r := range g.runs {
		if r.phase != working {
			return false
		}
	}
	return true
}

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
	var g *gang
	switch {
	case r != nil:
		g = r.gang
		m.release(r)
	default:
		if j, ok := m.jobs[end.Task.Job]; ok {
			g = j.gang(end.Task.Occurrence, end.Task.Step, end.Task.Index)
		}
	}
	if g == nil || g.phase == dead || g.phase == done {
		if g != nil {
			m.afterRelease(now, g)
		}
		return
	}
	current := r != nil || end.Attempt >= g.attempt || g.phase == waiting || g.phase == blocked
	if !current {
		m.earlierEnded(now, g, w, end)
		return
	}
	if end.Checkpoint != "" && end.Attempt >= g.attempt {
		g.checkpoint = end.Checkpoint
		m.record(now, g.job, soon)
	}
	switch end.Kind {
	case EndDone:
		w.failures = 0
		w.benches = 0
		m.learn.ended(now, g)
		m.gangDone(now, g)
	case EndFailed:
		m.runFailed(now, g, w, end.Attempt)
	case EndStopped, EndLapsed, EndBroken, EndAlone:
		m.breakUp(now, g, endText(end.Kind)+" at "+w.ID)
	}
}

// earlierEnded takes in the end of an attempt before the present one. It tells
// something new only if it was never stored, and does not count if the run had
// been given up.
func (m *Model) earlierEnded(now time.Time, g *gang, w *worker, end EndReport) {
	if end.Kind != EndFailed || slices.Contains(g.lost, end.Attempt) {
		return
	}
	m.countFailure(now, g, w, end.Attempt)
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

func (m *Model) gangDone(now time.Time, g *gang) {
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
	m.stopRuns(now, g, func(r *run) bool { return r.attempt != g.attempt })
	m.afterRelease(now, g)
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

// dropRun takes in that a run is gone without an end of its own.
func (m *Model) dropRun(now time.Time, r *run, reason string) {
	m.release(r)
	if r.gang == nil {
		return
	}
	r.gang.lost = append(r.gang.lost, r.attempt)
	m.breakUp(now, r.gang, reason+" ("+r.worker.ID+")")
}

// release gives the run's room back.
func (m *Model) release(r *run) {
	delete(r.worker.runs, r.task)
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

// breakUp ends the gang's attempt: what is left of it is stopped, and it waits
// again when nothing is left.
func (m *Model) breakUp(now time.Time, g *gang, reason string) {
	if g.phase == placed {
		g.phase = stopping
		m.decide(Broken, g, nil, reason)
	}
	m.stopRuns(now, g, nil)
	m.afterRelease(now, g)
}

// afterRelease lets a gang without runs go on.
func (m *Model) afterRelease(now time.Time, g *gang) {
	if len(g.runs) > 0 {
		return
	}
	if g.phase != reserved {
		m.active.Remove(g)
	}
	if g.phase == stopping {
		m.enqueue(g)
	}
	_ = now
}

// stopRuns tells all runs of the gang to stop, or those that which names.
func (m *Model) stopRuns(now time.Time, g *gang, which func(*run) bool) {
	for _, r := range slices.Clone(g.runs) {
		if which == nil || which(r) {
			m.stopRun(now, r)
		}
	}
}

func (m *Model) stopRun(now time.Time, r *run) {
	if r.phase == recording {
		m.release(r)
		return
	}
	if r.phase == ending && (r.calling || now.Before(r.nextTry)) {
		return
	}
	if r.phase == ending && !r.stoppedAt.IsZero() {
		return
	}
	r.phase = ending
	r.calling = true
	m.lookSoon(now, r.worker)
	m.emit(StopCmd{Worker: r.worker.ID, Address: r.worker.Address, Task: r.task, Attempt: r.attempt, Epoch: m.epoch})
}

func (m *Model) stopEnded(now time.Time, msg StopMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	r := w.runs[msg.Task]
	if r == nil || r.attempt != msg.Attempt {
		return
	}
	r.calling = false
	switch {
	case msg.Fenced:
		m.emit(DeposedCmd{})
	case msg.Replaced:
		m.replaced(now, w)
	case msg.Answered:
		r.stoppedAt = now
	default:
		r.nextTry = now.Add(stopRetry)
	}
}

// stopRetry is the pause after a stop without an answer.
const stopRetry = 200 * time.Millisecond

// expireGangs does what is due for gangs because time has passed.
func (m *Model) expireGangs(now time.Time) {
	for g := range m.active.All() {
		m.expireGang(now, g)
	}
	for _, j := range m.jobs {
		if j.spec.Occurrences > 0 {
			m.advance(now, j)
		}
	}
}

func (m *Model) expireGang(now time.Time, g *gang) {
	switch g.phase {
	case placed:
		m.retryStarts(now, g)
		if !g.whole() && !g.deadline.IsZero() && now.After(g.deadline) {
			m.suspectSilent(now, g)
			m.breakUp(now, g, "not all members started in time")
			return
		}
		m.checkProgress(now, g)
	case stopping, dead, done:
		for _, r := range g.runs {
			if r.phase == ending && !r.calling && r.stoppedAt.IsZero() && !now.Before(r.nextTry) {
				m.stopRun(now, r)
			}
		}
	case blocked, waiting, reserved:
	}
}

func (m *Model) retryStarts(now time.Time, g *gang) {
	for _, r := range g.runs {
		if r.phase == sending && !r.calling && r.worker.heard && !now.Before(r.nextTry) {
			m.sendStart(now, r)
		}
	}
}

// suspectSilent keeps new work off workers that did not confirm a start.
func (m *Model) suspectSilent(now time.Time, g *gang) {
	for _, r := range g.runs {
		if r.phase == sending {
			r.worker.avoidTill = later(r.worker.avoidTill, now.Add(m.timing.Silence))
		}
	}
}

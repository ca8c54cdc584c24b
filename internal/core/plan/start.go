package plan

import "time"

// sendStart asks the worker of a run to start it. A repeated request does not extend the
// worker's lease.
func (m *Model) sendStart(now time.Time, r *run) {
	w := r.worker
	lease := w.leaseUntil
	if !r.mayHaveStarted {
		lease = m.leaseFor(now, w)
		w.leaseUntil = later(w.leaseUntil, lease)
	}
	r.callPending = true
	r.startSentAt = now
	r.clockAtStart = w.leastClock(now)
	r.startOpen = true
	w.callSent(now)
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

// handleStart handles the outcome of a StartCmd.
func (m *Model) handleStart(now time.Time, msg StartMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	if msg.Outcome == Replaced && w.replacedBefore(msg.SentAt) {
		msg.Outcome = Unanswered
	}
	m.noteOutcome(now, w, msg.Outcome)
	r := w.runs[msg.Task]
	if r == nil || r.attempt != msg.Attempt {
		return
	}
	r.startAnswered(now, msg)
	m.noteStart(now, w, msg.Outcome)
	if r.phase == terminating {
		m.handleLateStart(now, r, msg)
		return
	}
	switch msg.Outcome {
	case Started:
		m.confirmRun(now, r)
	case Unanswered:
		r.unansweredStarts++
		r.retryAt = now.Add(backoff{m.timing.StartRetry, longestStartRetry}.pause(w.ID, r.unansweredStarts))
		m.schedulePoll(now, w)
	case Fenced:
		m.emit(StepDownCmd{})
	case Replaced:
		m.workerReplaced(now, w)
	case Outdated:
		m.startOutdated(now, r)
	case NoCapacity:
		m.startRejected(now, r, "not enough free capacity")
	case Unhealthy:
		m.startRejected(now, r, "the worker accepts no work")
	case Expired, Invalid:
		m.startRejected(now, r, "the worker could not accept the request")
	}
}

// startOutdated handles a start whose attempt, or a later one, has ended on the worker
// before. The number may have been used by an unanswered start of this leader, whose end is
// still to be reported.
func (m *Model) startOutdated(now time.Time, r *run) {
	g := r.gang
	m.startRejected(now, r, "the worker has already ended this or a later attempt")
	if !r.mayHaveStarted {
		g.attempt += attemptSkip
	}
}

// noteOutcome records what the outcome of a start tells about its worker, whatever has
// become of the run: whether it is in touch, and whether it may get further starts. A
// worker that has other runs or another clock than known is polled.
func (m *Model) noteOutcome(now time.Time, w *worker, outcome StartOutcome) {
	switch outcome {
	case Unanswered, Fenced, Replaced:
		return
	case Started:
		w.starts.succeed()
	case NoCapacity, Expired, Outdated:
		m.startFailed(now, w, firstDoubtPause)
		w.doubted = true
		m.schedulePoll(now, w)
	case Unhealthy, Invalid:
		m.startFailed(now, w, firstRefusalPause)
	}
	if outcome == Started || w.unansweredPolls == 0 {
		// A worker that refuses starts and polls alike renews no lease.
		m.callAnswered(now, w)
	}
}

// startAnswered records what the outcome of a start tells about the run and its
// worker's clock. The clock is not taken from an incarnation of which no list or poll
// has told yet, so that its later answers are recognized, too.
func (r *run) startAnswered(now time.Time, msg StartMsg) {
	r.callPending = false
	if msg.Outcome == Unanswered {
		r.mayHaveStarted = true
	}
	r.startOpen = r.mayHaveStarted
	if !msg.Clock.IsZero() && msg.Clock.Before(r.clockAtStart) {
		r.onNextIncarnation = true
		return
	}
	r.worker.updateClock(now, msg.Clock)
}

const (
	// attemptSkip skips attempt numbers that another leader may have used.
	attemptSkip = 4
	// longestStartRetry is the longest pause before an unanswered start is repeated.
	longestStartRetry = 400 * time.Millisecond
)

// handleLateStart handles the late answer to the start of a run that is being
// stopped.
func (m *Model) handleLateStart(now time.Time, r *run, msg StartMsg) {
	if msg.Outcome == Started && r.confirmedAt.IsZero() {
		// A crash of the worker counts under the run until it has read the stop.
		r.confirmedAt = now
	}
	switch msg.Outcome {
	case NoCapacity, Unhealthy, Expired, Invalid, Outdated, Started, Unanswered:
		m.stopRun(now, r)
	case Fenced:
		m.emit(StepDownCmd{})
	case Replaced:
		m.workerReplaced(now, r.worker)
	}
}

// startRejected aborts the attempt of a gang after a worker refused a start.
// The run is removed only if no earlier start request can still start it.
func (m *Model) startRejected(now time.Time, r *run, reason string) {
	g := r.gang
	if !r.mayHaveStarted {
		m.removeRun(r)
	}
	m.abortAttempt(now, g, "start at "+r.worker.ID+" refused: "+reason)
}

package plan

import (
	"time"
)

// schedulePoll makes the worker's next poll due as soon as the pending one
// ends.
func (m *Model) schedulePoll(now time.Time, w *worker) {
	w.nextPoll = earlier(w.nextPoll, now)
	m.pollSoon = append(m.pollSoon, w)
}

// poll polls the worker.
func (m *Model) poll(now time.Time, w *worker) {
	cmd := PollCmd{Worker: w.ID, Address: w.Address, Epoch: m.epoch, Acknowledged: m.acknowledge(now, w)}
	inTouch := w.unansweredSince.IsZero() && w.unansweredPolls == 0
	if len(w.runs) > 0 && w.synced && inTouch && !w.withheld.inForce {
		// A worker with an unanswered call gets no lease extension, so that its
		// runs are certain to be over at some time.
		cmd.LeaseUntil = m.leaseFor(now, w)
		w.leaseUntil = later(w.leaseUntil, cmd.LeaseUntil)
		cmd.Wait = m.pollWait(w)
	}
	if w.seenEnd > w.storedEnd {
		cmd.Wait = 0
	}
	w.pollPending = true
	w.callSent(now)
	m.emit(cmd)
}

// ackWindow is how soon after a worker's last answer its ends may be
// acknowledged.
const ackWindow = 500 * time.Millisecond

// acknowledge returns the number of the last end that the worker may forget. A
// worker that has not answered recently may have restarted, and its new ends
// would be forgotten unseen. It is first polled without an acknowledgement.
func (m *Model) acknowledge(now time.Time, w *worker) int64 {
	if !w.synced || !w.unansweredSince.IsZero() || now.Sub(w.pollAnsweredAt) > ackWindow {
		return 0
	}
	return w.storedEnd
}

// handlePoll handles the outcome of a poll.
func (m *Model) handlePoll(now time.Time, msg PollMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	w.pollPending = false
	switch {
	case msg.Fenced:
		m.emit(StepDownCmd{})
		return
	case msg.Replaced && !w.replacedBefore(msg.SentAt):
		m.workerReplaced(now, w)
		return
	}
	m.notePoll(now, w, msg.Answered)
	switch {
	case !msg.Answered, !msg.StartedAt.IsZero() && msg.StartedAt.Before(w.StartedAt):
		m.pollUnanswered(now, w)
		return
	}
	w.nextPoll = now
	if w.withheld.inForce {
		// The next poll renews the lease once the roster is stored.
		w.nextPoll = now.Add(m.timing.PollRetry)
	}
	m.endWithholding(w)
	m.pollSoon = append(m.pollSoon, w)
	m.callAnswered(now, w)
	w.unansweredPolls = 0
	w.pollAnsweredAt = now
	w.polledAt = msg.SentAt
	w.doubted = false
	known := !w.StartedAt.IsZero()
	if m.noticeRestart(now, w, msg.StartedAt) {
		w.StartedAt = msg.StartedAt
		if known {
			w.clearCapacity()
		}
		m.endEarlierRuns(now, w)
	}
	m.countLost(now, w)
	w.settleLost()
	w.updateClock(now, msg.Clock)
	if !w.synced {
		w.synced = true
		m.changed = true
	}
	w.ackedEnd = max(w.ackedEnd, min(msg.Acknowledged, w.seenEnd))
	m.reconcile(now, w, msg)
	m.startAwaiting(now, w)
	if w.seenEnd > w.storedEnd && w.storedEnd <= w.ackedEnd {
		// The next poll is sent as soon as these ends are stored. Earlier ends that are
		// stored are acknowledged at once, while it is certain which incarnation has them.
		w.nextPoll = now.Add(m.timing.PollWait)
	}
}

// expireWorkers gives up the runs of workers whose lease has certainly expired,
// and reports and withholds silent workers.
func (m *Model) expireWorkers(now time.Time) {
	forgotten := false
	for _, w := range m.sortedWorkers {
		m.reportSilence(now, w)
		m.withholdSilent(now, w)
		if !w.leaseOver(now) {
			continue
		}
		for _, r := range w.sortedRuns() {
			// A run that is still being stored was never sent.
			if r.phase != storing {
				m.watchLost(now, r)
				m.loseRun(now, r, "the lease has expired")
			}
		}
		if m.loaded && !w.listed && len(w.runs) == 0 && !now.Before(w.watchUntil) {
			m.forget(w)
			forgotten = true
		}
	}
	if forgotten {
		m.sortWorkers()
	}
}

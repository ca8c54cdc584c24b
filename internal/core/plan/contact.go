package plan

import (
	"slices"
	"strconv"
	"time"
)

const (
	// longestProbePause is the longest pause between two probes of a worker. A probe takes
	// about as long until it counts as unanswered, and a worker that is back has to be used
	// within seconds.
	longestProbePause = time.Second
	// longestRenewalPause is the longest pause before the next poll of a worker whose runs
	// need their lease renewed. Some workers refuse polls at once.
	longestRenewalPause = 500 * time.Millisecond
	// maxProbes is how many probes may wait for an answer at a time, however many workers
	// are out of touch.
	maxProbes = 64
)

// outOfTouch reports whether the worker has not answered since a call to it was sent, or
// since it was withheld.
func (w *worker) outOfTouch() bool {
	return !w.unansweredSince.IsZero() || w.withheld.wanted
}

// outOfTouchFor reports whether the worker has left a call unanswered for longer than the
// given time.
func (w *worker) outOfTouchFor(now time.Time, limit time.Duration) bool {
	return !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) > limit
}

// needsPoll reports whether a poll of the worker has a purpose: it has runs, or ends to
// acknowledge, or is not synced yet, or what is known of it is in doubt, or nothing but its
// answer lets it get work again.
func (m *Model) needsPoll(now time.Time, w *worker) bool {
	switch {
	case !w.synced && (w.listed || now.Before(w.inheritedUntil)):
		return true
	case len(w.runs) > 0, w.storedEnd > w.ackedEnd, now.Before(w.watchUntil):
		return true
	default:
		return w.listed && (w.outOfTouch() || w.doubted)
	}
}

// probing reports whether polls of the worker are probes: it has left the last one
// unanswered, and has no runs whose leases depend on the next one.
func (w *worker) probing() bool {
	return w.unansweredPolls > 0 && len(w.runs) == 0
}

// pollDue polls all workers whose poll is due. Of the probes among these polls, those that
// have been due for longest are sent, and no more than maxProbes are under way.
func (m *Model) pollDue(now time.Time) {
	if !m.loaded {
		return
	}
	var probes []*worker
	pending := 0
	for _, w := range m.sortedWorkers {
		switch {
		case w.probing() && w.pollPending:
			pending++
		case !m.pollIsDue(now, w):
		case w.probing():
			probes = append(probes, w)
		default:
			m.poll(now, w)
		}
	}
	slices.SortStableFunc(probes, func(a, b *worker) int { return a.nextPoll.Compare(b.nextPoll) })
	for _, w := range probes[:min(len(probes), max(0, maxProbes-pending))] {
		m.poll(now, w)
	}
}

// pollIsDue reports whether the worker is to be polled now.
func (m *Model) pollIsDue(now time.Time, w *worker) bool {
	return !w.pollPending && !now.Before(w.nextPoll) && w.Address.IsValid() && m.needsPoll(now, w)
}

// pollSoonest polls the workers that an event has made due. Probes wait for the next tick.
func (m *Model) pollSoonest(now time.Time) {
	for _, w := range m.pollSoon {
		if m.loaded && !w.probing() && m.pollIsDue(now, w) {
			m.poll(now, w)
		}
	}
	m.pollSoon = m.pollSoon[:0]
}

// pollUnanswered schedules the poll after an unanswered one.
func (m *Model) pollUnanswered(now time.Time, w *worker) {
	w.unansweredPolls++
	longest := longestProbePause
	if len(w.runs) > 0 {
		longest = longestRenewalPause
	}
	w.nextPoll = now.Add(backoff{m.timing.PollRetry, longest}.pause(w.ID, w.unansweredPolls))
}

// callSent records that a call was sent.
func (w *worker) callSent(now time.Time) {
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
}

// callAnswered records that a call was answered. The next call then tells whether the
// worker is out of touch again.
func (m *Model) callAnswered(now time.Time, w *worker) {
	if w.reportedSilent {
		m.changed = true
		length := now.Sub(w.unansweredSince).Round(time.Millisecond)
		m.reportDecision(WorkerBack, nil, w, "after "+length.String()+", "+strconv.Itoa(w.unansweredPolls)+" polls unanswered")
	}
	w.reportedSilent = false
	w.unansweredSince = time.Time{}
}

// reportSilence reports that a worker gets no work since it does not answer, once until it
// does.
func (m *Model) reportSilence(now time.Time, w *worker) {
	if w.reportedSilent || !w.outOfTouchFor(now, m.timing.SilenceLimit) {
		return
	}
	w.reportedSilent = true
	m.reportDecision(WorkerLost, nil, w, "does not answer")
}

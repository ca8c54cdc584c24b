package plan

import "time"

const (
	// firstDoubtPause is the first pause after a start that exceeded the free capacity of a
	// worker, or came too late there: what it has is known after the next poll.
	firstDoubtPause = 300 * time.Millisecond
	// firstRefusalPause is the first pause after a start that the worker did not accept,
	// or did not confirm until its gang was given up.
	firstRefusalPause = time.Second
	// longestStartPause is the longest pause of both kinds. A worker that accepts starts
	// again has to be used within seconds.
	longestStartPause = 2 * time.Second
)

// breaker is the circuit breaker on the starts at a worker. It opens, for a pause that
// grows, with each start in a row that fails. Then it is half open: one gang at a time
// tries the worker until a start succeeds.
type breaker struct {
	failures  int
	openUntil time.Time
}

// open reports whether the worker gets no starts.
func (b *breaker) open(now time.Time) bool {
	return now.Before(b.openUntil)
}

// fail records that a start has failed. Those that were under way when the breaker opened
// do not count again. It reports whether the breaker has opened.
func (b *breaker) fail(now time.Time, worker string, first time.Duration) bool {
	if b.open(now) {
		return false
	}
	b.failures++
	b.openUntil = now.Add(backoff{first, longestStartPause}.pause(worker, b.failures))
	return true
}

// startFailed records that a start at the worker has failed, and reports the first one.
func (m *Model) startFailed(now time.Time, w *worker, first time.Duration) {
	if w.starts.fail(now, w.ID, first) && w.starts.failures == 1 {
		m.reportDecision(WorkerRefusing, nil, w, "until "+w.starts.openUntil.UTC().Format(time.RFC3339Nano))
	}
}

// succeed records that a start has succeeded, which closes the breaker.
func (b *breaker) succeed() {
	*b = breaker{}
}

// hasTrialStart reports whether a gang tries the worker, so that no other one may.
func (w *worker) hasTrialStart() bool {
	if w.starts.failures == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.phase == storing || r.phase == starting {
			return true
		}
	}
	return false
}

package plan

import (
	"strconv"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
)

const (
	// minStallTimeout and maxStallTimeout bound the time for which a stalled run has
	// reported the same percent. Between them it is the time that stalledWork of the
	// task takes.
	minStallTimeout = 400 * time.Millisecond
	maxStallTimeout = time.Second
	// stalledWork is a share of a task's work, large enough that a worker of a quarter of
	// the usual speed still shows progress within it.
	stalledWork = 0.16
	// stallConfirm is the least time, within that, between two reports without
	// progress. The first of them may come from a worker that was paused itself.
	stallConfirm = 250 * time.Millisecond
	// stallShare is the share of a task's longest likely duration to which both times
	// are extended, since long tasks take long for each percent.
	stallShare = 0.04
	// suspectPollWait is how long a worker may delay the answer to a poll while one
	// of its runs reports no progress.
	suspectPollWait = 200 * time.Millisecond
	// urgentPollWait is the same while urgent gangs run on it.
	urgentPollWait = 250 * time.Millisecond
	// retryPollWait is the same while a start there has to be repeated or a run is being
	// stopped, of which the worker may know nothing.
	retryPollWait = 100 * time.Millisecond
)

// progress is what the reports on a run say about its progress. Times are of the
// worker's clock, so that late answers and a paused leader do not count.
type progress struct {
	percent int
	// since is when the percent was first reported, unchangedAt when it was first
	// reported again, and reportedAt when it was last reported.
	since, unchangedAt, reportedAt time.Time
}

// report adds a report on the run.
func (p *progress) report(percent int, clock time.Time) {
	switch {
	case percent != p.percent || p.since.IsZero():
		*p = progress{percent: percent, since: clock}
	case p.unchangedAt.IsZero():
		p.unchangedAt = clock
	}
	p.reportedAt = clock
}

// restart forgets the reports before the run, or its gang, was complete.
func (p *progress) restart() {
	*p = progress{percent: p.percent}
}

// suspect reports whether the last report showed no progress. A run that has done
// its part waits for the others of its gang.
func (p *progress) suspect() bool {
	return p.percent < donePercent && !p.unchangedAt.IsZero()
}

// stalled reports whether the run has made no progress for the timeout, and in
// the last part of it, of length confirm, while its worker was certainly at work.
func (p *progress) stalled(timeout, confirm time.Duration) bool {
	return p.suspect() && p.reportedAt.Sub(p.since) >= timeout && p.reportedAt.Sub(p.unchangedAt) >= confirm
}

// checkProgress aborts an attempt that makes no progress, or that is better run
// on other workers.
func (m *Model) checkProgress(now time.Time, g *gang) {
	if !g.allRunning() || g.spec().Perpetual {
		return
	}
	if m.leaveDraining(now, g) || m.leaveSlow(now, g) || m.policy.Without.Has(ablate.Stalls) {
		return
	}
	byDuration := time.Duration(stallShare * float64(m.attemptDuration(g, stallQuantile)))
	timeout, confirm := max(m.stallTimeout(g), byDuration), max(stallConfirm, byDuration)
	if g.resumed {
		timeout += m.timing.Restore
	}
	reason := ""
	for _, r := range g.runs {
		if !r.progress.stalled(timeout, confirm) {
			continue
		}
		m.countWorkerFailure(now, r.worker, g.job.spec.ID)
		r.worker.quarantinedUntil = later(r.worker.quarantinedUntil, now.Add(m.timing.Quarantine))
		shown := r.progress.reportedAt.Sub(r.progress.since)
		reason = "no progress at " + r.worker.ID + ", " + strconv.Itoa(r.progress.percent) + "% for " + shown.String()
	}
	if reason != "" {
		m.abortAttempt(now, g, reason)
	}
}

// stallTimeout returns how long a run of the gang may report the same percent.
func (m *Model) stallTimeout(g *gang) time.Duration {
	timeout := time.Duration(stalledWork * float64(m.expectedAttemptDuration(g)))
	return max(minStallTimeout, min(timeout, maxStallTimeout))
}

// pollWait returns how long the worker may delay the answer to a poll.
func (m *Model) pollWait(w *worker) time.Duration {
	wait := m.timing.PollWait
	for _, r := range w.runs {
		switch {
		case r.awaitsAnswer():
			return 0
		case r.phase == terminating, r.phase == starting && r.mayHaveStarted:
			wait = min(wait, retryPollWait)
		case r.gang == nil || r.phase != running:
		case r.progress.suspect():
			wait = min(wait, suspectPollWait)
		case r.gang.job.queue.Priority == 0:
			wait = min(wait, urgentPollWait)
		}
	}
	return wait
}

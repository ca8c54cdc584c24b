package plan

import (
	"fmt"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// crashesToBlame is the number of crashes that a task is to blame for from which on
	// it is given up, and crashesToGiveUp the number from which on it is given up in any
	// case if two are proven or none is doubtful.
	crashesToBlame  = 2
	crashesToGiveUp = 3
	// mostDoubt is how many crashes more it takes at most if some are neither proven nor
	// likely. A task may be started twice after the third crash under it.
	mostDoubt = 2
	// quickCrash is how soon after its start a task crashes its worker. Crashes of
	// workers that were seen up for longer with the task are not counted under it.
	quickCrash = 5 * time.Second
	// leastDowntime is the least time for which a crashed worker is away. So a start that
	// was sent less than this before the worker's return was not read before the crash.
	leastDowntime = time.Second
	// freshAnswer is how old the answer of a worker may be that shows that it was up
	// when a start was sent.
	freshAnswer = 100 * time.Millisecond
	// leastDurationShare is the least share of its expected duration that a task takes.
	leastDurationShare = 0.5
	// isolationWait is how long a gang with crashes waits for workers that run nothing of
	// another job.
	isolationWait = 3 * time.Second
	// isolationAfterStart is how long a task under which workers have crashed has to
	// run before tasks of other jobs are placed beside it.
	isolationAfterStart = 2 * time.Second
	// lossWait is how long a gang waits for the return of silent workers that may have
	// crashed under a task, and maxOpenLosses the number of crashes and such losses from
	// which on it waits.
	lossWait      = 10 * time.Second
	maxOpenLosses = 3
)

// noticeRestart handles a possibly newer incarnation of the worker. It reports
// whether it is one.
func (m *Model) noticeRestart(now time.Time, w *worker, startedAt time.Time) bool {
	if !startedAt.After(w.StartedAt) {
		return false
	}
	m.countCrashes(now, w, startedAt)
	if !w.StartedAt.IsZero() {
		m.workerRestarted(now, w)
	}
	return true
}

// countCrashes counts the crash of a worker for the runs that it had. startedAt is
// when its next incarnation started, or zero if another worker answers in its place.
// Runs of an earlier leader that nobody has reported yet may be those of the next
// incarnation and are judged by its first report.
func (m *Model) countCrashes(now time.Time, w *worker, startedAt time.Time) {
	for _, r := range w.sortedRuns() {
		if startedAt.IsZero() || r.placedBefore(startedAt) && r.phase != recovering {
			m.countCrash(now, r)
		}
	}
	for _, l := range w.lost {
		if !l.settled && m.live(l.gang) && !w.Draining {
			m.addCrash(now, l.gang, w, record.Crash{Index: l.task.Index, Attempt: l.attempt})
		}
	}
	w.settleLost()
}

// placedBefore reports whether the run was placed on an incarnation of its worker
// before the one that started at the given time. Rows record milliseconds.
func (r *run) placedBefore(startedAt time.Time) bool {
	return !r.onNextIncarnation && !r.incarnation.IsZero() && r.incarnation.UnixMilli() < startedAt.UnixMilli()
}

// live reports whether the gang's job may still need it.
func (m *Model) live(g *gang) bool {
	return m.jobs[g.job.spec.ID] == g.job && g.phase != done && g.phase != discarded
}

// countCrash counts the crash of the run's worker, unless the worker cannot have had
// the run, was seen up long after it had started it, or may have left in order.
func (m *Model) countCrash(now time.Time, r *run) {
	w := r.worker
	if r.gang == nil || r.incarnationEnded || !m.live(r.gang) || !r.mayHaveBeenRead(now) {
		return
	}
	if w.Draining || r.wasConfirmed() && w.pollAnsweredAt.Sub(r.confirmedAt) >= quickCrash {
		return
	}
	c := record.Crash{Index: r.task.Index, Attempt: r.attempt, Proven: m.ranAtCrash(now, r)}
	c.Likely = !c.Proven && (r.wasConfirmed() || r.wasLikelyRead())
	c.Blamed = c.Proven && r.alone()
	m.addCrash(now, r.gang, w, c)
}

// mayHaveBeenRead reports whether the incarnation of the worker that has ended may
// have had the run.
func (r *run) mayHaveBeenRead(now time.Time) bool {
	switch {
	case r.phase == storing:
		return false
	case r.inherited, !r.confirmedAt.IsZero():
		return true
	default:
		return r.startOpen && now.Sub(r.sentAt) >= leastDowntime
	}
}

// sameIncarnation reports whether the worker cannot have restarted since the newest
// start was sent: it has answered a poll that was sent later, or a poll so recently
// that its next incarnation could not be up yet.
func (r *run) sameIncarnation(now time.Time) bool {
	w := r.worker
	return w.polledAt.After(r.startSentAt) || now.Sub(w.pollAnsweredAt) < leastDowntime
}

// wasConfirmed reports whether the worker has confirmed the run and has not been told
// to stop it.
func (r *run) wasConfirmed() bool {
	return !r.confirmedAt.IsZero() && !r.stopRead
}

// ranAtCrash reports whether the worker had the run when it crashed: it had confirmed
// it, and the run cannot have ended unnoticed before.
func (m *Model) ranAtCrash(now time.Time, r *run) bool {
	leastDuration := time.Duration(leastDurationShare * float64(m.expectedAttemptDuration(r.gang)))
	return r.wasConfirmed() && now.Add(-leastDowntime).Before(r.sentAt.Add(leastDuration))
}

// wasLikelyRead reports whether the worker has not confirmed the run, but answered
// just before the start was sent and never after that.
func (r *run) wasLikelyRead() bool {
	w := r.worker
	silent := r.confirmedAt.IsZero() && !r.stopRead && !w.polledAt.After(r.sentAt)
	return silent && !r.inherited && r.sentAt.Sub(w.pollAnsweredAt) <= freshAnswer
}

// alone reports whether the worker has no other run.
func (r *run) alone() bool {
	for _, o := range r.worker.runs {
		if o != r && o.phase != storing {
			return false
		}
	}
	return true
}

// addCrash counts a crash under a task of the gang, once for each attempt, and gives
// the job up if there are too many.
func (m *Model) addCrash(now time.Time, g *gang, w *worker, c record.Crash) {
	for _, known := range g.crashes {
		if known.Index == c.Index && known.Attempt == c.Attempt {
			return
		}
	}
	g.crashes = append(g.crashes, c)
	g.isolateUntil = now.Add(isolationWait)
	tally := g.tallyCrashes(c.Index)
	m.reportDecision(CrashCounted, g, w, fmt.Sprintf("task %d proven %v likely %v blamed %v, %d crashes, %d proven",
		c.Index, c.Proven, c.Likely, c.Blamed, tally.all, tally.proven))
	if tally.hopeless() {
		m.endJob(now, g.job, record.Failed, fmt.Sprintf("%d workers crashed under task %d", tally.all, c.Index))
		return
	}
	m.markTaskDirty(now, g, c.Index)
}

// crashTally counts the crashes under one task.
type crashTally struct{ all, proven, likely, blamed int }

func (g *gang) tallyCrashes(index int) crashTally {
	var t crashTally
	for _, c := range g.crashes {
		if c.Index != index {
			continue
		}
		t.all++
		if c.Proven {
			t.proven++
		}
		if c.Likely {
			t.likely++
		}
		if c.Blamed {
			t.blamed++
		}
	}
	return t
}

// hopeless reports whether the task is to be given up. Crashes that are not proven
// count less, since a job may be given up only if two workers crashed under a task.
func (t crashTally) hopeless() bool {
	if t.blamed >= crashesToBlame {
		return true
	}
	if t.proven >= crashesToBlame {
		return t.all >= crashesToGiveUp
	}
	doubtful := t.all - t.proven - t.likely
	return t.all >= crashesToGiveUp+min(doubtful, mostDoubt)
}

// endEarlierRuns ends the runs that were placed on earlier incarnations of the
// worker. They are stopped there, since a late start may have reached the new one.
func (m *Model) endEarlierRuns(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.gang == nil || r.incarnationEnded || r.phase == recovering || !r.placedBefore(w.StartedAt) {
			continue
		}
		r.incarnationEnded = true
		r.stopAnsweredAt = time.Time{}
		m.abortAttempt(now, r.gang, "the worker has restarted ("+w.ID+")")
	}
}

// loseMissing removes a run that its worker does not have. If an earlier leader placed
// it on an earlier incarnation of the worker, or it was on one that is not known, that
// one has crashed under it.
func (m *Model) loseMissing(now time.Time, r *run, reason string) {
	if r.onNextIncarnation || r.inherited && r.placedBefore(r.worker.StartedAt) {
		m.countCrash(now, r)
	}
	m.loseRun(now, r, reason)
}

// isolated reports whether the gang is kept apart from the work on the worker: because
// workers have crashed under its own tasks, or under those of a gang there that has
// not run for long since. Urgent tasks and tasks without an end are not kept from any
// worker: they would wait for too long.
func isolated(now time.Time, g *gang, w *worker) bool {
	if len(g.crashes) == 0 && w.runsWithCrashes == 0 || g.job.queue.Priority == 0 || g.spec().Perpetual {
		return false
	}
	waits := len(g.crashes) > 0 && now.Before(g.isolateUntil)
	if waits && w.reserved != (record.Amount{}) {
		return true
	}
	for _, r := range w.runs {
		if r.gang != nil && r.gang.job == g.job {
			continue
		}
		if waits || r.hadCrashes && (r.phase != running || now.Sub(r.confirmedAt) < isolationAfterStart) {
			return true
		}
	}
	return false
}

// awaitAnswers reports whether the start of a gang with crashes has to wait until its
// workers answer. If one crashes then, it is known that it was up before the start.
func (m *Model) awaitAnswers(now time.Time, g *gang) bool {
	if len(g.crashes) == 0 {
		return false
	}
	waits := false
	for _, r := range g.runs {
		if r.phase == storing && now.Sub(r.worker.pollAnsweredAt) > freshAnswer {
			m.schedulePoll(now, r.worker)
			waits = true
		}
	}
	if waits && g.deadline.IsZero() {
		g.deadline = now.Add(m.timing.GangWait)
	}
	return waits
}

// awaitsAnswer reports whether the run's start waits for an answer of its worker.
func (r *run) awaitsAnswer() bool {
	return r.phase == storing && r.hadCrashes && r.gang.storedAttempt == r.attempt
}

// startAwaiting starts the gangs whose start has waited for the worker's answer.
func (m *Model) startAwaiting(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if w.runs[r.task] == r && r.awaitsAnswer() {
			m.startRuns(now, r.gang)
		}
	}
}

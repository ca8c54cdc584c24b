package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// loss is a run that was given up because its worker was silent: the worker may have
// crashed, or may only have been cut off.
type loss struct {
	gang    *gang
	task    TaskID
	attempt int
	// incarnation is when the incarnation of the worker started that had the run; zero if
	// that is not known.
	incarnation time.Time
	worker      string
	// until is when the gang stops waiting for the return of the worker.
	until time.Time
	// settled is set once it is known what became of the worker.
	settled bool
}

// watchLost remembers a run that is given up because its worker is silent, so that
// the worker's crash is counted if it comes back soon.
func (m *Model) watchLost(now time.Time, r *run) {
	if r.gang == nil || r.incarnationEnded || !m.live(r.gang) || !r.mayHaveBeenRead(now) {
		return
	}
	until := m.runsOver(r.worker).Add(lossWait)
	l := &loss{gang: r.gang, task: r.task, attempt: r.attempt, incarnation: r.incarnation, worker: r.worker.ID, until: until}
	r.gang.unsettled = append(slices.DeleteFunc(r.gang.unsettled, func(l *loss) bool { return l.settled }), l)
	r.worker.lost = append(r.worker.lost, l)
	r.worker.watchUntil = l.until
}

// settleLost ends the watch on the worker's lost runs: it is known what became of it.
func (w *worker) settleLost() {
	for _, l := range w.lost {
		l.settled = true
	}
	w.lost = nil
	w.watchUntil = time.Time{}
}

// awaitsLost reports whether the gang waits to learn whether lost workers have
// crashed, since it could otherwise be started too often.
func (g *gang) awaitsLost(now time.Time) bool {
	open := map[int]int{}
	for _, l := range g.unsettled {
		if !l.settled && now.Before(l.until) {
			open[l.task.Index]++
		}
	}
	for index, n := range open {
		if n+g.tallyCrashes(index).all >= maxOpenLosses {
			return true
		}
	}
	return false
}

// countLost counts the crash of a worker that has answered for the runs that were given
// up on its earlier incarnations. An earlier leader may have given them up, so that this
// one has not seen the worker restart.
func (m *Model) countLost(now time.Time, w *worker) {
	for _, l := range w.lost {
		restarted := !l.incarnation.IsZero() && l.incarnation.UnixMilli() < w.StartedAt.UnixMilli()
		if restarted && !l.settled && m.live(l.gang) && !w.Draining {
			m.addCrash(now, l.gang, w, record.Crash{Index: l.task.Index, Attempt: l.attempt})
		}
	}
}

// recordedLosses returns the losses of which it is not known what became of the worker, of
// the tasks that the part of the job's progress holds. No decision needs more than
// maxOpenLosses of a task, so that the newest ones are enough.
func (g *gang) recordedLosses(p progressPart) []record.Loss {
	var losses []record.Loss
	counts := map[int]int{}
	for _, l := range slices.Backward(g.unsettled) {
		if l.settled || !p.holds(l.task.Index) || counts[l.task.Index] == maxOpenLosses {
			continue
		}
		counts[l.task.Index]++
		r := record.Loss{Index: l.task.Index, Attempt: l.attempt, Worker: l.worker, UntilMs: l.until.UnixMilli()}
		if !l.incarnation.IsZero() {
			r.StartedAtMs = l.incarnation.UnixMilli()
		}
		losses = append(losses, r)
	}
	slices.Reverse(losses)
	return losses
}

// recoverLosses takes over the losses that an earlier leader recorded. Its clock may
// differ, so that it cannot make a gang wait for longer than a loss of this leader does.
func (m *Model) recoverLosses(now time.Time, g *gang, losses []record.Loss) {
	for _, r := range losses {
		l := &loss{
			gang:    g,
			task:    TaskID{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.step, Index: r.Index},
			attempt: r.Attempt, worker: r.Worker,
			until: earlier(time.UnixMilli(r.UntilMs), now.Add(lossWait)),
		}
		if r.StartedAtMs > 0 {
			l.incarnation = time.UnixMilli(r.StartedAtMs)
		}
		g.unsettled = append(g.unsettled, l)
		if w, known := m.workers[r.Worker]; known {
			w.lost = append(w.lost, l)
			w.watchUntil = later(w.watchUntil, l.until)
		}
	}
}

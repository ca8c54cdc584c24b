package plan

import (
	"slices"
	"time"
)

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
	m.afterRelease(g)
}

// afterRelease lets a gang without runs go on.
func (m *Model) afterRelease(g *gang) {
	if len(g.runs) > 0 {
		return
	}
	if g.phase != reserved {
		m.active.Remove(g)
	}
	if g.phase == stopping {
		m.enqueue(g)
	}
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
		if m.placesLeave(g) {
			m.breakUp(now, g, "a worker leaves before the start")
			return
		}
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

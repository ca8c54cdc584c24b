package plan

import (
	"slices"
	"time"
)

const (
	// wholeWork is the percent of a run that has done its part.
	wholeWork = 100
	// paceSpan is the least time over which a run's pace is measured.
	paceSpan = 700 * time.Millisecond
	// slowPace is the part of the expected pace under which a run is slow.
	slowPace = 0.35
	// slowAfter is how many slow measurements in a row, against estimates, make
	// a worker slow.
	slowAfter = 2
	// slowKept is how long a worker is thought to stay slow.
	slowKept = 4 * time.Second
	// peersNeeded is how many members a gang must have for one to be measured
	// by the others.
	peersNeeded = 3
)

// measurePace takes in how far a run has come, and from it whether its worker
// is slow.
func (m *Model) measurePace(now time.Time, r *run) {
	g := r.gang
	if g == nil || r.phase != working || g.together.IsZero() {
		return
	}
	if r.percent >= wholeWork {
		return
	}
	if span := now.Sub(g.together); span >= paceSpan {
		r.rate = float64(r.percent) / span.Seconds()
	}
	if pace, known := r.againstPeers(); known {
		r.pace = pace
		if pace < slowPace {
			r.worker.slowUntil = now.Add(slowKept)
		}
		return
	}
	m.againstEstimate(now, r)
}

// againstPeers returns the run's pace against the other members of its gang.
func (r *run) againstPeers() (float64, bool) {
	if len(r.gang.runs) < peersNeeded || r.rate == 0 && r.percent > 0 {
		return 0, false
	}
	rates := make([]float64, 0, len(r.gang.runs))
	for _, peer := range r.gang.runs {
		if peer != r && peer.rate > 0 {
			rates = append(rates, peer.rate)
		}
	}
	if len(rates) < peersNeeded-1 {
		return 0, false
	}
	slices.Sort(rates)
	return r.rate / rates[len(rates)/2], true
}

// againstEstimate measures a run's pace against what is expected of its queue.
func (m *Model) againstEstimate(now time.Time, r *run) {
	if r.paceFrom.IsZero() {
		r.paceFrom, r.pacePercent = now, r.percent
		return
	}
	span := now.Sub(r.paceFrom)
	if span < paceSpan {
		return
	}
	moved := r.percent - r.pacePercent
	r.paceFrom, r.pacePercent, r.pace = now, r.percent, 0
	if !m.learn.of(r.gang.job.spec.Queue).trusted() {
		return
	}
	work := m.lasts(r.gang)
	r.pace = float64(moved) / wholeWork * float64(work) / float64(span)
	w := r.worker
	if r.pace >= slowPace {
		w.slowCount = 0
		return
	}
	w.slowCount++
	if w.slowCount >= slowAfter {
		w.slowUntil = now.Add(slowKept)
	}
}

// lasts returns how long the gang's present attempt is expected to take on
// sound workers.
func (m *Model) lasts(g *gang) time.Duration {
	work := m.expected(g)
	if g.away {
		work = time.Duration(float64(work) * m.timing.SpreadFactor)
	}
	return work
}

// slow reports whether the worker does its work much slower than others.
func (w *worker) slow(now time.Time) bool {
	return now.Before(w.slowUntil)
}

// moveSlow ends an attempt on a slow worker if its job earns more elsewhere.
func (m *Model) moveSlow(now time.Time, g *gang) bool {
	for _, r := range g.runs {
		if r.pace <= 0 || r.pace >= slowPace || !r.worker.slow(now) {
			continue
		}
		work := float64(m.expected(g))
		left := float64(wholeWork-r.percent) / wholeWork
		stays := time.Duration(left * float64(m.lasts(g)) / r.pace)
		again := work
		if g.spec().SavesProgress {
			again = left*work + float64(m.timing.Restore)
		}
		moves := time.Duration(again) + m.timing.TaskStop + moveWait
		gain := m.earns(g.job, now.Add(moves)) - m.earns(g.job, now.Add(stays))
		gain += m.roomPrice() * float64(g.size) * cores(g.need()) * (stays - moves).Seconds()
		if gain <= m.thrown(now, g) {
			continue
		}
		m.breakUp(now, g, "slow at "+r.worker.ID)
		return true
	}
	return false
}

const (
	// moveWait is how long a gang that leaves a slow worker is thought to wait.
	moveWait = 300 * time.Millisecond
	// roomValue is what a core-second earns while work waits for room.
	roomValue = 0.001
)

// roomPrice returns what a core-second is worth at the moment.
func (m *Model) roomPrice() float64 {
	if len(m.queue) == 0 {
		return 0
	}
	return roomValue
}

package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
)

const (
	// donePercent is the percent that a run reports when it has done its part.
	donePercent = 100
	// minPaceSpan is the least time over which a run's pace is measured.
	minPaceSpan = 700 * time.Millisecond
	// slowPace is the pace below which a run is slow.
	slowPace = 0.35
	// slowSamples is the number of consecutive slow measurements, against
	// estimates, that make a worker count as slow.
	slowSamples = 2
	// slowDuration is how long a worker counts as slow after a slow
	// measurement.
	slowDuration = 4 * time.Second
	// minPaceGang is the least size of a gang whose members are compared with
	// each other.
	minPaceGang = 3
)

// measurePace updates a run's pace from its progress, and marks its worker as
// slow if the pace is low.
func (m *Model) measurePace(now time.Time, r *run) {
	g := r.gang
	if g == nil || r.phase != running || g.allRunningAt.IsZero() {
		return
	}
	g.noteRunning(now, r)
	if r.progress.percent >= donePercent || m.policy.Without.Has(ablate.SlowWorkers) {
		return
	}
	if span := now.Sub(g.allRunningAt); span >= minPaceSpan {
		r.rate = float64(r.progress.percent) / span.Seconds()
	}
	if pace, known := r.paceAgainstPeers(); known {
		r.pace = pace
		if pace < slowPace {
			r.worker.slowUntil = now.Add(slowDuration)
		}
		return
	}
	m.measureAgainstEstimate(now, r)
}

// paceAgainstPeers returns the run's pace relative to the other members of its
// gang.
func (r *run) paceAgainstPeers() (float64, bool) {
	if len(r.gang.runs) < minPaceGang || r.rate == 0 && r.progress.percent > 0 {
		return 0, false
	}
	rates := make([]float64, 0, len(r.gang.runs))
	for _, peer := range r.gang.runs {
		if peer != r && peer.rate > 0 {
			rates = append(rates, peer.rate)
		}
	}
	if len(rates) < minPaceGang-1 {
		return 0, false
	}
	slices.Sort(rates)
	return r.rate / rates[len(rates)/2], true
}

// measureAgainstEstimate updates a run's pace relative to the expected
// duration. A task that was slow on one worker already is long itself, and says nothing
// about the next.
func (m *Model) measureAgainstEstimate(now time.Time, r *run) {
	if r.paceFrom.IsZero() {
		r.paceFrom, r.pacePercent = now, r.progress.percent
		return
	}
	span := now.Sub(r.paceFrom)
	if span < minPaceSpan {
		return
	}
	moved := r.progress.percent - r.pacePercent
	r.paceFrom, r.pacePercent, r.pace = now, r.progress.percent, 0
	tolerance, trusted := m.paceReference(r.gang)
	if r.gang.leftSlow || !trusted {
		return
	}
	work := m.expectedAttemptDuration(r.gang)
	r.pace = float64(moved) / donePercent * float64(work) / float64(span)
	w := r.worker
	if r.pace*tolerance >= slowPace {
		w.slowCount = 0
		return
	}
	w.slowCount++
	if w.slowCount >= slowSamples {
		w.slowUntil = now.Add(slowDuration)
	}
}

// expectedAttemptDuration returns how long the gang's current attempt is
// expected to take on workers of normal speed.
func (m *Model) expectedAttemptDuration(g *gang) time.Duration {
	work := m.expectedDuration(g)
	if g.poorLocality {
		work = time.Duration(float64(work) * m.timing.SpreadFactor)
	}
	return work
}

// slow reports whether the worker counts as much slower than others.
func (w *worker) slow(now time.Time) bool {
	return now.Before(w.slowUntil)
}

// leaveSlow aborts an attempt on a slow worker if the gang gains more by moving
// than the lost work costs.
func (m *Model) leaveSlow(now time.Time, g *gang) bool {
	for _, r := range g.runs {
		if r.pace <= 0 || r.pace >= slowPace || !r.worker.slow(now) {
			continue
		}
		work := float64(m.expectedDuration(g))
		left := float64(donePercent-r.progress.percent) / donePercent
		stayTime := time.Duration(left * float64(m.expectedAttemptDuration(g)) / r.pace)
		redo := work
		if g.spec().SavesProgress {
			redo = left*work + float64(m.timing.Restore)
		}
		moveTime := time.Duration(redo) + m.timing.TaskStop + moveWait
		gain := m.valueAt(g.job, now.Add(moveTime)) - m.valueAt(g.job, now.Add(stayTime))
		gain += m.view.waitingWeight * g.coreEquivalents() * (stayTime - moveTime).Seconds()
		if gain <= m.lostWorkCost(now, g) {
			continue
		}
		g.leftSlow = true
		m.abortAttempt(now, g, "slow at "+r.worker.ID)
		return true
	}
	return false
}

// moveWait is how long a gang that leaves a slow worker is expected to wait for new
// places.
const moveWait = 300 * time.Millisecond

package plan

import "time"

const (
	// wholeWork is the percent of a run that has done its part.
	wholeWork = 100
	// paceSpan is the least time over which a run's pace is measured.
	paceSpan = 700 * time.Millisecond
	// slowPace is the part of the expected pace under which a worker is slow.
	slowPace = 0.35
	// slowAfter is how many measurements in a row make a worker slow.
	slowAfter = 2
	// paceKept is how long a worker is thought to go on at a slow pace.
	paceKept = 4 * time.Second
)

// measurePace takes in how far a run has come.
func (m *Model) measurePace(now time.Time, r *run) {
	if r.gang == nil || r.phase != working || r.gang.together.IsZero() || r.percent >= wholeWork {
		return
	}
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
	work := m.expected(r.gang)
	if r.gang.away {
		work = time.Duration(float64(work) * m.timing.SpreadFactor)
	}
	done := float64(moved) / wholeWork * float64(work)
	r.pace = done / float64(span)
	w := r.worker
	w.pacedAt = now
	if r.pace < slowPace {
		w.slowCount++
	} else {
		w.slowCount = 0
	}
}

// slow reports whether the worker does its work much slower than expected.
func (w *worker) slow(now time.Time) bool {
	return w.slowCount >= slowAfter && now.Sub(w.pacedAt) < paceKept
}

// moveSlow ends an attempt on a slow worker if its job earns more elsewhere.
func (m *Model) moveSlow(now time.Time, g *gang) bool {
	for _, r := range g.runs {
		if r.pace <= 0 || r.pace >= slowPace || !r.worker.slow(now) {
			continue
		}
		work := float64(m.expected(g))
		left := float64(wholeWork-r.percent) / wholeWork
		stay := now.Add(time.Duration(left * work / r.pace))
		again := work
		if g.spec().SavesProgress {
			again = left*work + float64(m.timing.Restore)
		}
		move := now.Add(time.Duration(again) + m.timing.TaskStop + moveWait)
		gain := m.earns(g.job, move) - m.earns(g.job, stay)
		if gain <= m.thrown(now, g) {
			continue
		}
		m.breakUp(now, g, "slow at "+r.worker.ID)
		return true
	}
	return false
}

// moveWait is how long a gang that leaves a slow worker is thought to wait.
const moveWait = 300 * time.Millisecond

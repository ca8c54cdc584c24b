package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// withholdAfter is how long a worker that has not answered this leader yet may leave
// polls unanswered before it is withheld. A call takes 0.9 s at most.
const withholdAfter = time.Second

// withholding records that this leader gives a silent worker neither a lease nor a
// start before the stored roster says otherwise. The next leader then knows when the
// worker's runs have ended, and does not wait as if this leader had renewed them.
type withholding struct {
	// wanted is set while the worker is silent.
	wanted bool
	// inForce is set from when the roster row with it is sent until one without it is
	// stored.
	inForce bool
}

// withholdSilent withholds the worker if it is silent and runs may exist there.
func (m *Model) withholdSilent(now time.Time, w *worker) {
	if !m.loaded || w.withheld.wanted || !w.inRoster || len(w.runs) == 0 || !m.silent(now, w) {
		return
	}
	w.withheld.wanted = true
	m.write.roster.dirty[rosterPart(w.ID)] = true
	m.reportDecision(WorkerWithheld, nil, w, "until it answers; its runs have ended by "+m.runsOver(w).UTC().Format(time.RFC3339Nano))
}

// silent reports whether the worker is likely not to answer soon.
func (m *Model) silent(now time.Time, w *worker) bool {
	switch {
	case !w.synced && !w.listed:
		return true
	case !w.synced:
		return w.outOfTouchFor(now, withholdAfter)
	default:
		return w.outOfTouchFor(now, m.timing.SilenceLimit)
	}
}

// endWithholding has the worker stored without its withholding, since it has answered.
func (m *Model) endWithholding(w *worker) {
	if !w.withheld.wanted {
		return
	}
	w.withheld.wanted = false
	m.write.roster.dirty[rosterPart(w.ID)] = true
}

// inheritWithholding takes over what an earlier leader has stored of a worker. That
// leader, and those since, have obeyed it.
func (m *Model) inheritWithholding(now time.Time, w *worker, e record.RosterEntry) {
	w.inheritedUntil = m.inheritedLease(now)
	if e.WithheldBy == 0 {
		return
	}
	w.withheld = withholding{wanted: true, inForce: true}
	w.inheritedUntil = earlier(w.inheritedUntil, time.UnixMilli(e.OverAtMs))
}

// runsOver returns when every run on the worker has certainly ended, if its lease is
// not renewed again.
func (m *Model) runsOver(w *worker) time.Time {
	if w.leaseUntil.IsZero() {
		return w.inheritedUntil
	}
	left := float64(w.leaseUntil.Add(clockMargin).Sub(w.clock))
	return later(w.inheritedUntil, w.clockAt.Add(time.Duration(left/(1-clockDrift))))
}

// rosterEntry returns the worker's entry in the roster.
func (m *Model) rosterEntry(w *worker) record.RosterEntry {
	e := record.RosterEntry{ID: w.ID, Address: w.Address.String(), Domain: w.Domain, Target: w.Target, Draining: w.Draining}
	if w.withheld.wanted {
		w.withheld.inForce = true
		e.WithheldBy = m.epoch
		e.OverAtMs = m.runsOver(w).UnixMilli() + 1
	}
	return e
}

package plan

import (
	"slices"
	"time"
)

const (
	// lateWrite is how long the storing of a place may take before the entries of its
	// workers count as outdated. A worker may start what exceeds its new capacity for
	// three heartbeats, one of which may have passed when the place was chosen.
	lateWrite = 2 * time.Second
	// entryWait is how long after that starts wait for newer entries. Workers write
	// theirs each second or two.
	entryWait = 2200 * time.Millisecond
)

// awaitEntries reports whether the start of a gang has to wait for newer entries of its
// workers: the store was away, so a worker may have shrunk since its entry was read.
// Workers that do not guard their capacity would start the gang all the same.
func (m *Model) awaitEntries(now time.Time, g *gang) bool {
	late := m.write.lateAt
	g.awaitsEntries = !late.IsZero() && now.Before(late.Add(entryWait)) &&
		slices.ContainsFunc(g.runs, func(r *run) bool { return r.phase == storing && r.worker.entryAt.Before(late) })
	return g.awaitsEntries
}

// startAwaitingEntries starts a gang whose start has waited for newer entries.
func (m *Model) startAwaitingEntries(now time.Time, g *gang) {
	if g.awaitsEntries && g.storedAttempt == g.attempt {
		m.startRuns(now, g)
	}
}

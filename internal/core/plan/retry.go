package plan

import "time"

const (
	// failurePause is how long a gang avoids a worker on which it has failed, if others
	// may take it, and lastResortWait how long it waits before it uses workers that it
	// avoids or that are set aside, if it fits on no others. Both leave a broken worker some time to
	// recover, and end before a task counts as forgotten.
	failurePause   = 2 * time.Second
	lastResortWait = 1500 * time.Millisecond
)

// avoidsForFailure reports whether the gang avoids the worker because it has failed there.
// A task that lasts must not wait for long, and no other gang waits while there is
// capacity to spare: the worker may be the only one that has room for it.
func (m *Model) avoidsForFailure(g *gang, w *worker) bool {
	failedAt, failed := g.failedOn[w.ID]
	if !failed || m.view.scarce {
		return false
	}
	mayRetry := g.spec().Perpetual || m.view.spare[w.Target]
	return !mayRetry || m.now.Sub(failedAt) < failurePause
}

// fitsOnUsable reports whether the gang would fit on the workers that are neither set aside
// nor avoided for a failure, if they were empty. Slow workers count: the slowness is over
// soon if nothing runs there.
func (m *Model) fitsOnUsable(g *gang) bool {
	slots := 0
	for _, w := range m.view.usable[g.job.queue.Target] {
		if m.eligible(g, w) {
			slots += g.slotsOnEmpty(w)
		}
	}
	return slots >= g.size
}

// lastResortPlaces returns places for a gang that has waited for workers that do not exist:
// those that it does not avoid could not hold it if they were empty. It returns nil for
// any other gang, and if there are none. Gangs with the same key fare alike, unless one has
// failed somewhere.
func (m *Model) lastResortPlaces(now time.Time, g *gang, key placementKey, failed failedKeys) []*worker {
	shared := len(g.failedOn) == 0
	if now.Sub(g.queuedAt) < lastResortWait || shared && failed.noLastResort[key] {
		return nil
	}
	var places []*worker
	if !m.fitsOnUsable(g) {
		g.lastResort = true
		places = m.findPlacesAmong(now, g, nil, m.view.reachable[g.job.queue.Target])
		g.lastResort = false
	}
	if places == nil && shared {
		failed.noLastResort[key] = true
	}
	return places
}

package plan

import "time"

const (
	// failurePause is how long a gang avoids a worker on which it has failed, if others
	// may take it, and lastResortWait how long it waits before it uses workers that are
	// set aside or slow, if it fits on no others. Both leave a broken worker some time to
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

// mayUseLastResort reports whether the gang has waited for so long that it may use workers
// that it avoids, if it needs them.
func (g *gang) mayUseLastResort(now time.Time) bool {
	return now.Sub(g.queuedAt) >= lastResortWait
}

// needsLastResort reports whether the gang has waited for workers that do not exist: those
// that it does not avoid could not hold it if they were empty.
func (m *Model) needsLastResort(now time.Time, g *gang) bool {
	return g.mayUseLastResort(now) && !m.fitsWhenEmpty(now, g)
}

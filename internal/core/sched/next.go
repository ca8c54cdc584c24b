package sched

import "time"

// livenessCheckInterval is the time between two checks of whether the workers
// of a running gang still answer.
const livenessCheckInterval = 500 * time.Millisecond

// Next returns when the scheduler needs its next tick: at the earliest deadline
// of a gang, the next sync with a worker, the next renewal of the shard's lease
// or the next scheduling pass.
func (m *Model[P]) Next() (time.Time, bool) {
	next := m.lastTick.Add(idlePassInterval)
	if !m.commit.outstanding {
		next = earlier(next, m.commit.nextRenewal)
	}
	for _, n := range m.sortedNodes {
		if !n.syncInFlight && n.Address.IsValid() {
			next = earlier(next, n.nextSync)
		}
	}
	for g := range m.active.All() {
		next = earlier(next, m.nextCheck(g))
	}
	if m.loaded && !m.draining && len(m.queue) > 0 {
		next = earlier(next, m.nextPass)
		if m.passNeeded {
			next = earlier(next, m.lastPass.Add(m.timing.MinPassInterval))
		}
	}
	return next, true
}

// nextCheck returns when a gang must next be checked for expiry.
func (m *Model[P]) nextCheck(g *gang) time.Time {
	switch g.phase {
	case running:
		return m.lastTick.Add(livenessCheckInterval)
	case waiting, committing, ended:
		if g.deadline.IsZero() {
			return m.lastTick.Add(livenessCheckInterval)
		}
	case reclaiming, holding, starting, adopting, stopping:
	}
	return g.deadline.Add(time.Millisecond)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

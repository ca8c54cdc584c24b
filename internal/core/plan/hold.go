package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/trust"
)

// hold is why a worker gets no new work. Each one is ended by an event, by the answer to
// a probe or by a deadline.
type hold int

const (
	// notHeld workers get work.
	notHeld hold = iota
	// unlisted workers are not in the list of workers. Ended by the worker's entry.
	unlisted
	// unsynced workers have not answered this leader. Ended by the answer to a poll.
	unsynced
	// unrecorded workers are not in the stored roster. Ended when the roster is stored.
	unrecorded
	// draining workers leave. Ended by the worker's entry.
	draining
	// domainOut workers are in a failure domain that is out of service. Ended by the operator.
	domainOut
	// silent workers do not answer. Ended by the answer to a probe.
	silent
	// withheld workers were silent while they had runs. Ended by the answer to a probe,
	// and then when the roster is stored.
	withheld
	// refusing workers have refused a start, or have left one unconfirmed. Ended by a
	// deadline, after which one gang at a time tries the worker.
	refusing
	// quarantined workers have failed several tasks. Ended by a deadline.
	quarantined
	// avoided workers are likely to fail tasks. Ended by a deadline.
	avoided
)

// holdOf returns why the worker gets no new work.
func (m *Model) holdOf(now time.Time, w *worker) hold {
	switch {
	case !w.listed:
		return unlisted
	case !w.synced:
		return unsynced
	case !w.inRoster:
		return unrecorded
	case w.Draining:
		return draining
	case m.outOfService[w.Domain]:
		return domainOut
	case w.outOfTouchFor(now, m.timing.SilenceLimit):
		return silent
	case w.withheld.inForce:
		return withheld
	case w.starts.open(now):
		return refusing
	default:
		return w.setAsideBy(now)
	}
}

// setAsideBy returns why the worker gets no new work for what it has done with earlier
// work.
func (w *worker) setAsideBy(now time.Time) hold {
	switch {
	case now.Before(w.quarantinedUntil):
		return quarantined
	case w.standing.Class == trust.Avoided:
		return avoided
	default:
		return notHeld
	}
}

// usable reports whether the worker may get new work.
func (m *Model) usable(now time.Time, w *worker) bool {
	return m.holdOf(now, w) == notHeld
}

// reachable reports whether the worker can get new work, whatever it has done with earlier
// work.
func (m *Model) reachable(now time.Time, w *worker) bool {
	switch m.holdOf(now, w) {
	case notHeld, quarantined, avoided:
		return true
	default:
		return false
	}
}

// setAside reports whether the worker gets no new work for what it has done with earlier
// work.
func (w *worker) setAside(now time.Time) bool {
	return w.setAsideBy(now) != notHeld
}

package plan

import (
	"time"
)

// lookAtWorkers sends each of the workers whose turn it is a look.
func (m *Model) lookAtWorkers(now time.Time, workers []*worker) {
	if !m.loaded {
		return
	}
	for _, w := range workers {
		if w.looking || now.Before(w.nextLook) || !w.Address.IsValid() {
			continue
		}
		m.look(now, w)
	}
}

// lookSoon has the worker looked at when its present look has ended.
func (m *Model) lookSoon(now time.Time, w *worker) {
	w.nextLook = earlier(w.nextLook, now)
	m.touched = append(m.touched, w)
}

func (m *Model) look(now time.Time, w *worker) {
	unacked := w.durable > w.acked
	switch {
	case !w.heard && (w.listed || now.Before(w.inheritedUntil)):
	case len(w.runs) > 0, unacked:
	default:
		return
	}
	cmd := LookCmd{Worker: w.ID, Address: w.Address, Epoch: m.epoch, Acknowledged: m.acknowledge(now, w)}
	if len(w.runs) > 0 && w.heard && w.askedAt.IsZero() {
		// A worker that has not answered gets no longer lease, so that what it
		// runs is known to be over at some time.
		cmd.LeaseUntil = m.leaseFor(now, w)
		w.leaseUntil = later(w.leaseUntil, cmd.LeaseUntil)
		cmd.Wait = m.timing.LookWait
	}
	if w.seen > w.durable {
		cmd.Wait = 0
	}
	w.looking = true
	w.asked(now)
	m.emit(cmd)
}

// ackWindow is how soon after a worker's last answer its ends may be
// acknowledged.
const ackWindow = 500 * time.Millisecond

// acknowledge returns the number up to which the worker may forget its ends. A
// worker that has not just answered may have begun a new life, whose ends would
// be forgotten unseen: it is asked first, and acknowledges nothing.
func (m *Model) acknowledge(now time.Time, w *worker) int64 {
	if !w.heard || !w.askedAt.IsZero() || now.Sub(w.answeredAt) > ackWindow {
		return 0
	}
	return w.durable
}

// asked notes that a call was sent.
func (w *worker) asked(now time.Time) {
	if w.askedAt.IsZero() {
		w.askedAt = now
	}
}

// answered notes that a call was answered.
func (w *worker) answered() {
	w.askedAt = time.Time{}
}

func (m *Model) lookEnded(now time.Time, msg LookMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	w.looking = false
	switch {
	case msg.Fenced:
		m.emit(DeposedCmd{})
		return
	case msg.Replaced:
		m.replaced(now, w)
		return
	case !msg.Answered, !msg.Born.IsZero() && msg.Born.Before(w.Born):
		w.nextLook = now.Add(m.timing.LookRetry)
		return
	}
	w.nextLook = now
	m.touched = append(m.touched, w)
	w.answered()
	w.answeredAt = now
	w.lookedAt = msg.SentAt
	w.avoidTill = time.Time{}
	if !msg.Born.IsZero() && msg.Born.After(w.Born) {
		if !w.Born.IsZero() {
			m.reborn(now, w)
		}
		w.Born = msg.Born
	}
	w.heardClock(now, msg.Clock)
	if !w.heard {
		w.heard = true
		m.changed = true
	}
	w.acked = max(w.acked, min(msg.Acknowledged, w.seen))
	m.reconcile(now, w, msg)
	if w.seen > w.durable {
		// The next look goes out as soon as these ends are stored.
		w.nextLook = now.Add(m.timing.LookWait)
	}
}

// expireWorkers gives up what runs on workers whose lease has surely run out,
// and takes silent workers out of use.
func (m *Model) expireWorkers(now time.Time) {
	for _, w := range m.order {
		if !w.askedAt.IsZero() && now.Sub(w.askedAt) > m.timing.Silence && now.After(w.avoidTill) {
			w.avoidTill = now.Add(m.timing.Silence)
			m.decide(WorkerLost, nil, w, "does not answer")
		}
		if !w.leaseOver(now) {
			continue
		}
		for _, r := range w.sorted() {
			// A run that is still being stored was never sent.
			if r.phase != recording {
				m.dropRun(now, r, "the lease at its worker has run out")
			}
		}
		if !w.listed && len(w.runs) == 0 {
			m.forget(w)
			return
		}
	}
}

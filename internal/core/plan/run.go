package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// runPhase is where a run stands.
type runPhase int

const (
	// recording runs are being stored; nothing was sent yet.
	recording runPhase = iota
	// sending runs have been ordered and not confirmed.
	sending
	// recovering runs were recorded by an earlier leader; their worker has not
	// said yet whether it has them.
	recovering
	// working runs were confirmed by their worker.
	working
	// ending runs have been told to stop.
	ending
)

// run is one attempt of a task at a worker. It is kept until its worker has
// said that it is gone, or its lease has surely run out.
type run struct {
	task    TaskID
	attempt int
	// gang is nil while the job of the run is not known here.
	gang   *gang
	worker *worker
	need   record.Amount

	phase       runPhase
	sentAt      time.Time
	confirmedAt time.Time
	// nextTry is when an unanswered order is sent again.
	nextTry time.Time
	calling bool
	// open is set once an order to start had no answer: it may have been
	// carried out, or may still be.
	open bool
	// stoppedAt is when a stop was answered.
	stoppedAt time.Time

	percent   int
	percentAt time.Time
	// rate is the percent per second since the gang was whole. pace is the
	// newest measurement against peers or estimates, the latter made since
	// paceFrom, when the percent was pacePercent.
	rate        float64
	pace        float64
	paceFrom    time.Time
	pacePercent int
}

// place gives a gang its runs and has them stored. They are started once they
// are, so that a successor knows where to look for them.
func (m *Model) place(now time.Time, g *gang, places []*worker) {
	g.phase = placed
	g.attempt++
	g.job.attempt = max(g.job.attempt, g.attempt)
	g.startedAt = now
	g.together = time.Time{}
	g.resumed = g.checkpoint != ""
	g.away = isAway(g, places)
	g.deadline = time.Time{}
	g.places = nil
	m.active.Add(g)
	if !g.job.started {
		g.job.started = true
		g.job.state = record.Running
		m.write.waitingChanged = true
	}
	for i, w := range places {
		m.hold(&run{
			task:    TaskID{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.step, Index: g.first + i},
			attempt: g.attempt, gang: g, worker: w, need: g.need(), sentAt: now,
		})
	}
	m.record(now, g.job, atOnce)
	m.decide(Placed, g, places[0], placeText(places))
}

// start sends the starts of a gang whose places are stored.
func (m *Model) start(now time.Time, g *gang) {
	if g.phase != placed {
		return
	}
	if m.placesLeave(g) {
		m.breakUp(now, g, "a worker leaves before the start")
		return
	}
	for _, r := range g.runs {
		if r.phase == recording {
			r.phase = sending
			r.sentAt = now
			m.sendStart(now, r)
		}
	}
	g.deadline = now.Add(m.timing.GangWait)
}

// placesLeave reports whether a run that has still to be started, or started
// again, lies where nothing may be started any more.
func (m *Model) placesLeave(g *gang) bool {
	return slices.ContainsFunc(g.runs, func(r *run) bool {
		toStart := r.phase == recording || r.phase == sending && r.open
		return toStart && (r.worker.Draining || m.out[r.worker.Domain])
	})
}

// isAway reports whether places are away from the gang's data or spread over
// racks though it should lie in one.
func isAway(g *gang, places []*worker) bool {
	s := g.spec()
	for _, w := range places {
		if s.NearRack != "" && w.Rack != s.NearRack || s.SameRack && w.Rack != places[0].Rack {
			return true
		}
	}
	return false
}

func placeText(places []*worker) string {
	text := ""
	for i, w := range places {
		if i > 0 {
			text += " "
		}
		text += w.ID
	}
	return text
}

// hold takes the run's room at its worker.
func (m *Model) hold(r *run) {
	r.worker.runs[r.task] = r
	r.worker.recount()
	if r.gang != nil {
		r.gang.runs = append(r.gang.runs, r)
		m.active.Add(r.gang)
	}
}

func (m *Model) sendStart(now time.Time, r *run) {
	w := r.worker
	lease := w.leaseUntil
	if !r.open {
		lease = m.leaseFor(now, w)
		w.leaseUntil = later(w.leaseUntil, lease)
	}
	r.calling = true
	w.asked(now)
	m.emit(StartCmd{
		Worker:     w.ID,
		Address:    w.Address,
		Task:       r.task,
		Attempt:    r.attempt,
		Payload:    r.gang.job.spec.Payload,
		LeaseUntil: lease,
		Epoch:      m.epoch,
		Checkpoint: r.gang.checkpoint,
	})
}

func (m *Model) startEnded(now time.Time, msg StartMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	w.heardClock(now, msg.Clock)
	r := w.runs[msg.Task]
	if r == nil || r.attempt != msg.Attempt {
		return
	}
	r.calling = false
	if r.phase == ending {
		m.endingStartEnded(now, r, msg)
		return
	}
	switch msg.Outcome {
	case Started:
		w.answered()
		m.confirm(now, r)
	case Unanswered:
		r.open = true
		r.nextTry = now.Add(m.timing.StartRetry)
	case Fenced:
		m.emit(DeposedCmd{})
	case Replaced:
		m.replaced(now, w)
	case Outdated:
		g := r.gang
		m.rejectedStart(now, r, "this or a later attempt has ended there")
		if !r.open {
			// The number was used before; an open order may be what used it, and
			// its end is still to be listed.
			g.attempt += attemptSkip
		}
	case NoRoom:
		w.avoidTill = later(w.avoidTill, now.Add(noRoomPause))
		m.rejectedStart(now, r, "no room")
	case Unhealthy:
		w.avoidTill = later(w.avoidTill, now.Add(unhealthyPause))
		m.rejectedStart(now, r, "the worker takes no work")
	case Expired, Invalid:
		w.avoidTill = later(w.avoidTill, now.Add(noRoomPause))
		m.rejectedStart(now, r, "the order was refused")
	}
}

const (
	// noRoomPause is how long a worker that had less room than thought gets
	// nothing more.
	noRoomPause = 300 * time.Millisecond
	// unhealthyPause is the same for a worker that takes no work.
	unhealthyPause = time.Second
	// attemptSkip leaves attempts out that another leader may have used.
	attemptSkip = 4
)

// endingStartEnded takes the late answer to a start whose run is to stop.
func (m *Model) endingStartEnded(now time.Time, r *run, msg StartMsg) {
	switch msg.Outcome {
	case NoRoom, Unhealthy, Expired, Invalid, Outdated, Started, Unanswered:
		m.stopRun(now, r)
	case Fenced:
		m.emit(DeposedCmd{})
	case Replaced:
		m.replaced(now, r.worker)
	}
}

// rejectedStart ends the attempt of a gang of which a start was refused. The
// run is dropped if it is certain that no earlier order can start it.
func (m *Model) rejectedStart(now time.Time, r *run, reason string) {
	g := r.gang
	if !r.open {
		m.release(r)
	}
	m.breakUp(now, g, "start at "+r.worker.ID+" refused: "+reason)
}

// confirm takes in that the worker has the run.
func (m *Model) confirm(now time.Time, r *run) {
	if r.phase != sending && r.phase != recovering {
		return
	}
	kind := Running
	if r.phase == recovering {
		kind = Adopted
	}
	r.phase = working
	r.confirmedAt = now
	r.percentAt = now
	m.lookSoon(now, r.worker)
	g := r.gang
	if !g.whole() || !g.together.IsZero() {
		return
	}
	g.together = now
	m.decide(kind, g, r.worker, "")
	if kind == Running && !g.job.atWork {
		g.job.atWork = true
		m.emit(DecisionCmd{
			Kind: JobStarted, Job: g.job.spec.ID, Attempt: g.attempt, Worker: r.worker.ID, Domain: r.worker.Domain,
			Delay: now.Sub(g.job.since), Detail: g.job.spec.Queue, ConfigVersion: m.config.Version,
		})
	}
}

// whole reports whether all members of the gang are at work.
func (g *gang) whole() bool {
	if len(g.runs) < g.size {
		return false
	}
	for _, r := range g.runs {
		if r.phase != working {
			return false
		}
	}
	return true
}

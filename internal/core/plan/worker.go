package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/trust"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// worker is a worker's entry with what the planner knows about it.
type worker struct {
	Worker
	// listed is set while the worker is in the list of workers.
	listed bool
	// entryAt is when the worker's entry was last received, and movedAt when its address
	// last changed.
	entryAt, movedAt time.Time
	// synced is set once the worker has answered a poll under this epoch, so
	// that its runs are known here.
	synced bool
	// inRoster is set once the worker is in the stored roster.
	inRoster bool
	// clock is the newest reading of the worker's own clock, and clockAt when
	// it was received.
	clock   time.Time
	clockAt time.Time
	// leaseUntil is the latest lease deadline sent, by the worker's clock.
	leaseUntil time.Time
	// withheld says whether the worker gets leases and starts.
	withheld withholding
	// inheritedUntil is when every lease from an earlier leader has certainly
	// expired.
	inheritedUntil time.Time

	pollPending bool
	nextPoll    time.Time
	// polledAt is when the newest answered poll was sent.
	polledAt time.Time
	// pollAnsweredAt is when the newest answer to a poll arrived.
	pollAnsweredAt time.Time
	// unansweredPolls counts the polls since the newest answered one.
	unansweredPolls int
	// unansweredSince is when the first call was sent that has had no answer
	// since, and reportedSilent is set once the worker was reported for that.
	unansweredSince time.Time
	reportedSilent  bool
	// doubted is set until the next answered poll if the worker has contradicted what is
	// known of its runs, its capacity or its clock.
	doubted bool
	// starts is the circuit breaker on starts.
	starts breaker

	// seenEnd is the number of the newest end that was handled, storedEnd that
	// of the newest end whose results are stored, and ackedEnd that of the
	// newest end that was acknowledged to the worker.
	seenEnd, storedEnd, ackedEnd int64

	// lost holds the runs that were given up while the worker was silent. Until
	// watchUntil it is polled to learn whether it had crashed.
	lost       []*loss
	watchUntil time.Time

	runs map[TaskID]*run
	// runsWithCrashes counts the runs of gangs under whose tasks workers have crashed.
	runsWithCrashes int
	// claimedBy is the gang that holds a claim on the worker.
	claimedBy *gang
	// claimedNeed is what the claim needs of the worker.
	claimedNeed record.Amount
	// drainEndsAt is the earliest time at which a draining worker ends.
	drainEndsAt time.Time
	// free is the capacity that runs and reservations leave.
	free     record.Amount
	reserved record.Amount

	// consecutiveFailures counts failed tasks of different jobs since the last
	// success.
	consecutiveFailures int
	lastFailedJob       string
	quarantines         int
	quarantinedUntil    time.Time
	// slowCount counts consecutive measurements of a pace far below the
	// expected one. Until slowUntil, the worker counts as slow.
	slowCount int
	speed     speed
	slowUntil time.Time
	// standing is the judgement on the worker as of the newest placement pass.
	// judged is its class before the limit on what is held back is applied.
	standing trust.Standing
	judged   trust.Class
}

// rack holds the workers of one target in one rack.
type rack struct {
	target, domain, name string
	workers              []*worker
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, runs: map[TaskID]*run{}, free: w.Capacity}
}

// setWorkers applies changes to the list of workers.
func (m *Model) setWorkers(now time.Time, msg WorkersMsg) {
	listed := make(map[string]bool, len(msg.Changed))
	moved := false
	for _, w := range msg.Changed {
		listed[w.ID] = true
		moved = m.setWorker(now, w) || moved
	}
	for _, id := range msg.Gone {
		moved = m.unlist(now, id) || moved
	}
	if msg.Complete {
		for id := range m.workers {
			if !listed[id] {
				moved = m.unlist(now, id) || moved
			}
		}
	}
	if moved {
		m.sortWorkers()
	}
}

// setWorker applies a worker's entry. It reports whether the worker is new or
// has moved.
func (m *Model) setWorker(now time.Time, entry Worker) bool {
	w, known := m.workers[entry.ID]
	if !known {
		w = newWorker(entry)
		w.clockAt = now
		w.inheritedUntil = m.leaderSince
		m.workers[entry.ID] = w
	}
	if entry.StartedAt.IsZero() {
		entry.StartedAt = w.StartedAt
	}
	if entry.StartedAt.Before(w.StartedAt) {
		return false
	}
	restarted := m.noticeRestart(now, w, entry.StartedAt)
	w.entryAt = now
	before, listed := w.Worker, w.listed
	w.Worker, w.listed = entry, true
	if before.Address != entry.Address {
		w.movedAt = now
	}
	if restarted {
		m.endEarlierRuns(now, w)
	}
	if entry.Draining && !before.Draining {
		w.drainEndsAt = now.Add(entry.Remaining)
		if w.inRoster {
			m.write.roster.dirty[rosterPart(w.ID)] = true
		}
	}
	m.noteEntry(now, w, before.Draining)
	if !listed || before.Draining != entry.Draining || before.Capacity != entry.Capacity {
		w.recount()
		m.changed = true
		m.schedulePoll(now, w)
	}
	return !listed || before.movedFrom(entry)
}

// movedFrom reports whether two entries of a worker differ in its location.
func (w Worker) movedFrom(other Worker) bool {
	return w.Target != other.Target || w.Domain != other.Domain || w.Rack != other.Rack
}

// unlist handles the removal of a worker's entry. The worker's runs continue
// while it answers. It reports whether the worker is forgotten.
func (m *Model) unlist(now time.Time, id string) bool {
	w, ok := m.workers[id]
	if !ok {
		return false
	}
	w.listed = false
	m.note(now, w, trust.Unlisted)
	if len(w.runs) > 0 || now.Before(w.watchUntil) || !w.synced && now.Before(w.inheritedUntil) {
		return false
	}
	m.forget(w)
	return true
}

// forget removes a worker that has no runs. The caller sorts the workers anew.
func (m *Model) forget(w *worker) {
	delete(m.workers, w.ID)
	m.write.roster.dirty[rosterPart(w.ID)] = true
}

// workerRestarted handles a new incarnation of the worker. Its runs are known
// after the next poll, since a start may have reached it already.
func (m *Model) workerRestarted(now time.Time, w *worker) {
	m.note(now, w, trust.Restarted)
	w.clock = time.Time{}
	w.leaseUntil = time.Time{}
	w.synced = false
	w.unansweredPolls = 0
	w.starts.succeed()
	w.seenEnd, w.storedEnd, w.ackedEnd = 0, 0, 0
	// The numbers of ends begin anew.
	delete(m.write.acks, w.ID)
	delete(m.write.nextAcks, w.ID)
	w.inheritedUntil = later(w.inheritedUntil, now.Add(m.longestLease()))
	m.schedulePoll(now, w)
	m.reportDecision(WorkerLost, nil, w, "worker restarted")
}

// clearCapacity makes the worker's capacity unknown until its entry is read. A new
// incarnation may be of another kind.
func (w *worker) clearCapacity() {
	w.Capacity = record.Amount{}
	w.recount()
}

// replacedBefore reports whether another worker that answered a call, which was sent at the
// given time, did so at an earlier address of this one.
func (w *worker) replacedBefore(sentAt time.Time) bool {
	return sentAt.Before(w.movedAt)
}

// workerReplaced handles that another worker answers at the address: no run of
// this one is left.
func (m *Model) workerReplaced(now time.Time, w *worker) {
	m.countCrashes(now, w, time.Time{})
	m.workerRestarted(now, w)
	for _, r := range w.sortedRuns() {
		m.loseRun(now, r, "the worker was replaced")
	}
	w.listed = false
	w.inheritedUntil = now
	w.nextPoll = now.Add(m.timing.PollRetry)
}

// sortWorkers sorts the workers by location and groups them into racks.
func (m *Model) sortWorkers() {
	m.sortedWorkers = m.sortedWorkers[:0]
	for _, w := range m.workers {
		m.sortedWorkers = append(m.sortedWorkers, w)
	}
	slices.SortFunc(m.sortedWorkers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	m.racks = m.racks[:0]
	for i, w := range m.sortedWorkers {
		newRack := i == 0 || m.sortedWorkers[i-1].Target != w.Target || m.sortedWorkers[i-1].Domain != w.Domain || m.sortedWorkers[i-1].Rack != w.Rack
		if newRack {
			m.racks = append(m.racks, rack{target: w.Target, domain: w.Domain, name: w.Rack})
		}
		last := &m.racks[len(m.racks)-1]
		last.workers = append(last.workers, w)
	}
}

// recount computes the free capacity. While the need of a run is not known,
// nothing is free.
func (w *worker) recount() {
	left := w.Capacity
	needUnknown := false
	for _, r := range w.runs {
		left = amount.Sub(left, r.need)
		needUnknown = needUnknown || r.needUnknown
	}
	if needUnknown {
		left = amount.Min(left, record.Amount{})
	}
	w.free = amount.Sub(left, w.reserved)
}

// overCapacity reports whether the worker's runs exceed its capacity, which may
// have shrunk since they were placed.
func (w *worker) overCapacity() bool {
	return amount.Negative(amount.Add(w.free, w.reserved))
}

// sortedRuns returns the runs in a fixed order.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.task.compare(b.task) })
	return runs
}

func (t TaskID) compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

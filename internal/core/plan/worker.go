package plan

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// clockDrift is how much slower than true a worker's clock may be.
	clockDrift = 0.02
	// clockMargin covers what a clock reading is rounded by.
	clockMargin = 20 * time.Millisecond
	// benchLimit is the longest time a worker is kept out of use at once.
	benchLimit = 30 * time.Second
)

// worker is a worker with what the planner knows of it.
type worker struct {
	Worker
	listed bool
	// heard is set once the worker has answered under this epoch, so that its
	// runs are known here.
	heard bool
	// rostered is set once the worker is in the stored roster.
	rostered bool
	// clock is the newest reading of the worker's own clock, and clockAt when
	// it was received.
	clock   time.Time
	clockAt time.Time
	// leaseUntil is the latest lease deadline sent, on the worker's clock.
	leaseUntil time.Time
	// inheritedUntil is when a lease from an earlier leader has surely run out.
	inheritedUntil time.Time

	looking  bool
	nextLook time.Time
	// lookedAt is when the newest look was sent that was answered.
	lookedAt time.Time
	// askedAt is when the first call was sent that has had no answer since.
	askedAt   time.Time
	avoidTill time.Time

	// seen is the number of the newest end that was taken in, durable the one
	// up to which progress is stored, acked the one the worker was told.
	seen, durable, acked int64

	runs map[TaskID]*run
	// claimedBy is the wide gang for which the worker is being cleared.
	claimedBy *gang
	// leavesAt is the earliest time at which a draining worker ends.
	leavesAt time.Time
	// free is what runs and reservations leave.
	free     record.Amount
	reserved record.Amount

	// failures counts tasks that failed here in a row, of different jobs.
	failures  int
	lastFail  string
	benches   int
	benchedTo time.Time
	// slowCount is how many measurements in a row were much slower than
	// expected; slowUntil is when the worker is no longer thought to be slow.
	slowCount int
	slowUntil time.Time
}

// rack is the workers of one rack of one pool.
type rack struct {
	target, domain, name string
	workers              []*worker
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, runs: map[TaskID]*run{}, free: w.Capacity}
}

func (m *Model) setRoster(now time.Time, entries []record.RosterEntry) {
	for _, e := range entries {
		if w, ok := m.workers[e.ID]; ok {
			w.rostered = true
			w.inheritedUntil = m.inheritedLease(now)
			continue
		}
		address, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			continue
		}
		w := newWorker(Worker{ID: e.ID, Address: address, Domain: e.Domain, Target: e.Target})
		w.rostered = true
		w.inheritedUntil = m.inheritedLease(now)
		m.workers[e.ID] = w
	}
	m.sortWorkers()
}

// inheritedLease returns when every lease from earlier leaders has run out.
func (m *Model) inheritedLease(now time.Time) time.Time {
	return later(now, m.takenAt.Add(m.longestLease()))
}

// longestLease returns how long any lease may last on a slow clock.
func (m *Model) longestLease() time.Duration {
	return time.Duration(float64(m.timing.LongestLease)*(1+clockDrift)) + clockMargin
}

func (m *Model) setWorkers(now time.Time, msg WorkersMsg) {
	listed := make(map[string]bool, len(msg.Changed))
	moved := false
	for _, w := range msg.Changed {
		listed[w.ID] = true
		moved = m.setWorker(now, w) || moved
	}
	for _, id := range msg.Gone {
		m.unlist(now, id)
	}
	if msg.Whole {
		for id := range m.workers {
			if !listed[id] {
				m.unlist(now, id)
			}
		}
	}
	if moved {
		m.sortWorkers()
	}
}

// setWorker takes in a worker's entry. It reports whether the worker is new or
// lies elsewhere.
func (m *Model) setWorker(now time.Time, entry Worker) bool {
	w, known := m.workers[entry.ID]
	if !known {
		w = newWorker(entry)
		w.clockAt = now
		w.inheritedUntil = m.takenAt
		m.workers[entry.ID] = w
	}
	if known && !entry.Born.IsZero() && entry.Born.Before(w.Born) {
		return false
	}
	if known && !w.Born.IsZero() && entry.Born.After(w.Born) {
		m.reborn(now, w)
	}
	before, listed := w.Worker, w.listed
	w.Worker = entry
	if entry.Draining && !before.Draining {
		w.leavesAt = now.Add(entry.Remaining)
	}
	if entry.Born.IsZero() {
		w.Born = before.Born
	}
	w.listed = true
	if !known || !listed || before.Draining != entry.Draining || before.Capacity != entry.Capacity {
		w.recount()
		m.changed = true
		m.touched = append(m.touched, w)
	}
	return !known || before.Target != entry.Target || before.Domain != entry.Domain || before.Rack != entry.Rack
}

// unlist takes in that the worker's entry is gone. What it runs goes on while
// it answers.
func (m *Model) unlist(now time.Time, id string) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	w.listed = false
	if len(w.runs) == 0 && (w.heard || !now.Before(w.inheritedUntil)) {
		m.forget(w)
	}
}

func (m *Model) forget(w *worker) {
	delete(m.workers, w.ID)
	m.write.rosterChanged = true
	m.sortWorkers()
}

// reborn takes in that the worker has begun a new life. What runs in it is
// known at the next look, since a start may have reached it already.
func (m *Model) reborn(now time.Time, w *worker) {
	w.clock = time.Time{}
	w.leaseUntil = time.Time{}
	w.heard = false
	w.seen, w.durable, w.acked = 0, 0, 0
	w.inheritedUntil = later(w.inheritedUntil, now.Add(m.longestLease()))
	m.lookSoon(now, w)
	m.decide(WorkerLost, nil, w, "started anew")
}

// replaced takes in that another worker answers at the address, so that
// nothing of this one runs any more.
func (m *Model) replaced(now time.Time, w *worker) {
	m.reborn(now, w)
	for _, r := range w.sorted() {
		m.dropRun(now, r, "its worker is gone")
	}
	w.listed = false
	w.inheritedUntil = now
	w.nextLook = now.Add(m.timing.LookRetry)
}

func (m *Model) sortWorkers() {
	m.order = m.order[:0]
	for _, w := range m.workers {
		m.order = append(m.order, w)
	}
	slices.SortFunc(m.order, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	m.racks = m.racks[:0]
	for i, w := range m.order {
		fresh := i == 0 || m.order[i-1].Target != w.Target || m.order[i-1].Domain != w.Domain || m.order[i-1].Rack != w.Rack
		if fresh {
			m.racks = append(m.racks, rack{target: w.Target, domain: w.Domain, name: w.Rack})
		}
		last := &m.racks[len(m.racks)-1]
		last.workers = append(last.workers, w)
	}
}

// recount works out what is free from what is there.
func (w *worker) recount() {
	w.free = sub(w.Capacity, w.reserved)
	for _, r := range w.runs {
		w.free = sub(w.free, r.need)
	}
}

// sorted returns the runs in a fixed order.
func (w *worker) sorted() []*run {
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

// usable reports whether the worker may get new work.
func (m *Model) usable(now time.Time, w *worker) bool {
	switch {
	case !w.listed, !w.heard, !w.rostered, w.Draining, m.out[w.Domain]:
		return false
	case now.Before(w.benchedTo), now.Before(w.avoidTill):
		return false
	default:
		return true
	}
}

// leaseFor returns the deadline on the worker's clock that a renewal sent now
// asks for.
func (m *Model) leaseFor(now time.Time, w *worker) time.Time {
	return w.clock.Add(now.Sub(w.clockAt)).Add(m.timing.Lease)
}

// leaseOver reports whether every lease that the worker may hold has run out
// even if its clock is slow.
func (w *worker) leaseOver(now time.Time) bool {
	if now.Before(w.inheritedUntil) {
		return false
	}
	if w.leaseUntil.IsZero() {
		return true
	}
	passed := time.Duration(float64(now.Sub(w.clockAt)) * (1 - clockDrift))
	return w.clock.Add(passed).After(w.leaseUntil.Add(clockMargin))
}

// heardClock takes in a reading of the worker's clock that cannot be from
// before sentAt.
func (w *worker) heardClock(now time.Time, clock time.Time) {
	if clock.IsZero() {
		return
	}
	if clock.After(w.clock) {
		w.clock = clock
		w.clockAt = now
	}
}

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
	cmd := LookCmd{Worker: w.ID, Address: w.Address, Epoch: m.epoch, Acknowledged: w.durable}
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

// benched counts a failure against the worker that reported it, and takes it
// out of use for a while when it fails one task after the other.
func (m *Model) benched(now time.Time, w *worker, job string) {
	if w.lastFail == job {
		return
	}
	w.lastFail = job
	w.failures++
	if w.failures < failuresBeforeBench {
		return
	}
	pause := min(m.timing.Bench<<min(w.benches, 3), benchLimit)
	w.benchedTo = now.Add(pause)
	w.benches++
	m.decide(WorkerBenched, nil, w, "fails what it starts")
}

// failuresBeforeBench is how many tasks in a row, of different jobs, a worker
// may fail before it gets no more for a while.
const failuresBeforeBench = 2

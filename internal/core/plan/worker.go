package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
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
	// answeredAt is when the newest answer to a look came.
	answeredAt time.Time
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
	speed     speed
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
	if entry.Born.IsZero() {
		entry.Born = w.Born
	}
	if entry.Born.Before(w.Born) {
		return false
	}
	if !w.Born.IsZero() && entry.Born.After(w.Born) {
		m.reborn(now, w)
	}
	before, listed := w.Worker, w.listed
	w.Worker, w.listed = entry, true
	if entry.Draining && !before.Draining {
		w.leavesAt = now.Add(entry.Remaining)
	}
	if !listed || before.Draining != entry.Draining || before.Capacity != entry.Capacity {
		w.recount()
		m.changed = true
		m.touched = append(m.touched, w)
	}
	return !listed || before.liesElsewhere(entry)
}

// liesElsewhere reports whether two entries of a worker differ in where it is.
func (w Worker) liesElsewhere(other Worker) bool {
	return w.Target != other.Target || w.Domain != other.Domain || w.Rack != other.Rack
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
	m.write.roster.dirty[rosterPart(w.ID)] = true
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

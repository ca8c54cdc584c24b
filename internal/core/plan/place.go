package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// passInterval is the longest time between two passes while gangs wait, since
// benches end and deadlines pass without a message.
const passInterval = 200 * time.Millisecond

const (
	// passPause is the least time between two passes, and passPauseEach what a
	// waiting gang adds to it, so that a long queue does not take all the
	// processor.
	passPause     = 3 * time.Millisecond
	passPauseEach = 50 * time.Microsecond
)

// rate works out the size of a new job.
func (m *Model) rate(now time.Time, j *job) {
	for _, s := range j.spec.Steps {
		j.coreSecs += float64(s.Tasks) * cores(s.Need) * float64(s.EstimateMillis) / 1000
	}
	m.learn.submitted(j)
	if j.queue.Priority == 0 && j.attempt == 0 {
		for _, s := range j.spec.Steps {
			m.urgent.add(now, s.Tasks*s.Need.Accelerators)
		}
	}
}

// standing orders gangs by what they can still earn.
type standing int

const (
	earnsWhole standing = iota
	earnsPart
	earnsNothing
)

// ranked is a waiting gang with what it is ordered by.
type ranked struct {
	gang     *gang
	standing standing
	priority int
	startBy  time.Time
}

func (m *Model) rank(now time.Time, g *gang) ranked {
	work := m.expected(g)
	whole, part := m.deadlines(g.job)
	r := ranked{gang: g, priority: g.job.queue.Priority, startBy: whole.Add(-work)}
	switch end := now.Add(work); {
	case !end.After(whole):
		r.standing = earnsWhole
	case !end.After(part):
		r.standing = earnsPart
	default:
		r.standing = earnsNothing
	}
	return r
}

// compareRanked puts urgent work first, within a priority what still earns
// most, then what has to start soonest.
func compareRanked(a, b ranked) int {
	return cmp.Or(
		last(a.standing == earnsNothing, b.standing == earnsNothing),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.standing, b.standing),
		a.startBy.Compare(b.startBy),
		cmp.Compare(a.gang.job.spec.ID, b.gang.job.spec.ID),
		cmp.Compare(a.gang.step, b.gang.step),
		cmp.Compare(a.gang.first, b.gang.first),
	)
}

// last orders what is true behind what is not.
func last(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// demand is what the outcome of a try depends on within one pass.
type demand struct {
	target   string
	need     record.Amount
	size     int
	sameRack bool
	near     string
	label    string
	priority int
	// spreadOver names the job of a step with a limit for each worker, since
	// what is free for it depends on where its tasks are.
	spreadOver string
}

func (r ranked) demand() demand {
	g := r.gang
	s := g.spec()
	d := demand{
		target: g.job.queue.Target, need: s.Need, size: g.size, sameRack: s.SameRack && g.size > 1,
		near: s.NearRack, label: s.Label, priority: r.priority,
	}
	if s.SpreadLimit > 0 {
		d.spreadOver = g.job.spec.ID
	}
	return d
}

// pass tries every waiting gang once, in order of rank.
func (m *Model) pass(now time.Time) {
	if !m.loaded || len(m.queue) == 0 || now.Before(m.nextPass) && (!m.changed || now.Before(m.soonestPass)) {
		return
	}
	m.changed = false
	m.nextPass = now.Add(passInterval)
	m.soonestPass = now.Add(passPause + time.Duration(len(m.queue))*passPauseEach)
	m.expireClaims(now)
	m.refreshView(now)
	order := make([]ranked, 0, len(m.queue))
	for _, g := range m.queue {
		order = append(order, m.rankOf(now, g))
	}
	slices.SortFunc(order, compareRanked)
	failed := map[demand]struct{}{}
	for _, r := range order {
		m.try(now, r, failed)
	}
}

func (m *Model) try(now time.Time, r ranked, failed map[demand]struct{}) {
	g := r.gang
	d := r.demand()
	if _, done := failed[d]; done {
		return
	}
	if places := m.find(now, g, nil); places != nil && m.leavesHeadroom(now, r, places) {
		m.dequeue(g)
		m.place(now, g, places)
		return
	}
	if r.priority == 0 && m.preempt(now, g) {
		return
	}
	m.claim(now, r)
	if len(g.failedOn) == 0 {
		failed[d] = struct{}{}
	}
}

// room is what is free on workers, as it is or as it would be.
type room struct {
	free map[*worker]record.Amount
}

// at returns what is free on the worker for others than reserved gangs.
func (r *room) at(w *worker) record.Amount {
	if r != nil {
		if free, ok := r.free[w]; ok {
			return free
		}
	}
	return w.free
}

// find returns a worker for each task of the gang, or nil. room says what is
// free where it differs from what the workers have.
func (m *Model) find(now time.Time, g *gang, rm *room) []*worker {
	s := g.spec()
	if s.NearRack != "" {
		if places := m.findIn(now, g, rm, m.near(g)); places != nil {
			return places
		}
		if !m.mayLeaveData(now, g) {
			return nil
		}
	}
	if s.SameRack && g.size > 1 {
		for _, rk := range m.byRoom(now, g, rm) {
			if places := m.findIn(now, g, rm, rk.workers); places != nil {
				return places
			}
		}
		if m.rackCanHold(g) && !m.mayLeaveData(now, g) {
			return nil
		}
	}
	return m.findIn(now, g, rm, m.view.usable[g.job.queue.Target])
}

// near returns the workers of the rack that holds the gang's data.
func (m *Model) near(g *gang) []*worker {
	for _, rk := range m.racks {
		if rk.name == g.spec().NearRack && rk.target == g.job.queue.Target {
			return rk.workers
		}
	}
	return nil
}

// mayLeaveData reports whether a gang may take places where it takes several
// times as long: only while most of the room is free, since it would hold it
// for so much longer.
func (m *Model) mayLeaveData(now time.Time, g *gang) bool {
	if now.Sub(g.readyAt) < leaveDataAfter {
		return false
	}
	used, all := 0, 0
	for _, w := range m.view.usable[g.job.queue.Target] {
		all += w.Capacity.Accelerators
		used += w.Capacity.Accelerators - w.free.Accelerators
	}
	return float64(used) < leaveDataUse*float64(all)
}

const (
	// leaveDataAfter is how long a gang waits for the better places at least.
	leaveDataAfter = time.Second
	// leaveDataUse is the part of the room in use up to which it goes elsewhere.
	leaveDataUse = 0.55
)

// byRoom returns the racks in which the gang fits, fullest first.
func (m *Model) byRoom(now time.Time, g *gang, rm *room) []rack {
	type fit struct {
		rack  rack
		spare int
	}
	var fitting []fit
	for _, rk := range m.racks {
		if rk.target != g.job.queue.Target {
			continue
		}
		slots := 0
		for _, w := range rk.workers {
			slots += m.slots(now, g, w, rm)
		}
		if slots >= g.size {
			fitting = append(fitting, fit{rk, slots})
		}
	}
	slices.SortStableFunc(fitting, func(a, b fit) int { return cmp.Compare(a.spare, b.spare) })
	racks := make([]rack, len(fitting))
	for i, c := range fitting {
		racks[i] = c.rack
	}
	return racks
}

// rackCanHold reports whether any one rack could hold the gang if it were empty.
func (m *Model) rackCanHold(g *gang) bool {
	for _, rk := range m.racks {
		if rk.target != g.job.queue.Target {
			continue
		}
		slots := slotsOf(g, rk.workers)
		if slots >= g.size {
			return true
		}
	}
	return false
}

// slots returns how many tasks of the gang the worker may take now.
func (m *Model) slots(now time.Time, g *gang, w *worker, rm *room) int {
	if w.Target != g.job.queue.Target || !m.usable(now, w) || g.failedOn[w.ID] && !m.view.few {
		return 0
	}
	if w.claimedByOther(g) || w.slow(now) && !m.view.few {
		return 0
	}
	s := g.spec()
	if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return 0
	}
	n := times(s.Need, rm.at(w))
	if s.SpreadLimit > 0 {
		n = min(n, max(0, s.SpreadLimit-m.onWorker(g, w)))
	}
	return n
}

// onWorker counts the tasks of the gang's step that are on the worker.
func (m *Model) onWorker(g *gang, w *worker) int {
	n := 0
	for t := range w.runs {
		if t.Job == g.job.spec.ID && t.Step == g.step && t.Occurrence == g.occurrence {
			n++
		}
	}
	return n
}

// candidate is a worker that may take some tasks of a gang.
type candidate struct {
	worker *worker
	slots  int
	left   record.Amount
}

// order returns how candidates for a gang are compared: urgent work goes to
// fast workers first, other work to slow ones, and both to those that have
// least room to spare.
func order(g *gang) func(a, b candidate) int {
	if g.job.queue.Priority == 0 {
		return func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.worker.speed.class(), a.worker.speed.class()), compareLeft(a, b))
		}
	}
	return func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.worker.speed.class(), b.worker.speed.class()), compareLeft(a, b))
	}
}

// compareLeft puts workers first that have least room to spare.
func compareLeft(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.slots, b.slots),
		cmp.Compare(a.left.Accelerators, b.left.Accelerators),
		cmp.Compare(a.left.MilliCores, b.left.MilliCores),
	)
}

// findIn looks for places on the given workers: the ones with least room to
// spare first, so that whole workers stay free for large tasks.
func (m *Model) findIn(now time.Time, g *gang, rm *room, workers []*worker) []*worker {
	var candidates []candidate
	total := 0
	for _, w := range workers {
		n := m.slots(now, g, w, rm)
		if n == 0 {
			continue
		}
		candidates = append(candidates, candidate{w, n, rm.at(w)})
		total += n
	}
	if total < g.size {
		return nil
	}
	if g.size == 1 {
		best := slices.MinFunc(candidates, order(g))
		return []*worker{best.worker}
	}
	slices.SortStableFunc(candidates, order(g))
	places := make([]*worker, 0, g.size)
	for _, c := range candidates {
		for range min(c.slots, g.size-len(places)) {
			places = append(places, c.worker)
		}
		if len(places) == g.size {
			return places
		}
	}
	return nil
}

package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// resources lists what a worker has, and how to read an amount of it.
var resources = []struct {
	name record.Resource
	of   func(record.Amount) int
}{
	{record.Accelerators, func(a record.Amount) int { return a.Accelerators }},
	{record.MilliCores, func(a record.Amount) int { return a.MilliCores }},
	{record.MemoryMb, func(a record.Amount) int { return a.MemoryMB }},
}

// targetLoad forecasts the starts of a target's waiting gangs and of new jobs. It does
// so for the scarcest resource alone and regardless of racks, labels and claims, so
// that a job may start later than forecast but hardly sooner.
type targetLoad struct {
	m        *Model
	now      time.Time
	target   string
	resource record.Resource
	of       func(record.Amount) int
	// waiting holds the target's waiting gangs in their order.
	waiting  []waitingGang
	starting map[*gang]bool
	// sizes holds a small, a middle and a large size of a first start.
	sizes []int
	loads map[string]record.QueueLength
}

// targetLoads returns what waits in each of the target's queues, and the delays of new
// jobs there.
func (m *Model) targetLoads(now time.Time, target string, ranked []rankedGang, starting map[*gang]bool) map[string]record.QueueLength {
	l := &targetLoad{m: m, now: now, target: target, starting: starting, loads: map[string]record.QueueLength{}}
	for _, r := range ranked {
		if r.gang.job.queue.Target == target {
			_, partial := m.deadlines(r.gang.job)
			l.waiting = append(l.waiting, waitingGang{r, m.expectedDuration(r.gang), partial})
		}
	}
	if len(l.waiting) == 0 {
		return nil
	}
	l.findScarcest()
	l.findSizes()
	l.addDemand()
	urgent, others := l.capacityForecast(true), l.capacityForecast(false)
	for _, q := range m.config.Queues {
		switch {
		case q.Target != target:
		case q.Priority == 0:
			l.addDelays(q, urgent)
		default:
			l.addDelays(q, others)
		}
	}
	return l.loads
}

// waitingGang is a waiting gang with its sort keys, how long it is expected to run and
// when it has to end to be of use.
type waitingGang struct {
	rankedGang
	duration time.Duration
	partial  time.Time
}

// findScarcest finds the resource of which the work at hand takes the largest share.
func (l *targetLoad) findScarcest() {
	var capacity, demand record.Amount
	for _, w := range l.m.view.usable[l.target] {
		capacity = amount.Add(capacity, w.Capacity)
		demand = amount.Add(demand, amount.Sub(w.Capacity, w.free))
	}
	for _, r := range l.waiting {
		demand = amount.Add(demand, amount.Times(r.gang.need(), r.gang.size))
	}
	share := -1.0
	for _, r := range resources {
		if s := float64(r.of(demand)) / float64(max(1, r.of(capacity))); s > share && r.of(capacity) > 0 {
			l.resource, l.of, share = r.name, r.of, s
		}
	}
	if l.of == nil {
		l.resource, l.of = resources[0].name, resources[0].of
	}
}

// findSizes finds the least task, the middle gang and the largest gang that wait.
func (l *targetLoad) findSizes() {
	var tasks, gangs []int
	for _, r := range l.waiting {
		if n := l.of(r.gang.need()); n > 0 {
			tasks = append(tasks, n)
			gangs = append(gangs, n*r.gang.size)
		}
	}
	if len(gangs) == 0 {
		return
	}
	slices.Sort(gangs)
	l.sizes = slices.Compact([]int{slices.Min(tasks), gangs[len(gangs)/2], gangs[len(gangs)-1]})
}

// addDemand adds what waits by queue, and how long it is expected to run.
func (l *targetLoad) addDemand() {
	expected, estimated := map[string]time.Duration{}, map[string]time.Duration{}
	for _, r := range l.waiting {
		g := r.gang
		queue := g.job.spec.Queue
		expected[queue] += r.duration
		estimated[queue] += g.estimate()
		load := l.loads[queue]
		load.Resource = l.resource
		load.AcceleratorSeconds += int64(float64(g.size*g.need().Accelerators) * r.duration.Seconds())
		l.loads[queue] = load
	}
	for queue, load := range l.loads {
		if estimated[queue] > 0 {
			load.RunPercent = int(min(maxRunPercent, max(1, 100*expected[queue]/estimated[queue])))
			l.loads[queue] = load
		}
	}
}

// capacityForecast returns the forecast without any waiting gang. If urgent is set, the
// capacity that other than urgent work uses counts as free: that work can be preempted,
// so only urgent work delays urgent work.
func (l *targetLoad) capacityForecast(urgent bool) *capacityForecast {
	f := &capacityForecast{found: map[span]int{}}
	for _, w := range l.m.sortedWorkers {
		if w.Target != l.target || !w.listed || !w.synced || !w.inRoster || w.Draining || l.m.outOfService[w.Domain] {
			continue
		}
		usableFrom := 0
		until := later(w.quarantinedUntil, w.starts.openUntil)
		if w.outOfTouchFor(l.now, l.m.timing.SilenceLimit) {
			until = later(until, l.now.Add(l.m.timing.SilenceLimit))
		}
		if until.After(l.now) {
			usableFrom = stepAfter(until.Sub(l.now))
		}
		f.release(max(0, l.of(w.free)), usableFrom)
		for _, r := range w.runs {
			if ends, from := l.runEnds(r, urgent); ends {
				f.release(l.of(r.need), max(usableFrom, from))
			}
		}
	}
	for g := range l.m.active.All() {
		if g.phase == reserved && g.job.queue.Target == l.target {
			f.release(g.size*l.of(g.need()), stepAfter(l.m.timing.TaskStop+l.m.expectedDuration(g)))
		}
	}
	return f
}

// runEnds reports whether and in which step a run is expected to make way.
func (l *targetLoad) runEnds(r *run, urgent bool) (bool, int) {
	switch {
	case r.gang == nil, urgent && r.gang.job.queue.Priority > 0:
		return true, 0
	case r.phase == terminating:
		return true, stepAfter(l.m.timing.TaskStop)
	case r.gang.spec().Perpetual:
		return false, 0
	default:
		return true, stepAfter(l.m.expectedEnd(l.now, r).Sub(l.now))
	}
}

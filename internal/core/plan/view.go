package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/share"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// passView holds what a placement pass computes once for all gangs.
type passView struct {
	// usable holds the workers that may get new work, by target.
	usable map[string][]*worker
	// reachable holds these workers and those that are set aside, and spare the targets
	// of which less than half of the capacity is in use.
	reachable map[string][]*worker
	spare     map[string]bool
	// scarce is set when fewer than half of all workers are usable and not
	// slow. Gangs may then be placed on slow workers and on those where they
	// have failed.
	scarce bool
	// free is the number of free accelerators on usable workers, and idle the
	// number of usable workers without a run.
	free, idle int
	// urgentDemand is the number of accelerators of urgent jobs by team.
	urgentDemand map[string]int
	// ranks caches the sort keys of each step, which its gangs share.
	ranks map[rankKey]rankedGang
	// waitingWeight is the value of a core-second to the work that waits.
	waitingWeight float64
	// mostUrgent is the highest priority of the gangs that could not be placed in the
	// pass, by target.
	mostUrgent map[string]int
	// cores is the capacity of the usable workers by target, in equivalents of cores.
	cores map[string]float64
	// capacity is that of all usable workers.
	capacity record.Amount
	// shares holds what each team may hold before its work comes after that of others.
	shares share.Shares
	// heldForLimit counts the gangs of each team that wait only for its limit.
	heldForLimit map[string]int
	// preemptTries counts the searches for a preemption in the pass, and reclaimTries those
	// that have to meet a guarantee.
	preemptTries, reclaimTries int
}

// rankKey identifies a step of a job.
type rankKey struct {
	job  *job
	step int
}

// refreshView computes the view for the next pass.
func (m *Model) refreshView(now time.Time) {
	v := passView{
		usable:       map[string][]*worker{},
		reachable:    map[string][]*worker{},
		spare:        map[string]bool{},
		urgentDemand: map[string]int{},
		ranks:        map[rankKey]rankedGang{},
		heldForLimit: map[string]int{},
		cores:        map[string]float64{},
		mostUrgent:   map[string]int{},
	}
	m.reviewRisk(now)
	good := 0
	var capacity record.Amount
	used := map[string]float64{}
	for _, w := range m.sortedWorkers {
		if m.reachable(now, w) {
			v.reachable[w.Target] = append(v.reachable[w.Target], w)
		}
		if !m.usable(now, w) {
			continue
		}
		used[w.Target] += amount.CoreEquivalents(amount.Sub(w.Capacity, w.free))
		v.usable[w.Target] = append(v.usable[w.Target], w)
		v.cores[w.Target] += amount.CoreEquivalents(w.Capacity)
		capacity = amount.Add(capacity, w.Capacity)
		v.free += max(0, w.free.Accelerators)
		if len(w.runs) == 0 {
			v.idle++
		}
		if !w.slow(now) {
			good++
		}
	}
	for target, cores := range v.cores {
		v.spare[target] = used[target] < cores/2
	}
	v.scarce = good < len(m.sortedWorkers)/2
	for _, j := range m.jobs {
		if j.queue.Priority != 0 {
			continue
		}
		for _, s := range j.spec.Steps {
			v.urgentDemand[j.spec.Team] += s.Tasks * s.Need.Accelerators
		}
	}
	v.capacity = capacity
	v.shares = m.newShares(capacity)
	m.view = v
	m.view.waitingWeight = m.waitingWeight(now)
}

// rankOf returns the gang's sort keys, computing them once for all gangs of its
// step.
func (m *Model) rankOf(now time.Time, g *gang) rankedGang {
	key := rankKey{g.job, g.step}
	r, known := m.view.ranks[key]
	if !known {
		r = m.rank(now, g)
		m.view.ranks[key] = r
	}
	r.gang = g
	return r
}

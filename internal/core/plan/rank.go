package plan

import (
	"cmp"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// recordDemand computes the size of a new job, counts it against its team's rate and
// adds it to the rate of urgent arrivals unless it is beyond its team's rate.
func (m *Model) recordDemand(now time.Time, j *job) {
	for _, s := range j.spec.Steps {
		j.coreSeconds += float64(s.Tasks) * amount.CoreEquivalents(s.Need) * float64(s.EstimateMillis) / 1000
	}
	m.countSubmission(j)
	if j.queue.Priority == 0 && j.attempt == 0 && !m.beyondRate(j) {
		for _, s := range j.spec.Steps {
			m.urgent.add(now, s.Tasks*s.Need.Accelerators)
		}
	}
}

// lateness is how much of its value a gang's job can still have.
type lateness int

const (
	// onTime gangs are expected to end in time for the full value.
	onTime lateness = iota
	// late gangs are expected to end in time for a part of the value.
	late
	// tooLate gangs are expected to end after their job has lost its value.
	tooLate
)

// rankedGang is a waiting gang with its sort keys.
type rankedGang struct {
	gang     *gang
	lateness lateness
	priority int
	// startBy is the latest start with which the gang ends on time.
	startBy time.Time
	// beyondRate gangs belong to jobs that exceed their team's rate, aboveShare ones to
	// teams that hold more than their share.
	beyondRate, aboveShare bool
	// ageing moves a gang forward that has waited long.
	ageing ageing
}

// rank computes the sort keys of a waiting gang.
func (m *Model) rank(now time.Time, g *gang) rankedGang {
	work := m.expectedDuration(g)
	full, partial := m.deadlines(g.job)
	r := rankedGang{
		gang: g, priority: g.job.queue.Priority, startBy: full.Add(-work),
		beyondRate: m.beyondRate(g.job), aboveShare: m.aboveShare(g.job.spec.Team),
	}
	switch end := now.Add(work); {
	case !end.After(full):
		r.lateness = onTime
	case !end.After(partial):
		r.lateness = late
	default:
		r.lateness = tooLate
	}
	return r
}

// tier is the first sort key of a waiting gang: starved gangs, then urgent ones
// that still have value, then overdue ones, then all others.
func (r rankedGang) tier() int {
	switch {
	case r.ageing == starved:
		return 0
	case r.priority == 0 && r.lateness != tooLate && !r.beyondRate:
		return 1
	case r.ageing == overdue:
		return 2
	default:
		return 3
	}
}

// band holds the sort keys that go before the shares of teams.
type band struct {
	tier, priority      int
	tooLate, beyondRate bool
}

func (r rankedGang) band() band {
	return band{r.tier(), r.priority, r.lateness == tooLate, r.beyondRate}
}

// compareRanked orders gangs by tier. Within that it puts starved and overdue gangs in
// order of their age, and orders urgent ones and the others by priority, then by their team's share, by lateness
// and by their latest start. Gangs that are too late come last whatever their priority,
// and those beyond their team's rate just before them.
func compareRanked(a, b rankedGang) int {
	if a.tier() != b.tier() {
		return cmp.Compare(a.tier(), b.tier())
	}
	if t := a.tier(); t == 0 || t == 2 {
		return cmp.Or(a.gang.readyAt.Compare(b.gang.readyAt), compareTasks(a.gang, b.gang))
	}
	return cmp.Or(
		falseFirst(a.lateness == tooLate, b.lateness == tooLate),
		falseFirst(a.beyondRate, b.beyondRate),
		cmp.Compare(a.priority, b.priority),
		falseFirst(a.aboveShare, b.aboveShare),
		cmp.Compare(a.lateness, b.lateness),
		a.startBy.Compare(b.startBy),
		compareTasks(a.gang, b.gang),
	)
}

// compareTasks orders gangs by job, occurrence, step and first task.
func compareTasks(a, b *gang) int {
	return cmp.Or(
		cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		cmp.Compare(a.occurrence, b.occurrence),
		cmp.Compare(a.step, b.step),
		cmp.Compare(a.first, b.first),
	)
}

// falseFirst orders false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// placementKey holds everything that decides whether a gang can be placed in
// the current pass, apart from the workers on which the gang has failed before.
type placementKey struct {
	target   string
	need     record.Amount
	size     int
	sameRack bool
	near     string
	label    string
	priority int
	// waitedForRack is set for a gang that may give up its locality.
	waitedForRack bool
	// spreadLimit is the step's limit for each worker. spreadJob is the job of such a
	// step if it may have tasks on workers already, on which its capacity then depends.
	spreadLimit int
	spreadJob   string
	// isolatedJob is the job of a gang with crashes, which may use only workers that run
	// nothing of another job.
	isolatedJob string
	// risk decides which workers are too risky for the gang.
	risk riskLimits
}

func (r rankedGang) placementKey(now time.Time) placementKey {
	g := r.gang
	s := g.spec()
	key := placementKey{
		target: g.job.queue.Target, need: s.Need, size: g.size, sameRack: s.SameRack && g.size > 1,
		near: s.NearRack, label: s.Label, priority: r.priority,
	}
	if key.near != "" || key.sameRack {
		key.waitedForRack = g.waitedForRack(now)
	}
	if s.SpreadLimit > 0 {
		key.spreadLimit = s.SpreadLimit
	}
	if s.SpreadLimit > 0 && (!s.Gang || g.attempt > 0) {
		key.spreadJob = g.job.spec.ID
	}
	if len(g.crashes) > 0 {
		key.isolatedJob = g.job.spec.ID
	}
	return key
}

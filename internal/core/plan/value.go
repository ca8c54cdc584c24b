package plan

import (
	"math"
	"time"
)

// ValuePolicy says what work is worth to its callers. The unit of value is one
// core-second of urgent work that ends in time.
type ValuePolicy struct {
	// PriorityRatio is how many core-seconds of one priority count as much as one of the
	// priority before it.
	PriorityRatio float64
	// LateShare is the share of its value that a job keeps when it ends late.
	LateShare float64
	// LateLimit is the ratio of the time until a late job is of no use to the time in
	// which it would have been in time.
	LateLimit float64
}

// DefaultValuePolicy returns the policy where the settings say nothing.
func DefaultValuePolicy() ValuePolicy {
	return ValuePolicy{PriorityRatio: 2, LateShare: 0.5, LateLimit: 3}
}

// weight returns the value of a core-second of work of the priority.
func (v ValuePolicy) weight(priority int) float64 {
	return math.Pow(v.PriorityRatio, -float64(priority))
}

// fullValue returns the value of the job if it completes in time.
func (m *Model) fullValue(j *job) float64 {
	return m.policy.Value.weight(j.queue.Priority) * j.coreSeconds
}

// deadlines returns when a job has to end to have its full value, and when to
// have a part of it.
func (m *Model) deadlines(j *job) (full, partial time.Time) {
	begin := j.acceptedAt
	if !j.spec.FirstDueAt.IsZero() {
		begin = j.spec.FirstDueAt
	}
	span := time.Duration(j.queue.Stretch*float64(m.criticalPath(j))) + j.queue.Objective
	return begin.Add(span), begin.Add(time.Duration(m.policy.Value.LateLimit * float64(span)))
}

// criticalPath returns the expected duration of the job's longest chain of
// dependent steps.
func (m *Model) criticalPath(j *job) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for i, s := range j.spec.Steps {
		var begin time.Duration
		for _, a := range s.After {
			if a < i {
				begin = max(begin, ends[a])
			}
		}
		ends[i] = begin + m.expectedStepDuration(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// valueAt returns the value of the job if it ends at the given time.
func (m *Model) valueAt(j *job, end time.Time) float64 {
	full, partial := m.deadlines(j)
	switch {
	case !end.After(full):
		return m.fullValue(j)
	case !end.After(partial):
		return m.policy.Value.LateShare * m.fullValue(j)
	default:
		return 0
	}
}

// lostWorkCost returns the value of the work that is lost if the gang is stopped now:
// what the gang needs again, and work that waits does not get meanwhile.
func (m *Model) lostWorkCost(now time.Time, g *gang) float64 {
	spent := now.Sub(g.placedAt)
	if g.spec().SavesProgress {
		spent = min(spent, m.timing.CheckpointEvery/2) + m.timing.Restore
	}
	return g.coreEquivalents() * spent.Seconds() * max(m.policy.Value.weight(g.job.queue.Priority), m.view.waitingWeight)
}

// waitingWeight returns the mean value of a core-second of the waiting work that is not
// urgent and not too late, or 0 if there is none.
func (m *Model) waitingWeight(now time.Time) float64 {
	value, work := 0.0, 0.0
	for _, g := range m.queue {
		if g.job.queue.Priority == 0 || m.rankOf(now, g).lateness == tooLate {
			continue
		}
		cores := g.coreEquivalents()
		value += cores * m.policy.Value.weight(g.job.queue.Priority)
		work += cores
	}
	if work == 0 {
		return 0
	}
	return value / work
}

// preemptionCost returns the cost of stopping the gang: the lost work, and the
// value its job loses by restarting. It rises with each preemption of the gang,
// so that no gang is preempted again and again.
func (m *Model) preemptionCost(now time.Time, g *gang) float64 {
	total, left := m.expectedWhole(now, g)
	redo := total
	if g.spec().SavesProgress {
		redo = left + m.timing.Restore
	}
	undisturbedEnd := now.Add(left)
	restartedEnd := now.Add(redo + m.timing.TaskStop + restartWait)
	cost := m.lostWorkCost(now, g) + m.valueAt(g.job, undisturbedEnd) - m.valueAt(g.job, restartedEnd)
	return cost * float64(1+g.preemptions)
}

// restartWait is how long a stopped gang is expected to wait for new places.
const restartWait = 1500 * time.Millisecond

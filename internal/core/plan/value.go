package plan

import "time"

// The values are relative; only their proportions matter.

// worthByPriority is what a mean job of each priority earns when it is
// completed in time.
var worthByPriority = []float64{4, 3, 1}

const (
	// lateShare is the part of it that a late job still earns.
	lateShare = 0.25
	// fixedShare is the part that does not depend on the job's size.
	fixedShare = 0.3
	// mostSizes bounds how many times the mean a job may earn.
	mostSizes = 4
	// lossPrice is what a core-second of work thrown away costs.
	lossPrice = 0.0018
	// partialCredit is how many times the whole objective a job still earns some.
	partialCredit = 3
)

// worth returns what the job earns when it is completed in time.
func (m *Model) worth(j *job) float64 {
	base := worthByPriority[min(max(j.queue.Priority, 0), len(worthByPriority)-1)]
	size := 1.0
	if mean := m.learn.of(j.spec.Queue).size.value; mean > 0 {
		size = j.coreSecs / mean
	}
	return base * min(mostSizes, fixedShare+(1-fixedShare)*size)
}

// deadlines returns until when a job earns its whole worth and until when it
// earns some.
func (m *Model) deadlines(j *job) (whole, part time.Time) {
	begin := j.since
	if !j.spec.FirstDueAt.IsZero() {
		begin = j.spec.FirstDueAt
	}
	span := time.Duration(j.queue.Stretch*float64(m.chain(j))) + j.queue.Objective
	return begin.Add(span), begin.Add(partialCredit * span)
}

// chain returns the longest chain of work of the job as it is expected.
func (m *Model) chain(j *job) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for i, s := range j.spec.Steps {
		var begin time.Duration
		for _, a := range s.After {
			if a < i {
				begin = max(begin, ends[a])
			}
		}
		ends[i] = begin + m.expectedStep(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// earns returns what a gang's job earns if the gang starts at a time.
func (m *Model) earns(j *job, end time.Time) float64 {
	whole, part := m.deadlines(j)
	switch {
	case !end.After(whole):
		return m.worth(j)
	case !end.After(part):
		return lateShare * m.worth(j)
	default:
		return 0
	}
}

// thrown returns what the work that stopping the gang throws away costs.
func (m *Model) thrown(now time.Time, g *gang) float64 {
	spent := now.Sub(g.startedAt)
	if g.spec().SavesProgress {
		spent = min(spent, m.timing.CheckpointEvery/2) + m.timing.Restore
	}
	return float64(g.size) * cores(g.need()) * spent.Seconds() * lossPrice
}

// lossOf returns what stopping the gang costs: the work thrown away, and what
// its job earns less if it has to start again. It is dearer each time, so that
// no work is stopped for ever.
func (m *Model) lossOf(now time.Time, g *gang) float64 {
	work := m.expected(g)
	left := max(0, work-now.Sub(g.startedAt))
	again := work
	if g.spec().SavesProgress {
		again = left + m.timing.Restore
	}
	goesOn := now.Add(left)
	restarted := now.Add(again + m.timing.TaskStop + restartWait)
	loss := m.thrown(now, g) + m.earns(g.job, goesOn) - m.earns(g.job, restarted)
	return loss * float64(1+g.preempted)
}

// restartWait is how long a gang that lost its places is thought to wait.
const restartWait = 1500 * time.Millisecond

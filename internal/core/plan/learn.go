package plan

import (
	"math"
	"strconv"
	"time"
)

// learner learns from ends how long tasks of a queue take, how far its
// estimates can be trusted and how large its jobs are.
type learner struct {
	queues map[string]*taskTimes
}

// taskTimes is what was learned of one queue.
type taskTimes struct {
	// taken is the mean time from the start to the end of a gang, in seconds.
	taken mean
	// ratio is the mean of the time taken against the estimate.
	ratio mean
	// miss is the mean distance of that ratio from its mean.
	miss mean
	// size is the mean of a job's work in core-seconds, by its estimates.
	size mean
}

// mean is a running mean that slowly forgets.
type mean struct {
	value float64
	count int
}

// learnWeight is the weight of one more observation once many were made.
const learnWeight = 0.03

func (a *mean) add(x float64) {
	a.count++
	a.value += max(learnWeight, 1/float64(a.count)) * (x - a.value)
}

func newLearner() learner {
	return learner{queues: map[string]*taskTimes{}}
}

func (l *learner) of(queue string) *taskTimes {
	t := l.queues[queue]
	if t == nil {
		t = &taskTimes{}
		l.queues[queue] = t
	}
	return t
}

// submitted takes in the size of a new job.
func (l *learner) submitted(j *job) {
	l.of(j.spec.Queue).size.add(j.coreSecs)
}

// ended takes in that a gang that started here is done.
func (l *learner) ended(now time.Time, g *gang) {
	estimate := g.estimate()
	if g.together.IsZero() || estimate <= 0 || g.resumed || g.away {
		return
	}
	t := l.of(g.job.spec.Queue)
	taken := now.Sub(g.together).Seconds()
	ratio := taken / estimate.Seconds()
	if t.ratio.count > 0 {
		t.miss.add(math.Abs(ratio/t.ratio.value - 1))
	}
	t.taken.add(taken)
	t.ratio.add(ratio)
}

// trustedAfter is how many ends it takes until what was learned is used alone.
const trustedAfter = 8

// expect returns the seconds that a task with the estimate is thought to take:
// between what its estimate and what its queue says, by how well estimates of
// the queue did so far.
func (t *taskTimes) expect(estimate time.Duration) float64 {
	own := estimate.Seconds()
	if t.ratio.count == 0 {
		return own
	}
	trust := 1 / (1 + 4*t.miss.value*t.miss.value)
	learned := trust*own*t.ratio.value + (1-trust)*t.taken.value
	share := min(1, float64(t.ratio.count)/trustedAfter)
	return share*learned + (1-share)*own
}

// trustedMiss is the mean miss up to which estimates tell a slow worker from a
// long task.
const trustedMiss = 0.45

// trusted reports whether estimates of the queue are known to be good.
func (t *taskTimes) trusted() bool {
	return t.ratio.count >= trustedAfter && t.miss.value < trustedMiss
}

func (g *gang) estimate() time.Duration {
	return time.Duration(g.spec().EstimateMillis) * time.Millisecond
}

// expected returns how long a task of the gang is thought to take.
func (m *Model) expected(g *gang) time.Duration {
	return m.expectedStep(g.job, g.step)
}

func (m *Model) expectedStep(j *job, step int) time.Duration {
	estimate := time.Duration(j.spec.Steps[step].EstimateMillis) * time.Millisecond
	return time.Duration(m.learn.of(j.spec.Queue).expect(estimate) * float64(time.Second))
}

// stallAfter is how long a run at work may show the same percent. Work moves
// on by a percent in far less.
const stallAfter = 1200 * time.Millisecond

// checkProgress ends an attempt that stands still.
func (m *Model) checkProgress(now time.Time, g *gang) {
	if !g.whole() || g.spec().Perpetual {
		return
	}
	if m.leaveDraining(now, g) || m.moveSlow(now, g) {
		return
	}
	patience := stallAfter
	if g.resumed {
		patience += m.timing.Restore
	}
	for _, r := range g.runs {
		// A member that has done its part waits for the others.
		if r.percent < wholeWork && r.worker.lookedAt.After(r.percentAt.Add(patience)) {
			m.benched(now, r.worker, g.job.spec.ID)
			r.worker.benchedTo = later(r.worker.benchedTo, now.Add(m.timing.Bench))
			m.breakUp(now, g, "stands still at "+r.worker.ID+", "+strconv.Itoa(r.percent)+"% for "+now.Sub(r.percentAt).String())
			return
		}
	}
}

package plan

import (
	"math"
	"time"
)

// durationEstimator learns from ended gangs how long tasks of a queue take and how
// accurate the queue's estimates are.
type durationEstimator struct {
	queues map[string]*queueStats
}

// queueStats is what was learned about one queue.
type queueStats struct {
	// duration is the mean time, in seconds, from when all members of a gang
	// were running to its end.
	duration runningMean
	// ratio is the mean ratio of that time to the estimate.
	ratio runningMean
	// deviation is the mean relative deviation from that ratio.
	deviation runningMean
}

// runningMean is a mean that gives more weight to newer observations.
type runningMean struct {
	value float64
	count int
}

// minMeanWeight is the least weight of a new observation.
const minMeanWeight = 0.03

func (a *runningMean) add(x float64) {
	a.count++
	a.value += max(minMeanWeight, 1/float64(a.count)) * (x - a.value)
}

func newDurationEstimator() durationEstimator {
	return durationEstimator{queues: map[string]*queueStats{}}
}

func (e *durationEstimator) forQueue(queue string) *queueStats {
	s := e.queues[queue]
	if s == nil {
		s = &queueStats{}
		e.queues[queue] = s
	}
	return s
}

// observeEnd adds the duration of a gang that is done. Gangs that resumed from
// a checkpoint or ran with poor locality are left out.
func (e *durationEstimator) observeEnd(now time.Time, g *gang) {
	estimate := g.estimate()
	if g.allRunningAt.IsZero() || estimate <= 0 || g.resumed || g.poorLocality {
		return
	}
	s := e.forQueue(g.job.spec.Queue)
	taken := now.Sub(g.allRunningAt).Seconds()
	ratio := taken / estimate.Seconds()
	if s.ratio.count > 0 {
		s.deviation.add(math.Abs(ratio/s.ratio.value - 1))
	}
	s.duration.add(taken)
	s.ratio.add(ratio)
}

// trustedSamples is the number of ends after which only learned values are
// used.
const trustedSamples = 8

// expectedSeconds returns how long a task with the estimate is expected to
// take. The result lies between the estimate, corrected by the queue's mean
// ratio, and the queue's mean duration: the more accurate the queue's estimates
// were so far, the nearer to the former.
func (s *queueStats) expectedSeconds(estimate time.Duration) float64 {
	own := estimate.Seconds()
	if s.ratio.count == 0 {
		return own
	}
	trust := 1 / (1 + 4*s.deviation.value*s.deviation.value)
	learned := trust*own*s.ratio.value + (1-trust)*s.duration.value
	share := min(1, float64(s.ratio.count)/trustedSamples)
	return share*learned + (1-share)*own
}

// trustedDeviation is the deviation below which estimates can
// distinguish a slow worker from a long task.
const trustedDeviation = 0.45

// trusted reports whether the queue's estimates are known to be accurate.
func (s *queueStats) trusted() bool {
	return s.ratio.count >= trustedSamples && s.deviation.value < trustedDeviation
}

// estimate returns the submitter's estimate for a task of the gang.
func (g *gang) estimate() time.Duration {
	return time.Duration(g.spec().EstimateMillis) * time.Millisecond
}

// expectedDuration returns how long a task of the gang is expected to take.
func (m *Model) expectedDuration(g *gang) time.Duration {
	return m.expectedStepDuration(g.job, g.step)
}

func (m *Model) expectedStepDuration(j *job, step int) time.Duration {
	if work, known := m.learnedDuration(&j.spec, step, orderQuantile); known {
		return work
	}
	estimate := time.Duration(j.spec.Steps[step].EstimateMillis) * time.Millisecond
	return time.Duration(m.estimator.forQueue(j.spec.Queue).expectedSeconds(estimate) * float64(time.Second))
}

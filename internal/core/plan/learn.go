package plan

import "time"

// learner learns from ends how long tasks of a queue take.
type learner struct {
	queues map[string]*taskTimes
}

// taskTimes is what was learned of one queue.
type taskTimes struct {
	// ratio is the mean of the time taken against the estimate.
	ratio float64
	count int
}

// learnWeight is the weight of one more observation once many were made.
const learnWeight = 0.05

func newLearner() learner {
	return learner{queues: map[string]*taskTimes{}}
}

// ended takes in that a gang that started here is done.
func (l *learner) ended(now time.Time, g *gang, w *worker) {
	estimate := time.Duration(g.spec().EstimateMillis) * time.Millisecond
	if g.together.IsZero() || estimate <= 0 || g.checkpoint != "" {
		return
	}
	ratio := float64(now.Sub(g.together)) / float64(estimate)
	t := l.queues[g.job.spec.Queue]
	if t == nil {
		t = &taskTimes{ratio: 1}
		l.queues[g.job.spec.Queue] = t
	}
	t.count++
	weight := max(learnWeight, 1/float64(t.count+1))
	t.ratio += weight * (ratio - t.ratio)
	w.pace += learnWeight * (ratio/t.ratio - w.pace)
}

// expected returns how long a task of the gang is thought to take.
func (m *Model) expected(g *gang) time.Duration {
	estimate := time.Duration(g.spec().EstimateMillis) * time.Millisecond
	if t := m.learn.queues[g.job.spec.Queue]; t != nil {
		return time.Duration(float64(estimate) * t.ratio)
	}
	return estimate
}

const (
	// stallFloor is the least time without progress that counts as a stall.
	stallFloor = 3 * time.Second
	// stallShare is the part of the expected time without progress that does.
	stallShare = 0.35
)

// checkProgress ends an attempt that stands still.
func (m *Model) checkProgress(now time.Time, g *gang) {
	if !g.whole() || g.spec().Perpetual {
		return
	}
	patience := max(stallFloor, time.Duration(stallShare*float64(m.expected(g))))
	for _, r := range g.runs {
		if r.worker.heardAt.After(r.percentAt.Add(patience)) {
			m.benched(now, r.worker, g.job.spec.ID)
			r.worker.avoidTill = later(r.worker.avoidTill, now.Add(m.timing.Bench))
			m.breakUp(now, g, "stands still at "+r.worker.ID)
			return
		}
	}
}

package plan

import (
	"math"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
)

const (
	// speedPriorWeight is the number of measurements at which a worker's own
	// speed and the mean speed of all workers count equally.
	speedPriorWeight = 2
	// minSpeedWeight is the least weight of a new measurement.
	minSpeedWeight = 0.1
	// maxSpeedSample limits a measurement, as a logarithm. Larger differences
	// are caused by faults.
	maxSpeedSample = 0.5
	// maxPeers is the largest number of gangs of a step that are compared with each
	// other. It bounds the work that each end in a step of thousands of tasks takes.
	maxPeers = 512
	// speedClassWidth is the range of speeds that count as equal, as a
	// logarithm.
	speedClassWidth = 0.18
)

// speed is a worker's speed relative to others, as a logarithm. It is measured
// on tasks of the same step, which take nearly the same work.
type speed struct {
	mean  float64
	count int
}

func (s *speed) add(x float64) {
	s.count++
	x = max(-maxSpeedSample, min(maxSpeedSample, x))
	s.mean += max(minSpeedWeight, 1/float64(s.count)) * (x - s.mean)
}

// value returns the logarithm of the speed. The fewer measurements there are,
// the nearer it is to the mean of all workers.
func (s *speed) value() float64 {
	return s.mean * float64(s.count) / float64(s.count+speedPriorWeight)
}

// class returns the speed in classes; 0 is that of a typical worker.
func (s *speed) class() int {
	return int(math.Round(s.value() / speedClassWidth))
}

// measureSpeed updates the speeds of the workers of a gang that is done, by
// comparing its members with each other and with other tasks of the step.
func (m *Model) measureSpeed(now time.Time, g *gang) {
	if g.resumed || g.poorLocality || g.allRunningAt.IsZero() || m.policy.Without.Has(ablate.SpeedClasses) {
		return
	}
	g.setFinalRate(now)
	sum, count := 0.0, 0
	for _, other := range g.peers() {
		for _, rate := range other.logRates(now) {
			sum += rate
			count++
		}
	}
	g.finalLogRates = g.logRates(now)
	for _, r := range g.runs {
		if rate, measured := r.logRate(now); measured && count > 1 {
			othersMean := (sum - rate) / float64(count-1)
			r.worker.speed.add(math.Log(r.rate) - othersMean)
		}
	}
}

// peers returns the gangs of the same step and occurrence, itself included, or the nearest
// of them if there are too many.
func (g *gang) peers() []*gang {
	j := g.job
	first := j.firstGangs[g.occurrence*len(j.spec.Steps)+g.step]
	gangs := j.gangs[first : first+g.spec().Tasks/g.size]
	if len(gangs) <= maxPeers {
		return gangs
	}
	from := max(0, min(g.first/g.size-maxPeers/2, len(gangs)-maxPeers))
	return gangs[from : from+maxPeers]
}

// setFinalRate sets the rate of a task that ran alone. Members of a gang end
// together, whenever each has done its part, so their last reported rates stay.
func (g *gang) setFinalRate(now time.Time) {
	if span := now.Sub(g.allRunningAt); g.size == 1 && span > 0 {
		g.runs[0].rate = donePercent / span.Seconds()
	}
}

// logRates returns the adjusted progress rates of the gang's members, as
// logarithms.
func (g *gang) logRates(now time.Time) []float64 {
	if g.finalLogRates != nil || g.resumed || g.poorLocality {
		return g.finalLogRates
	}
	var rates []float64
	for _, r := range g.runs {
		if rate, measured := r.logRate(now); measured {
			rates = append(rates, rate)
		}
	}
	return rates
}

// logRate returns the logarithm of the run's progress rate, adjusted for the
// speed of its worker.
func (r *run) logRate(now time.Time) (float64, bool) {
	if r.rate <= 0 || r.worker.slow(now) {
		return 0, false
	}
	return math.Log(r.rate) - r.worker.speed.value(), true
}

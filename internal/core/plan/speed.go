package plan

import (
	"math"
	"time"
)

const (
	// speedPrior is the number of measurements at which a worker's speed counts
	// half as its own and half as that of all workers.
	speedPrior = 2
	// speedWeight is the least weight of one more measurement.
	speedWeight = 0.1
	// speedLimit is the largest difference, as a logarithm, that one
	// measurement may show; what is beyond comes from faults.
	speedLimit = 0.5
	// speedStep is the width of a class of workers that count as equally fast, as
	// a logarithm.
	speedStep = 0.18
)

// speed is how fast a worker does its work against others, as a logarithm. It
// is learned from tasks of one step, which are much alike.
type speed struct {
	mean  float64
	count int
}

func (s *speed) add(x float64) {
	s.count++
	x = max(-speedLimit, min(speedLimit, x))
	s.mean += max(speedWeight, 1/float64(s.count)) * (x - s.mean)
}

// value returns the logarithm of the speed, the nearer to that of all workers
// the less was measured.
func (s *speed) value() float64 {
	return s.mean * float64(s.count) / float64(s.count+speedPrior)
}

// class returns the speed in steps; 0 is that of a usual worker.
func (s *speed) class() int {
	return int(math.Round(s.value() / speedStep))
}

// measureSpeed takes in how fast the members of a gang that is done worked,
// against each other and against other tasks of their step.
func (m *Model) measureSpeed(now time.Time, g *gang) {
	if g.resumed || g.away || g.together.IsZero() {
		return
	}
	g.finish(now)
	sum, count := 0.0, 0
	for _, other := range g.job.gangs {
		if other.step != g.step || other.occurrence != g.occurrence {
			continue
		}
		for _, pace := range other.paces(now) {
			sum += pace
			count++
		}
	}
	g.shown = g.paces(now)
	for _, r := range g.runs {
		if pace, measured := r.ownPace(now); measured && count > 1 {
			others := (sum - pace) / float64(count-1)
			r.worker.speed.add(math.Log(r.rate) - others)
		}
	}
}

// finish works out the rate of a task that ended alone. Members of a gang end
// together, whenever each has done its part.
func (g *gang) finish(now time.Time) {
	if span := now.Sub(g.together); g.size == 1 && span > 0 {
		g.runs[0].rate = wholeWork / span.Seconds()
	}
}

// paces returns the paces that the gang's members have shown.
func (g *gang) paces(now time.Time) []float64 {
	if g.shown != nil || g.resumed || g.away {
		return g.shown
	}
	var paces []float64
	for _, r := range g.runs {
		if pace, measured := r.ownPace(now); measured {
			paces = append(paces, pace)
		}
	}
	return paces
}

// ownPace returns the run's rate, as a logarithm, without the part that is due
// to the speed of its worker.
func (r *run) ownPace(now time.Time) (float64, bool) {
	if r.rate <= 0 || r.worker.slow(now) {
		return 0, false
	}
	return math.Log(r.rate) - r.worker.speed.value(), true
}

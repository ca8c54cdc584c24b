package learn

import (
	"math"
	"time"
)

// Forecast is the distribution of a task's run time on a worker of normal speed near
// the task's data. The zero Forecast knows nothing.
type Forecast struct {
	// lengths and ratios are nil if unknown.
	lengths *curve
	ratios  *curve
	// ratioShare is the weight of the ratios, and logEstimate the logarithm of the
	// estimate in seconds that they refer to.
	ratioShare   float64
	logEstimate  float64
	observations float64
}

// Known reports whether there is any forecast.
func (f *Forecast) Known() bool {
	return f.lengths != nil || f.ratios != nil
}

// Observations returns the weight of the ended runs behind the forecast.
func (f *Forecast) Observations() float64 {
	return f.observations
}

// point returns the logarithm of the run time at a curve's point.
func (f *Forecast) point(i int) float64 {
	switch {
	case f.ratios == nil || f.ratioShare == 0 && f.lengths != nil:
		return f.lengths.logs[i]
	case f.lengths == nil:
		return f.ratios.logs[i] + f.logEstimate
	default:
		return f.ratioShare*(f.ratios.logs[i]+f.logEstimate) + (1-f.ratioShare)*f.lengths.logs[i]
	}
}

// Quantile returns the run time that a task exceeds with probability 1-q.
func (f *Forecast) Quantile(q float64) time.Duration {
	if !f.Known() {
		return 0
	}
	return duration(f.log(q))
}

func (f *Forecast) log(q float64) float64 {
	const top = curvePoints - 1
	at := q*curvePoints - 0.5
	switch {
	case at <= 0:
		return f.point(0)
	case at >= top:
		return tail(f.point(top), 1-probability(top), max(1-q, minShare))
	}
	i := int(at)
	low, high := f.point(i), f.point(i+1)
	return low + (at-float64(i))*(high-low)
}

// minShare is the least share of tasks for which a length is stated that they exceed.
const minShare = 1e-4

// share returns the probability that the task ends within the given time.
func (f *Forecast) share(taken time.Duration) float64 {
	log := math.Log(taken.Seconds())
	// The points below low are at most log, those from high on are greater.
	low, high := 0, curvePoints
	for low < high {
		mid := (low + high) / 2
		if f.point(mid) <= log {
			low = mid + 1
		} else {
			high = mid
		}
	}
	const top = curvePoints - 1
	switch low {
	case 0:
		return 0
	case curvePoints:
		return 1 - (1-probability(top))*math.Exp(tailPower*(f.point(top)-log))
	}
	before, after := f.point(low-1), f.point(low)
	return probability(low-1) + (log-before)/(after-before)/curvePoints
}

// Remaining returns the same as Quantile for the time that is left to a task that has
// run for the elapsed time on a worker of normal speed.
func (f *Forecast) Remaining(q float64, elapsed time.Duration) time.Duration {
	if !f.Known() {
		return 0
	}
	if elapsed <= 0 {
		return f.Quantile(q)
	}
	ended := f.share(elapsed)
	return max(0, f.Quantile(ended+q*(1-ended))-elapsed)
}

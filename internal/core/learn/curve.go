package learn

import "math"

const (
	// curvePoints is the number of quantiles in a curve.
	curvePoints = 32
	// tailPower is the power of the length with which the share of longer tasks is
	// assumed to fall beyond the longest that were observed.
	tailPower = 2
	// unlearnedSpread is the standard deviation of the logarithm of the ratio of
	// length to estimate before any run ended: one task in six takes more than
	// twice its estimate, since estimates are off by up to 90 %.
	unlearnedSpread = 0.7
)

// curve is a distribution: the logarithms of its quantiles at the centres of equal
// parts, in ascending order.
type curve struct {
	logs [curvePoints]float64
}

// unlearned is the distribution of the ratio of length to estimate before any run
// has ended. Its median is 1.
var unlearned = newUnlearned()

func newUnlearned() curve {
	var c curve
	for i := range c.logs {
		c.logs[i] = unlearnedSpread * math.Sqrt2 * math.Erfinv(2*probability(i)-1)
	}
	return c
}

// probability returns the probability of the curve's point i.
func probability(i int) float64 {
	return (float64(i) + 0.5) / curvePoints
}

func (c *curve) median() float64 {
	return (c.logs[curvePoints/2-1] + c.logs[curvePoints/2]) / 2
}

// mass is the weight of the values of one bucket.
type mass struct {
	ended, cut float64
}

// build computes the curve by the product-limit estimator of Kaplan and Meier: of the
// tasks that ran up to a value, the share that ended there does not go on. The buckets
// begin with the lowest.
func (c *curve) build(lowest int, buckets []mass) {
	atRisk := 0.0
	for _, x := range buckets {
		atRisk += x.ended + x.cut
	}
	longer := 1.0
	next := 0
	last := 0.0
	for i, x := range buckets {
		if x.ended == 0 && x.cut == 0 {
			continue
		}
		last = logOf(lowest + i)
		longer *= max(0, 1-x.ended/atRisk)
		for next < curvePoints && 1-longer >= probability(next) {
			c.logs[next] = last
			next++
		}
		atRisk = max(math.SmallestNonzeroFloat64, atRisk-x.ended-x.cut)
	}
	// Tasks that were cut short last may take any length beyond.
	for ; next < curvePoints; next++ {
		c.logs[next] = tail(last, longer, 1-probability(next))
	}
}

// tail returns the logarithm of the length that a share of the tasks exceeds, given one
// that a larger share exceeds.
func tail(log, longer, share float64) float64 {
	if share >= longer || share <= 0 {
		return log
	}
	return log + math.Log(longer/share)/tailPower
}

package plan

import "time"

const (
	// forecastStep is the unit of time of a forecast. Shorter ones would say more than
	// expected run times do.
	forecastStep = 500 * time.Millisecond
	// forecastSteps is how far a forecast looks ahead: four minutes, beyond which few
	// jobs keep their value.
	forecastSteps = 480
	// rounding is less than any amount, and more than what sums of amounts are off.
	rounding = 1e-6
)

// capacityForecast holds how much of one resource of a target is free in each step of
// time. Step 0 is the present, in which only what is free counts; step 1 begins with it.
type capacityForecast struct {
	free [forecastSteps]float64
	// found holds where earliest has found each amount and length. Without releases in
	// between, the next place for the same is not earlier.
	found map[span]int
}

// span is an amount that is needed for some steps.
type span struct {
	amount float64
	steps  int
}

// copy returns a forecast that changes independently.
func (f *capacityForecast) copy() *capacityForecast {
	return &capacityForecast{free: f.free, found: map[span]int{}}
}

// stepAfter returns the step in which something happens that is expected after a time.
func stepAfter(after time.Duration) int {
	return 1 + int(max(0, min(after, forecastSteps*forecastStep))/forecastStep)
}

// delayOf returns the time until a step begins.
func delayOf(step int) time.Duration {
	return time.Duration(max(0, step-1)) * forecastStep
}

// newSpan returns what an amount takes for some time. Where that is no whole number of
// steps, the amount is less, so that the product is the same.
func newSpan(n int, length time.Duration) span {
	steps := max(1, int((length+forecastStep-1)/forecastStep))
	return span{float64(n) * float64(length) / float64(time.Duration(steps)*forecastStep), steps}
}

// release makes an amount free from a step on.
func (f *capacityForecast) release(n, from int) {
	for i := from; i < forecastSteps; i++ {
		f.free[i] += float64(n)
	}
}

// take uses an amount for some steps.
func (f *capacityForecast) take(s span, from int) {
	for i := from; i < min(forecastSteps, from+s.steps); i++ {
		f.free[i] -= s.amount
	}
}

// earliest returns the first step after the present one from which on the span is free,
// as far as the forecast reaches, or forecastSteps if there is none.
func (f *capacityForecast) earliest(s span) int {
	start := max(1, f.found[s])
	for i := start; i < forecastSteps && i-start < s.steps; i++ {
		if f.free[i] < s.amount-rounding {
			start = i + 1
		}
	}
	f.found[s] = start
	return start
}

// first returns the first step, the present one included, in which an amount is free,
// or forecastSteps if there is none.
func (f *capacityForecast) first(n int) int {
	for i, free := range f.free {
		if free >= float64(n)-rounding {
			return i
		}
	}
	return forecastSteps
}

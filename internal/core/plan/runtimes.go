package plan

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanshore/rattanshore/internal/core/learn"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Quantiles of the run time by what a decision loses if a task takes longer or shorter.
const (
	// orderQuantile is that for the order of waiting work, its latest start and its
	// deadlines, for expected ends and for what a preemption loses. Too long costs as
	// much as too short, and the median is not moved by a few very long tasks.
	orderQuantile = 0.5
	// surelyQuantile is that for work which uses claimed workers meanwhile. One task
	// that outlasts the claim delays a whole gang.
	surelyQuantile = 0.95
	// slowQuantile is that against which a run's pace shows a slow worker and not just
	// a long task. Three tasks of a hundred take many times as long as the others, and
	// moving one of them for nothing loses its work.
	slowQuantile = 0.99
	// stallQuantile is that of which a share is the time without progress after which
	// a run is stalled. A false stall loses work and quarantines a sound worker.
	stallQuantile = 0.95
	// atLeastQuantile is that for the refusal of late work: only work that would be too
	// late even if it turned out short is refused.
	atLeastQuantile = 0.1
)

const (
	// runTimesInterval is the least time between two writes of run times.
	runTimesInterval = 5 * time.Second
	// minProgressPercent is the progress from which on a run's own rate tells more
	// about its end than earlier runs. Below it, the rounding of the percentage and
	// the delay of reports count for too much.
	minProgressPercent = 10
)

// runTimes is what the planner has learned from finished runs, and when that was last
// stored.
type runTimes struct {
	// model is nil if the policy is off.
	model   *learn.Model
	changed bool
	// storeAt is the earliest time of the next write.
	storeAt time.Time
}

func newRunTimes(now time.Time, policy Policy) runTimes {
	if !policy.LearnRunTimes {
		return runTimes{}
	}
	return runTimes{model: learn.New(), storeAt: now.Add(runTimesInterval)}
}

// restoreRunTimes adds what earlier leaders have learned. A row that can't be read is
// left out; the runtime has logged it.
func (m *Model) restoreRunTimes(data []byte) {
	if m.runTimes.model != nil {
		_ = m.runTimes.model.Restore(data)
	}
}

// takeRunTimes returns the row to store, or nil if it has not changed or was written a
// short time ago.
func (m *Model) takeRunTimes(now time.Time) []byte {
	t := &m.runTimes
	if !t.changed || now.Before(t.storeAt) {
		return nil
	}
	t.changed = false
	t.storeAt = now.Add(runTimesInterval)
	data, err := t.model.Encode()
	if err != nil {
		// Numbers and names can always be encoded. What was learned stays in memory.
		return nil
	}
	return data
}

// runTimeKey returns the group of a step's tasks.
func runTimeKey(spec *record.Job, step int) learn.Key {
	s := &spec.Steps[step]
	return learn.Key{Team: spec.Team, Queue: spec.Queue, Shape: learn.Shape{
		Tasks: s.Tasks, Need: s.Need, Image: xxhash.Sum64String(s.Image),
	}}
}

// forecast returns the distribution of the run time of a step's tasks. It reports false
// if the policy is off or nothing is known.
func (m *Model) forecast(spec *record.Job, step int) (learn.Forecast, bool) {
	if m.runTimes.model == nil {
		return learn.Forecast{}, false
	}
	estimate := time.Duration(spec.Steps[step].EstimateMillis) * time.Millisecond
	f := m.runTimes.model.Forecast(runTimeKey(spec, step), estimate)
	return f, f.Known()
}

// learnedDuration returns a quantile of the run time of a step's tasks.
func (m *Model) learnedDuration(spec *record.Job, step int, q float64) (time.Duration, bool) {
	f, known := m.forecast(spec, step)
	if !known {
		return 0, false
	}
	return f.Quantile(q), true
}

// attemptDuration returns the quantile of how long the gang's current attempt takes on
// workers of normal speed, or the expected duration if no run times are learned.
func (m *Model) attemptDuration(g *gang, q float64) time.Duration {
	work, known := m.learnedDuration(&g.job.spec, g.step, q)
	if !known {
		return m.expectedAttemptDuration(g)
	}
	if g.poorLocality {
		work = time.Duration(float64(work) * m.timing.SpreadFactor)
	}
	return work
}

// surelyEnds returns by when the gang has almost certainly ended if it is started now
// near its data.
func (m *Model) surelyEnds(now time.Time, g *gang) time.Time {
	work, known := m.learnedDuration(&g.job.spec, g.step, surelyQuantile)
	if !known {
		work = m.expectedDuration(g)
	}
	return now.Add(work)
}

// LeastStepDuration returns how long a task of the step takes if it turns out short, or
// the expected duration if no run times are learned. Work that is too late even so may
// be refused.
func (m *Model) LeastStepDuration(spec *record.Job, step int) time.Duration {
	if work, known := m.learnedDuration(spec, step, atLeastQuantile); known {
		return work
	}
	return m.expectedStepDuration(&job{spec: *spec}, step)
}

// paceReference returns how many times longer than expected a task of the gang may
// well take, and reports whether the forecast is sure enough to tell a slow worker from
// a long task.
func (m *Model) paceReference(g *gang) (tolerance float64, trusted bool) {
	f, known := m.forecast(&g.job.spec, g.step)
	if !known {
		return 1, m.estimator.forQueue(g.job.spec.Queue).trusted()
	}
	usual := f.Quantile(orderQuantile)
	if usual <= 0 || f.Observations() < trustedSamples {
		return 1, false
	}
	return float64(f.Quantile(slowQuantile)) / float64(usual), true
}

// stretch returns by how much longer than on workers of normal speed near its data the
// gang's attempt takes. A gang ends with its slowest member.
func (m *Model) stretch(g *gang) float64 {
	slowest := 0.0
	for i, r := range g.runs {
		if v := r.worker.speed.value(); i == 0 || v < slowest {
			slowest = v
		}
	}
	factor := math.Exp(-slowest)
	if g.poorLocality {
		factor *= m.timing.SpreadFactor
	}
	return factor
}

// learnedLeft returns how long a run is expected to go on. It reports false if run times
// are not learned, and for a run from a checkpoint, whose elapsed time says little.
func (m *Model) learnedLeft(now time.Time, r *run) (time.Duration, bool) {
	if m.runTimes.model == nil || r.gang.resumed {
		return 0, false
	}
	if left, known := r.leftByProgress(); known {
		return left, true
	}
	return m.leftByForecast(now, r.gang)
}

// leftByProgress returns how long the run goes on at the rate of its progress so far.
func (r *run) leftByProgress() (time.Duration, bool) {
	percent := r.progress.percent
	if percent < minProgressPercent || r.rate <= 0 || r.inherited {
		return 0, false
	}
	return time.Duration(float64(donePercent-percent) / r.rate * float64(time.Second)), true
}

// leftByForecast returns how long the gang is expected to go on, given how long it has
// run.
func (m *Model) leftByForecast(now time.Time, g *gang) (time.Duration, bool) {
	f, known := m.forecast(&g.job.spec, g.step)
	if !known {
		return 0, false
	}
	stretch := m.stretch(g)
	left := f.Remaining(orderQuantile, time.Duration(float64(g.elapsed(now))/stretch))
	return time.Duration(float64(left) * stretch), true
}

// elapsed returns how long all members of the gang have been running.
func (g *gang) elapsed(now time.Time) time.Duration {
	if g.allRunningAt.IsZero() {
		return 0
	}
	return now.Sub(g.allRunningAt)
}

// expectedWhole returns how long the gang is expected to take from its beginning, and
// how much of that is left to its current attempt.
func (m *Model) expectedWhole(now time.Time, g *gang) (whole, left time.Duration) {
	whole = m.expectedDuration(g)
	left = max(0, whole-now.Sub(g.placedAt))
	if m.runTimes.model == nil || g.resumed || len(g.runs) == 0 {
		return whole, left
	}
	longest, unreported := time.Duration(0), false
	for _, r := range g.runs {
		l, known := r.leftByProgress()
		longest = max(longest, l)
		unreported = unreported || !known
	}
	if unreported {
		l, known := m.leftByForecast(now, g)
		if !known {
			return whole, left
		}
		longest = max(longest, l)
	}
	return time.Duration(float64(g.elapsed(now)+longest) / m.stretch(g)), longest
}

// noteRunning records that the gang's attempt was seen at work. A run without progress,
// or on a slow worker, may be late for that reason.
func (g *gang) noteRunning(now time.Time, r *run) {
	if !r.progress.suspect() && !r.worker.slow(now) {
		g.seenRunning = later(g.seenRunning, r.worker.polledAt)
	}
}

// observeDone adds the run time of a gang that is done, before its runs are removed. An
// attempt that began from a checkpoint, or under an earlier leader, took at least as
// long.
func (m *Model) observeDone(now time.Time, g *gang) {
	cut := g.resumed
	for _, r := range g.runs {
		if r.worker.slow(now) {
			return
		}
		cut = cut || r.inherited
	}
	m.observeRunTime(g, now, cut)
}

// observeCut adds the time for which an attempt that is aborted was seen running. An
// attempt that has failed tells nothing of how long the tasks take.
func (m *Model) observeCut(g *gang) {
	for _, failed := range g.failedAttempts {
		if failed == g.attempt {
			return
		}
	}
	m.observeRunTime(g, g.seenRunning, true)
}

func (m *Model) observeRunTime(g *gang, end time.Time, cut bool) {
	t := &m.runTimes
	if t.model == nil || g.allRunningAt.IsZero() || !end.After(g.allRunningAt) || g.spec().Perpetual {
		return
	}
	taken := time.Duration(float64(end.Sub(g.allRunningAt)) / m.stretch(g))
	if expected, known := m.learnedDuration(&g.job.spec, g.step, orderQuantile); known && !cut && expected > 0 {
		m.emit(RunTimeCmd{Queue: g.job.spec.Queue, Expected: expected, Actual: taken})
	}
	t.changed = true
	revision, revised := t.model.Observe(learn.Observation{
		Key: runTimeKey(&g.job.spec, g.step), Taken: taken, Estimate: g.estimate(), CutShort: cut, Weight: g.runTimeWeight(),
	})
	if revised {
		k := revision.Key
		m.reportDecision(RunTimeRevised, g, nil, fmt.Sprintf("queue %s team %s tasks %d: %v instead of %v",
			k.Queue, k.Team, k.Shape.Tasks, revision.New.Round(time.Millisecond), revision.Old.Round(time.Millisecond)))
	}
}

// runTimeWeight returns the weight of the gang's run time. The single tasks of a step
// are alike but not all the same, so that n of them together count as much as the root
// of n independent ones.
func (g *gang) runTimeWeight() float64 {
	if g.spec().Gang {
		return 1
	}
	return 1 / math.Sqrt(float64(max(1, g.spec().Tasks)))
}

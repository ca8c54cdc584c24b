package admit

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// times holds what decides whether a job ends in time.
type times struct {
	// bounded is false for jobs that have no known end, no objective, or a time at which
	// they are due.
	bounded bool
	// run is the shortest time that the job may run.
	run time.Duration
	// full is the time in which it has all of its value, and useful that in which it has a
	// part, with the margin.
	full, useful time.Duration
}

// timesOf returns the times of a job whose queue's jobs run for the given percentage of
// their estimates, 0 if that is not known.
func timesOf(job record.Job, queue rules.Queue, runPercent int) times {
	if job.Occurrences > 0 || !job.FirstDueAt.IsZero() || queue.Stretch <= 0 && queue.Objective <= 0 {
		return times{}
	}
	for i := range job.Steps {
		if s := &job.Steps[i]; s.Perpetual || s.FillsIdle || s.EstimateMillis <= 0 {
			return times{}
		}
	}
	if runPercent == 0 {
		runPercent = 100
	}
	path := criticalPath(job)
	expected := path * float64(max(runPercent, 100)) / 100
	full := queue.Stretch*expected + queue.Objective.Seconds()
	useful := partialFactor * (1 + forecastMargin) * full
	if useful > maxDelay.Seconds() {
		// No forecast reaches so far.
		return times{}
	}
	shortest := path * float64(min(runPercent, 100)) / 100 * (1 - estimateError)
	return times{bounded: true, run: seconds(shortest), full: seconds(full), useful: seconds(useful)}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// criticalPath returns the duration, in seconds, of the longest chain of steps by their
// estimates. The steps form no cycle.
func criticalPath(job record.Job) float64 {
	ends := make([]float64, len(job.Steps))
	var end func(i int) float64
	end = func(i int) float64 {
		begin := 0.0
		for _, a := range job.Steps[i].After {
			if ends[a] == 0 {
				ends[a] = end(a)
			}
			begin = max(begin, ends[a])
		}
		return begin + float64(job.Steps[i].EstimateMillis)/1000
	}
	longest := 0.0
	for i := range job.Steps {
		if ends[i] == 0 {
			ends[i] = end(i)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

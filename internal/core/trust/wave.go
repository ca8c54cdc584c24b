package trust

import (
	"math"
	"slices"
	"time"
)

const (
	// waveWindow is the time over which jobs' ends are counted.
	waveWindow = 4 * time.Second
	// waveJobs is the least number of jobs, and of workers, that fail in a wave.
	waveJobs = 3
	// waveDeviations is by how many standard deviations more jobs fail in a wave than
	// may fail by their own fault.
	waveDeviations = 3
)

// wave tells whether more jobs fail than their own faults explain. Then the workers
// are at fault, or what they depend on.
type wave struct {
	ends []Event
	// jobs and workers count the ends.
	jobs, workers counts
	on            bool
	// since is when the first of the failed runs began.
	since time.Time
}

// maxEnds limits the ends that are remembered; the oldest are dropped.
const maxEnds = 4096

func newWave() wave {
	return wave{jobs: counts{of: map[string]tally{}}, workers: counts{of: map[string]tally{}}}
}

func (v *wave) add(e Event) {
	if len(v.ends) == maxEnds {
		v.drop(maxEnds / 4)
	}
	v.ends = append(v.ends, e)
	v.jobs.add(e.Job, e.Kind == Failed)
	v.workers.add(e.Worker, e.Kind == Failed)
}

// drop removes the n oldest ends.
func (v *wave) drop(n int) {
	for _, e := range v.ends[:n] {
		v.jobs.remove(e.Job, e.Kind == Failed)
		v.workers.remove(e.Worker, e.Kind == Failed)
	}
	v.ends = slices.Delete(v.ends, 0, n)
}

// review decides whether there is a wave.
func (v *wave) review(now time.Time) {
	old := 0
	for old < len(v.ends) && now.Sub(v.ends[old].At) >= waveWindow {
		old++
	}
	v.drop(old)
	expected := jobFault * float64(len(v.jobs.of))
	limit := expected + waveDeviations*math.Sqrt(expected*(1-jobFault))
	was := v.on
	v.on = v.jobs.failing >= waveJobs && v.workers.failing >= waveJobs && float64(v.jobs.failing) > limit
	if v.on && !was {
		v.since = v.firstFailed()
	}
}

// firstFailed returns when the first of the failed runs began.
func (v *wave) firstFailed() time.Time {
	var first time.Time
	for _, e := range v.ends {
		if e.Kind == Failed && (first.IsZero() || e.Began.Before(first)) {
			first = e.Began
		}
	}
	return first
}

// badShare returns the share of workers that are taken to be bad: in a wave, that of
// failing workers among those on which runs ended.
func (v *wave) badShare() float64 {
	if !v.on {
		return badShare
	}
	failing := float64(v.workers.failing) / float64(len(v.workers.of))
	return min(max(failing, jobFault), maxBadShare)
}

// counts counts ends by a name, and the names with a failure.
type counts struct {
	of      map[string]tally
	failing int
}

// tally counts the ends of one name.
type tally struct{ ends, failed int }

func (c *counts) add(name string, failed bool) {
	t := c.of[name]
	t.ends++
	if failed {
		t.failed++
		if t.failed == 1 {
			c.failing++
		}
	}
	c.of[name] = t
}

func (c *counts) remove(name string, failed bool) {
	t := c.of[name]
	t.ends--
	if failed {
		t.failed--
		if t.failed == 0 {
			c.failing--
		}
	}
	if t.ends == 0 {
		delete(c.of, name)
		return
	}
	c.of[name] = t
}

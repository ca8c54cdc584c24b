package share

import "time"

// rateWindow is the time over which a team's jobs are counted against its rate. It is
// long enough for jobs that arrive in small groups at the usual rate.
const rateWindow = 5 * time.Second

// Rate counts the jobs of each team. Jobs may be counted in any order, so a new
// leader that reads them from the store gets the same counts as the one before.
type Rate struct {
	counts map[window]int
	// newest is the start of the newest window with a job.
	newest int64
}

// window is one of the consecutive windows of a team.
type window struct {
	team  string
	start int64
}

// NewRate returns a count without jobs.
func NewRate() *Rate {
	return &Rate{counts: map[window]int{}}
}

// Exceeds counts a job, and reports whether its team has sent more than perSecond
// jobs a second in the window that holds the time.
func (r *Rate) Exceeds(team string, at time.Time, perSecond float64) bool {
	w := window{team, at.UnixMilli() / rateWindow.Milliseconds()}
	if w.start > r.newest {
		r.newest = w.start
		r.forget()
	}
	r.counts[w]++
	return float64(r.counts[w]) > perSecond*rateWindow.Seconds()
}

// keptWindows is the number of windows that are kept. Hosts' clocks differ and the
// store may delay a job, but not by longer than this.
const keptWindows = 12

// forget drops the counts of old windows.
func (r *Rate) forget() {
	for w := range r.counts {
		if w.start <= r.newest-keptWindows {
			delete(r.counts, w)
		}
	}
}

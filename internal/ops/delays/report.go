package delays

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report says how many jobs were late, why and when.
type Report struct {
	Ended  int     `json:"ended"`
	Late   int     `json:"late"`
	Groups []Group `json:"groups"`
	// Seconds holds the late jobs by the second in which they were due.
	Seconds []Second `json:"seconds"`
}

// Group counts the late jobs of one priority and cause.
type Group struct {
	Priority int   `json:"priority"`
	Cause    Cause `json:"cause"`
	Jobs     int   `json:"jobs"`
	// Teams is the number of teams that they belong to.
	Teams int `json:"teams"`
	// MeanMillis and MostMillis are how late they were.
	MeanMillis int64 `json:"mean-ms"`
	MostMillis int64 `json:"most-ms"`
}

// Second counts the late jobs that were due in one second.
type Second struct {
	At   time.Time `json:"at"`
	Jobs int       `json:"jobs"`
}

// Tally sums up jobs for a Report. Its memory grows with the seconds in which jobs were
// due, not with the jobs.
type Tally struct {
	ended, late int
	groups      map[groupKey]*groupSum
	seconds     map[int64]int
}

type groupKey struct {
	priority int
	cause    Cause
}

type groupSum struct {
	jobs        int
	teams       map[string]bool
	total, most time.Duration
}

// NewTally returns a tally of no job.
func NewTally() *Tally {
	return &Tally{groups: map[groupKey]*groupSum{}, seconds: map[int64]int{}}
}

// Add counts a job that has ended; late is nil if it was in time.
func (t *Tally) Add(late *Late) {
	t.ended++
	if late == nil {
		return
	}
	t.late++
	t.seconds[late.Due.Unix()]++
	key := groupKey{late.Priority, late.Cause}
	g := t.groups[key]
	if g == nil {
		g = &groupSum{teams: map[string]bool{}}
		t.groups[key] = g
	}
	by := late.At.Sub(late.Due)
	g.jobs++
	g.teams[late.Team] = true
	g.total += by
	g.most = max(g.most, by)
}

// Report returns the groups, those with most jobs of each priority first, and the
// seconds in their order.
func (t *Tally) Report() Report {
	r := Report{Ended: t.ended, Late: t.late}
	for key, g := range t.groups {
		r.Groups = append(r.Groups, Group{
			Priority: key.priority, Cause: key.cause, Jobs: g.jobs, Teams: len(g.teams),
			MeanMillis: (g.total / time.Duration(g.jobs)).Milliseconds(), MostMillis: g.most.Milliseconds(),
		})
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Cause, b.Cause))
	})
	for _, second := range slices.Sorted(maps.Keys(t.seconds)) {
		r.Seconds = append(r.Seconds, Second{At: time.Unix(second, 0).UTC(), Jobs: t.seconds[second]})
	}
	return r
}

package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Bounds holds the time limits that the promises state.
type Bounds struct {
	// DomainOut is how long after a failure domain was taken out of service
	// tasks and requests may still start in it.
	DomainOut time.Duration
	// Leaving is how long after a host is reported as leaving it may still be
	// given new work.
	Leaving time.Duration
	// Config is how long an accepted configuration may take to be in force on
	// every entry host.
	Config time.Duration
	// PartialGang is how long part of a gang may run without the rest: one task
	// lease.
	PartialGang time.Duration
	// ClockSkew is the largest difference between two clocks. It also covers
	// the time between an event and its record.
	ClockSkew time.Duration
}

// DefaultBounds returns the bounds of the promises: 3 s where they say "a few
// seconds", 4 s for a configuration, and the default task lease.
func DefaultBounds() Bounds {
	return Bounds{
		DomainOut:   3 * time.Second,
		Leaving:     3 * time.Second,
		Config:      4 * time.Second,
		PartialGang: 9 * time.Second,
		ClockSkew:   200 * time.Millisecond,
	}
}

// Violation is one case in which a promise was broken.
type Violation struct {
	Promise string
	Text    string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return v.Promise + ": " + v.Text
}

// Promise is one promise of the scheduler. Check takes records sorted by time
// and returns a text for each violation.
type Promise struct {
	Name  string
	Check func(records []Record, bounds Bounds) []string
}

// Promises returns all promises that Check tests.
func Promises() []Promise {
	return []Promise{
		{"guarantee", checkGuarantee},
		{"gang", checkGang},
		{"domain-out", checkDomainOut},
		{"whole-answer", checkCompleteAnswer},
		{"not-run", checkNotRun},
		{"at-most-once", checkAtMostOnce},
		{"leaving", checkLeaving},
		{"graceful-stop", checkGracefulStop},
		{"config", checkConfig},
	}
}

// Check returns every violation of a promise in a history. The records need
// not be sorted.
func Check(records []Record, bounds Bounds) []Violation {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.At.Compare(b.At) })
	var violations []Violation
	for _, p := range Promises() {
		for _, text := range p.Check(sorted, bounds) {
			violations = append(violations, Violation{Promise: p.Name, Text: text})
		}
	}
	return violations
}

// checkGuarantee reports jobs submitted within a guarantee that had not started
// all their tasks by the deadline.
func checkGuarantee(records []Record, _ Bounds) []string {
	var violations []string
	for _, submission := range records {
		if submission.Kind != GuaranteeRequested {
			continue
		}
		started := map[int]bool{}
		for _, r := range records {
			if r.Kind == TaskStarted && r.Job == submission.Job && !r.At.After(submission.Deadline) {
				started[r.Task] = true
			}
		}
		if len(started) < submission.Tasks {
			violations = append(violations, fmt.Sprintf("job %s had started only %d of %d tasks by its deadline", submission.Job, len(started), submission.Tasks))
		}
	}
	return violations
}

// checkLeaving reports work that started on a leaving host after the bound had
// passed.
func checkLeaving(records []Record, bounds Bounds) []string {
	var violations []string
	for _, leaving := range records {
		if leaving.Kind != HostLeaving {
			continue
		}
		limit := leaving.At.Add(bounds.Leaving)
		for _, r := range records {
			startsWork := r.Kind == TaskStarted || r.Kind == RequestRan
			if startsWork && r.Who == leaving.Who && r.At.After(limit) {
				violations = append(violations, fmt.Sprintf("%s started %s%s %s after it was reported as leaving", r.Who, r.Job, r.Request, r.At.Sub(leaving.At)))
			}
		}
	}
	return violations
}

// checkGracefulStop reports requests that a planned stop left without an
// answer, and planned stops that failed.
func checkGracefulStop(records []Record, _ Bounds) []string {
	var violations []string
	for _, stop := range records {
		if stop.Kind != ProcessStopped {
			continue
		}
		for _, r := range records {
			if r.Kind == CallEnded && r.Outcome == NoAnswer && r.Who == stop.Who {
				violations = append(violations, fmt.Sprintf("request %s%s got no answer from %s, which was stopped gracefully: %s", r.Request, r.Job, r.Who, r.Problem))
			}
		}
		if stop.Detail != "" {
			violations = append(violations, fmt.Sprintf("%s did not stop cleanly: %s", stop.Who, stop.Detail))
		}
	}
	return violations
}

// checkConfig reports a configuration that is not in force on every entry host
// within the bound, and an entry host that returns to an earlier version.
func checkConfig(records []Record, bounds Bounds) []string {
	var violations []string
	newest := map[string]int64{}
	for _, r := range records {
		if r.Kind != ConfigInForce {
			continue
		}
		if r.Version < newest[r.Who] {
			violations = append(violations, fmt.Sprintf("%s returned from configuration version %d to %d", r.Who, newest[r.Who], r.Version))
		}
		newest[r.Who] = max(newest[r.Who], r.Version)
	}
	for _, accepted := range records {
		if accepted.Kind != CommandAcknowledged || accepted.Domain != "" {
			continue
		}
		limit := accepted.At.Add(bounds.Config)
		for _, r := range records {
			if r.Kind == ConfigInForce && r.At.After(limit) && r.Version < accepted.Version {
				violations = append(violations, fmt.Sprintf("%s still used configuration version %d %s after version %d was accepted",
					r.Who, r.Version, r.At.Sub(accepted.At), accepted.Version))
			}
		}
	}
	slices.SortStableFunc(violations, cmp.Compare[string])
	return violations
}

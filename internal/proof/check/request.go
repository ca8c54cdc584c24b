package check

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkCompleteAnswer reports answers that are not the complete answer to the
// caller's own request.
func checkCompleteAnswer(records []Record, _ Bounds) []string {
	var violations []string
	for _, r := range records {
		if r.Kind == CallEnded && r.Outcome == Answered && r.Request != "" && r.Reply != r.Body {
			violations = append(violations, fmt.Sprintf("request %s was answered %q instead of %q", r.Request, r.Reply, r.Body))
		}
	}
	return violations
}

// attempt is one call of a caller. Its times are zero if not recorded.
type attempt struct {
	sentAt, endedAt time.Time
	outcome         Outcome
}

// callerAttempts returns the attempts of each request or job, whose identifier
// idOf reads from a record. An attempt without a recorded outcome is included.
func callerAttempts(records []Record, idOf func(Record) string) map[string][]attempt {
	pending := map[string]attempt{}
	attempts := map[string][]attempt{}
	for _, r := range records {
		id := idOf(r)
		if id == "" {
			continue
		}
		key := id + "\x00" + r.Detail
		switch r.Kind {
		case CallSent:
			pending[key] = attempt{sentAt: r.At}
		case CallEnded:
			a := pending[key]
			delete(pending, key)
			a.endedAt, a.outcome = r.At, r.Outcome
			attempts[id] = append(attempts[id], a)
		default:
		}
	}
	for key, a := range pending {
		id, _, _ := strings.Cut(key, "\x00")
		attempts[id] = append(attempts[id], a)
	}
	return attempts
}

// checkNotRun reports requests and jobs that ran although every earlier call was
// answered not-run.
func checkNotRun(records []Record, _ Bounds) []string {
	requests := callerAttempts(records, func(r Record) string { return r.Request })
	jobs := callerAttempts(records, func(r Record) string { return r.Job })
	var violations []string
	for _, r := range records {
		switch {
		case r.Kind == RequestRan && !mayHaveCaused(requests[r.Request], r.At):
			violations = append(violations, fmt.Sprintf("request %s ran on %s although every earlier call was answered not-run", r.Request, r.Who))
		case r.Kind == TaskStarted && !mayHaveCaused(jobs[r.Job], r.At):
			violations = append(violations, fmt.Sprintf("job %s ran on %s although every earlier call was answered not-run", r.Job, r.Who))
		}
	}
	for id, list := range requests {
		for _, a := range list {
			if ranBeforeSend(records, id, a) {
				violations = append(violations, fmt.Sprintf("a repeat of request %s was answered not-run, but the request had run before", id))
			}
		}
	}
	return violations
}

// ranBeforeSend reports whether the request had already run when an attempt was
// sent that was answered not-run.
func ranBeforeSend(records []Record, id string, a attempt) bool {
	return a.outcome == NotRun && slices.ContainsFunc(records, func(r Record) bool {
		return r.Kind == RequestRan && r.Request == id && r.At.Before(a.sentAt)
	})
}

// mayHaveCaused reports whether some attempt sent before the run could have
// caused it. Without any recorded attempt the run cannot be checked, and it
// returns true.
func mayHaveCaused(list []attempt, ran time.Time) bool {
	if len(list) == 0 {
		return true
	}
	return slices.ContainsFunc(list, func(a attempt) bool {
		return a.outcome != NotRun && !a.sentAt.After(ran)
	})
}

// checkAtMostOnce reports non-idempotent requests and tasks that ran twice.
func checkAtMostOnce(records []Record, _ Bounds) []string {
	nonIdempotent := map[string]bool{}
	for _, r := range records {
		if r.Kind == CallSent && r.NonIdempotent {
			nonIdempotent[r.Request+r.Job] = true
		}
	}
	runs := map[string]int{}
	started := map[string]int{}
	var violations []string
	for _, r := range records {
		switch {
		case r.Kind == RequestRan && nonIdempotent[r.Request]:
			runs[r.Request]++
			if runs[r.Request] == 2 {
				violations = append(violations, fmt.Sprintf("request %s ran a second time on %s", r.Request, r.Who))
			}
		case r.Kind == TaskStarted && nonIdempotent[r.Job]:
			key := fmt.Sprintf("%s/%d", r.Job, r.Task)
			started[key]++
			if started[key] == 2 {
				violations = append(violations, fmt.Sprintf("task %s ran a second time on %s", key, r.Who))
			}
		}
	}
	return violations
}

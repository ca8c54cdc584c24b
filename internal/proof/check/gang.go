package check

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// runKey identifies a run of a job.
type runKey struct {
	job string
	run int
}

// span is the time a task ran. A zero end means that it is still running.
// finished is set for a task that ended on its own (done or failed), not for
// one that was stopped.
type span struct {
	start, end time.Time
	finished   bool
}

// taskSpans returns the spans of each run's tasks, by task number.
func taskSpans(records []Record) map[runKey]map[int]*span {
	runs := map[runKey]map[int]*span{}
	for _, r := range records {
		key := runKey{r.Job, r.Run}
		switch r.Kind {
		case TaskStarted:
			if runs[key] == nil {
				runs[key] = map[int]*span{}
			}
			runs[key][r.Task] = &span{start: r.At}
		case TaskEnded:
			if s := runs[key][r.Task]; s != nil {
				s.end = r.At
				s.finished = strings.HasPrefix(r.Detail, "done") || strings.HasPrefix(r.Detail, "failed")
			}
		default:
		}
	}
	return runs
}

// gangSizes returns the number of tasks of each job, read from the job rows.
func gangSizes(records []Record) map[string]int {
	sizes := map[string]int{}
	for _, r := range records {
		if r.Kind != RowWritten || !strings.HasPrefix(r.Key, "job/") {
			continue
		}
		var row struct {
			Spec struct {
				ID    string `json:"id"`
				Tasks int    `json:"tasks"`
			} `json:"spec"`
		}
		if json.Unmarshal([]byte(r.Body), &row) == nil {
			sizes[row.Spec.ID] = row.Spec.Tasks
		}
	}
	return sizes
}

// checkGang reports runs in which part of a gang ran for longer than the bound
// while other tasks had not started or had been stopped. A task that ended on
// its own does not count as missing.
func checkGang(records []Record, bounds Bounds) []string {
	var violations []string
	if len(records) == 0 {
		return nil
	}
	historyEnd := records[len(records)-1].At
	sizes := gangSizes(records)
	limit := bounds.PartialGang + bounds.ClockSkew
	for key, tasks := range taskSpans(records) {
		size := sizes[key.job]
		if size < 2 {
			continue
		}
		if partial := partialTime(tasks, size, historyEnd); partial > limit {
			violations = append(violations, fmt.Sprintf("run %d of job %s ran with only part of its tasks for %s", key.run, key.job, partial))
		}
	}
	return violations
}

// partialTime returns how long some tasks ran while others had not started or
// had been stopped before they finished.
func partialTime(tasks map[int]*span, size int, historyEnd time.Time) time.Duration {
	var changes []time.Time
	for _, s := range tasks {
		changes = append(changes, s.start, s.endOr(historyEnd))
	}
	slices.SortFunc(changes, time.Time.Compare)
	total := time.Duration(0)
	for i := 1; i < len(changes); i++ {
		midpoint := changes[i-1].Add(changes[i].Sub(changes[i-1]) / 2)
		running, finished := 0, 0
		for _, s := range tasks {
			switch {
			case midpoint.Before(s.start):
			case midpoint.Before(s.endOr(historyEnd)):
				running++
			case s.finished:
				finished++
			}
		}
		if running > 0 && running+finished < size {
			total += changes[i].Sub(changes[i-1])
		}
	}
	return total
}

// endOr returns the end of the span, or historyEnd for a task still running.
func (s *span) endOr(historyEnd time.Time) time.Time {
	if s.end.IsZero() {
		return historyEnd
	}
	return s.end
}

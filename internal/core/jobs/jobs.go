// Package jobs validates submitted jobs, with their steps and tasks. It performs
// no I/O.
package jobs

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/core/share"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Errors of a job that cannot be accepted.
var (
	// ErrInvalid means that the job contradicts itself or exceeds a limit.
	ErrInvalid = errors.New("invalid job")
	// ErrUnsupported means that the job uses a feature that is not implemented.
	ErrUnsupported = errors.New("unsupported job")
	// ErrAboveLimit means that the job needs more at once than its team may have
	// running.
	ErrAboveLimit = errors.New("job is above its team's limit")
)

const (
	// idDigits is the length of a job's identifier.
	idDigits        = 16
	maxPayloadBytes = 4000
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 500
	// maxTasks bounds the tasks of all occurrences of a job together.
	maxTasks = 20000
	// maxDemand bounds each number of a step's resource demand and schedule. No
	// worker has this much of any resource.
	maxDemand = 1 << 40
	// maxSchedule bounds the time from 1970 to the first occurrence, and from that to
	// the last one, so that no due time overflows.
	maxSchedule = 139 * 365 * 24 * time.Hour
)

// Check returns an error that wraps ErrInvalid if the job is invalid.
func Check(job record.Job) error {
	switch {
	case !ValidID(job.ID):
		return errors.Wrapf(ErrInvalid, "identifier %.40q is not %d hexadecimal digits", job.ID, idDigits)
	case len(job.Payload) > maxPayloadBytes:
		return errors.Wrapf(ErrInvalid, "payload has %d bytes", len(job.Payload))
	case len(job.Steps) == 0 || len(job.Steps) > MaxSteps:
		return errors.Wrapf(ErrInvalid, "job has %d steps", len(job.Steps))
	case job.Occurrences < 0 || job.IntervalMillis < 0:
		return errors.Wrap(ErrInvalid, "negative number of occurrences or negative interval")
	}
	total := 0
	for i, s := range job.Steps {
		if err := checkStep(job, i, s); err != nil {
			return err
		}
		total += s.Tasks
	}
	if total > maxTasks/max(1, job.Occurrences) {
		return errors.Wrapf(ErrInvalid, "job has more than %d tasks", maxTasks)
	}
	if err := checkSchedule(job); err != nil {
		return err
	}
	if hasCycle(job) {
		return errors.Wrap(ErrInvalid, "steps form a dependency cycle")
	}
	return nil
}

// checkSchedule returns an error if a due time of the job is out of range.
func checkSchedule(job record.Job) error {
	if job.Occurrences == 0 {
		return nil
	}
	if job.IntervalMillis > maxSchedule.Milliseconds()/int64(job.Occurrences) {
		return errors.Wrapf(ErrInvalid, "%d occurrences with an interval of %d ms", job.Occurrences, job.IntervalMillis)
	}
	if first := job.FirstDueAt.UnixMilli(); !job.FirstDueAt.IsZero() && (first < 0 || first > maxSchedule.Milliseconds()) {
		return errors.Wrapf(ErrInvalid, "first occurrence is due at %d ms", first)
	}
	return nil
}

// ValidID reports whether a job may have the identifier.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

func checkStep(job record.Job, i int, s record.Step) error {
	if s.Tasks <= 0 || s.Tasks > maxTasks {
		return errors.Wrapf(ErrInvalid, "step %d has %d tasks", i, s.Tasks)
	}
	for _, n := range []int{s.Need.MilliCores, s.Need.MemoryMB, s.Need.Accelerators, int(s.EstimateMillis), s.SpreadLimit, s.MayMiss} {
		if n < 0 || n > maxDemand {
			return errors.Wrapf(ErrInvalid, "step %d has a number out of range: %d", i, n)
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= len(job.Steps) || a == i {
			return errors.Wrapf(ErrInvalid, "step %d depends on step %d", i, a)
		}
	}
	return nil
}

// hasCycle reports whether some steps can never start because they depend on
// each other. Each pass marks the steps whose dependencies are runnable, so as
// many passes as steps find all of them.
func hasCycle(job record.Job) bool {
	runnable := make([]bool, len(job.Steps))
	for range job.Steps {
		for i, s := range job.Steps {
			ready := true
			for _, a := range s.After {
				ready = ready && runnable[a]
			}
			runnable[i] = runnable[i] || ready
		}
	}
	for _, r := range runnable {
		if !r {
			return true
		}
	}
	return false
}

// CheckSupported returns an error that wraps ErrUnsupported if the job or its
// queue uses a feature that is not implemented.
func CheckSupported(job record.Job, queue rules.Queue) error {
	if queue.Advised {
		return errors.Wrap(ErrUnsupported, "queue places tasks by advice")
	}
	for i, s := range job.Steps {
		if s.FillsIdle || s.LatencyTargetMillis > 0 {
			return errors.Wrapf(ErrUnsupported, "step %d fills idle workers or has a latency target", i)
		}
	}
	return nil
}

// CheckLimit returns an error that wraps ErrAboveLimit if a gang, or a single task, of
// the job needs more than the team's limit. Such a job could never run.
func CheckLimit(job record.Job, limit record.Amount) error {
	for i, s := range job.Steps {
		need := s.Need
		if s.Gang {
			need = amount.Times(need, s.Tasks)
		}
		if !share.Within(need, limit) {
			return errors.Wrapf(ErrAboveLimit, "step %d needs %+v at once, the limit is %+v", i, need, limit)
		}
	}
	return nil
}

// Package jobs checks jobs of steps and tasks when they are submitted. It does
// no input or output.
package jobs

import (
	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Sentinel errors of a submission.
var (
	// ErrInvalid says that the job contradicts itself or is out of bounds.
	ErrInvalid = errors.New("invalid job")
	// ErrUnsupported says that the job asks for what is not built.
	ErrUnsupported = errors.New("job asks for what is not supported")
)

const (
	// idDigits is the length of a job's identifier.
	idDigits = 16
	// maxPayload is the largest payload in bytes.
	maxPayload = 4000
	// maxSteps and maxTasks bound a job, occurrences included.
	maxSteps = 500
	maxTasks = 20000
	// maxPart bounds each part of a demand; no worker has as much.
	maxPart = 1 << 40
)

// Check reports what is wrong with a job, if anything.
func Check(job record.Job) error {
	switch {
	case !validID(job.ID):
		return errors.Wrapf(ErrInvalid, "identifier %q is not %d hexadecimal digits", job.ID, idDigits)
	case len(job.Payload) > maxPayload:
		return errors.Wrapf(ErrInvalid, "payload of %d bytes", len(job.Payload))
	case len(job.Steps) == 0 || len(job.Steps) > maxSteps:
		return errors.Wrapf(ErrInvalid, "%d steps", len(job.Steps))
	case job.Occurrences < 0 || job.IntervalMillis < 0:
		return errors.Wrap(ErrInvalid, "a negative number of occurrences or interval")
	}
	total := 0
	for i, s := range job.Steps {
		if err := checkStep(job, i, s); err != nil {
			return err
		}
		total += s.Tasks
	}
	if total*max(1, job.Occurrences) > maxTasks {
		return errors.Wrapf(ErrInvalid, "more than %d tasks", maxTasks)
	}
	if cyclic(job) {
		return errors.Wrap(ErrInvalid, "steps wait for each other")
	}
	return nil
}

func validID(id string) bool {
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
	for _, part := range []int{s.Need.MilliCores, s.Need.MemoryMB, s.Need.Accelerators, int(s.EstimateMillis), s.SpreadLimit, s.MayMiss} {
		if part < 0 || part > maxPart {
			return errors.Wrapf(ErrInvalid, "step %d has a number out of bounds: %d", i, part)
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= len(job.Steps) || a == i {
			return errors.Wrapf(ErrInvalid, "step %d waits for step %d", i, a)
		}
	}
	return nil
}

// cyclic reports whether some steps can never begin.
func cyclic(job record.Job) bool {
	cleared := make([]bool, len(job.Steps))
	for range job.Steps {
		for i, s := range job.Steps {
			ready := true
			for _, a := range s.After {
				ready = ready && cleared[a]
			}
			cleared[i] = cleared[i] || ready
		}
	}
	for _, c := range cleared {
		if !c {
			return true
		}
	}
	return false
}

// Supported reports what the job asks for that is not built, if anything.
func Supported(job record.Job, queue rules.Queue) error {
	if queue.Advised {
		return errors.Wrap(ErrUnsupported, "workers by advice")
	}
	for i, s := range job.Steps {
		if s.FillsIdle || s.LatencyTargetMillis > 0 {
			return errors.Wrapf(ErrUnsupported, "step %d shares its workers", i)
		}
	}
	return nil
}

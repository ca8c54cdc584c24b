package jobs_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/jobs"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

func good() record.Job {
	return record.Job{ID: "0123456789abcdef", Steps: []record.Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}}}
}

// Steps that wait for each other can never begin.
func ExampleCheck() {
	job := good()
	job.Steps[0].After = []int{1}
	fmt.Println(jobs.Check(job))
	// Output: steps wait for each other: invalid job
}

func TestCheck(t *testing.T) {
	if err := jobs.Check(good()); err != nil {
		t.Fatal(err)
	}
	bad := map[string]func(*record.Job){
		"short identifier":  func(j *record.Job) { j.ID = "abc" },
		"foreign digits":    func(j *record.Job) { j.ID = "0123456789abcdeg" },
		"no steps":          func(j *record.Job) { j.Steps = nil },
		"no tasks":          func(j *record.Job) { j.Steps[0].Tasks = 0 },
		"too many tasks":    func(j *record.Job) { j.Steps[0].Tasks = 1 << 30 },
		"negative demand":   func(j *record.Job) { j.Steps[0].Need.Accelerators = -1 },
		"missing step":      func(j *record.Job) { j.Steps[0].After = []int{7} },
		"waits for itself":  func(j *record.Job) { j.Steps[0].After = []int{0} },
		"negative interval": func(j *record.Job) { j.IntervalMillis = -1 },
		"long payload":      func(j *record.Job) { j.Payload = string(make([]byte, 4001)) },
	}
	for name, spoil := range bad {
		job := good()
		spoil(&job)
		if err := jobs.Check(job); !errors.Is(err, jobs.ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSupported(t *testing.T) {
	shares := good()
	shares.Steps[0].FillsIdle = true
	if err := jobs.Supported(shares, rules.Queue{}); !errors.Is(err, jobs.ErrUnsupported) {
		t.Errorf("a step that shares its workers: %v", err)
	}
	if err := jobs.Supported(good(), rules.Queue{Advised: true}); !errors.Is(err, jobs.ErrUnsupported) {
		t.Errorf("a queue with advice: %v", err)
	}
	if err := jobs.Supported(good(), rules.Queue{}); err != nil {
		t.Error(err)
	}
}

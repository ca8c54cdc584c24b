package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/jobs"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

func validJob() record.Job {
	return record.Job{ID: "0123456789abcdef", Steps: []record.Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}}}
}

// Steps that depend on each other can never start.
func ExampleCheck() {
	job := validJob()
	job.Steps[0].After = []int{1}
	fmt.Println(jobs.Check(job))
	// Output: steps form a dependency cycle: invalid job
}

func TestCheck(t *testing.T) {
	if err := jobs.Check(validJob()); err != nil {
		t.Fatal(err)
	}
	invalid := map[string]func(*record.Job){
		"short identifier":  func(j *record.Job) { j.ID = "abc" },
		"not hexadecimal":   func(j *record.Job) { j.ID = "0123456789abcdeg" },
		"no steps":          func(j *record.Job) { j.Steps = nil },
		"no tasks":          func(j *record.Job) { j.Steps[0].Tasks = 0 },
		"too many tasks":    func(j *record.Job) { j.Steps[0].Tasks = 1 << 30 },
		"negative demand":   func(j *record.Job) { j.Steps[0].Need.Accelerators = -1 },
		"unknown step":      func(j *record.Job) { j.Steps[0].After = []int{7} },
		"depends on itself": func(j *record.Job) { j.Steps[0].After = []int{0} },
		"negative interval": func(j *record.Job) { j.IntervalMillis = -1 },
		"long payload":      func(j *record.Job) { j.Payload = string(make([]byte, 4001)) },
	}
	for name, mutate := range invalid {
		job := validJob()
		mutate(&job)
		if err := jobs.Check(job); !errors.Is(err, jobs.ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a submission whose number of tasks overflows: every leader that
// read such a job would build its gangs until the memory ended.
func TestScheduleOutOfRange(t *testing.T) {
	invalid := map[string]func(*record.Job){
		"tasks overflow":     func(j *record.Job) { j.Steps[0].Tasks = 3; j.Occurrences = 1 << 62 },
		"too many in total":  func(j *record.Job) { j.Occurrences = 6667 },
		"due times overflow": func(j *record.Job) { j.Occurrences, j.IntervalMillis = 3, 1<<62 },
		"due in 300 years":   func(j *record.Job) { j.Occurrences, j.IntervalMillis = 301, 365*24*3600*1000 },
		"starts never":       func(j *record.Job) { j.Occurrences, j.FirstDueAt = 1, time.UnixMilli(1<<62) },
		"started before":     func(j *record.Job) { j.Occurrences, j.FirstDueAt = 1, time.UnixMilli(-1<<62) },
	}
	for name, mutate := range invalid {
		job := validJob()
		mutate(&job)
		if err := jobs.Check(job); !errors.Is(err, jobs.ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	daily := validJob()
	daily.Occurrences, daily.IntervalMillis = 6666, 24*3600*1000
	daily.FirstDueAt = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	if err := jobs.Check(daily); err != nil {
		t.Errorf("daily for 18 years: %v", err)
	}
}

func TestSupported(t *testing.T) {
	sharing := validJob()
	sharing.Steps[0].FillsIdle = true
	if err := jobs.CheckSupported(sharing, rules.Queue{}); !errors.Is(err, jobs.ErrUnsupported) {
		t.Errorf("a step that fills idle workers: %v", err)
	}
	if err := jobs.CheckSupported(validJob(), rules.Queue{Advised: true}); !errors.Is(err, jobs.ErrUnsupported) {
		t.Errorf("a queue that places tasks by advice: %v", err)
	}
	if err := jobs.CheckSupported(validJob(), rules.Queue{}); err != nil {
		t.Error(err)
	}
}

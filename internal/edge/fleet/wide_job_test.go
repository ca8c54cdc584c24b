package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Guards against a job whose progress fits no row of the store, so that no leader can
// store anything any more: 20,000 tasks that all run and all have a checkpoint, alone or
// as one gang, with a takeover in between.
func TestProgressOfWideJobsFitsRows(t *testing.T) {
	need := record.Amount{MilliCores: 1000, MemoryMB: 1000}
	single := record.Step{Tasks: 20000, Need: need, EstimateMillis: 600_000, SavesProgress: true}
	gang := single
	gang.Gang = true
	for name, steps := range map[string][]record.Step{"single tasks": {single}, "one gang": {gang}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlanTester(t, steps...)
			p.run(3 * time.Second)
			if p.runs() != 20000 {
				t.Fatalf("%d of 20000 tasks run", p.runs())
			}
			p.end(func(task plan.TaskID) bool { return !steps[0].Gang && task.Index%2 == 0 })
			p.run(3 * time.Second)
			p.lead()
			p.run(3 * time.Second)
			p.end(func(plan.TaskID) bool { return true })
			p.run(4 * time.Second)
			if p.state() != record.Completed {
				t.Errorf("the job is stored as %s", p.state())
			}
			if n := len(p.rows); n > rosterRows+2 {
				t.Errorf("%d rows are left", n)
			}
		})
	}
}

// rosterRows is the number of rows of the roster.
const rosterRows = 16

// Guards against queue lengths that fit no row of the store: thousands of queues with
// long names, each with expected delays.
func TestQueueLengthsFitARow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var w record.Waiting
	for range 3000 {
		q := record.QueueLength{Queue: fmt.Sprintf("r-%x", random.Uint64()), Jobs: random.IntN(1000)}
		for range 20 {
			q.Starts = append(q.Starts, record.StartDelay{Size: random.IntN(1 << 30), DelayMillis: random.Int64N(1 << 40)})
		}
		w.Queues = append(w.Queues, q)
	}
	value, reduced, err := encodeWaiting(w)
	if err != nil || len(value) > maxRowBytes || !reduced {
		t.Fatalf("%d bytes, reduced %v: %v", len(value), reduced, err)
	}
	var read record.Waiting
	if err := decode(value, &read); err != nil || len(read.Queues) != 3000 || read.Queues[7].Jobs != w.Queues[7].Jobs {
		t.Errorf("%d queues were read: %v", len(read.Queues), err)
	}
}

// Guards against a row of progress that is too large since its checkpoints are: the
// longest ones are left out, and places and failures are kept.
func TestCheckpointsThatFitNoRowAreLeftOut(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := record.Progress{ID: "a", State: record.Running, Attempt: 3}
	for i := range 64 {
		checkpoint := make([]byte, 1000+100*i)
		for k := range checkpoint {
			checkpoint[k] = byte(' ' + random.IntN(95))
		}
		p.Gangs = append(p.Gangs, record.GangProgress{
			First: i, Attempt: 3, FailedAttempts: []int{1}, Checkpoint: string(checkpoint),
			Places: []record.Place{{Index: i, Worker: "i-1"}},
		})
	}
	value, reduced, err := encodeProgress(p)
	if err != nil || len(value) > maxRowBytes || !reduced {
		t.Fatalf("%d bytes, reduced %v: %v", len(value), reduced, err)
	}
	var read record.Progress
	if err := decode(value, &read); err != nil {
		t.Fatal(err)
	}
	for i, g := range read.Gangs {
		if len(g.Places) != 1 || len(g.FailedAttempts) != 1 || g.Checkpoint != "" && g.Checkpoint != p.Gangs[i].Checkpoint {
			t.Errorf("gang %d was read as %+v", i, g)
		}
	}
	if read.Gangs[0].Checkpoint == "" || p.Gangs[0].Checkpoint == "" {
		t.Error("the shortest checkpoint was left out, or the row was changed in place")
	}
}

// Guards against a job that is accepted and fits no row of the store.
func TestJobThatFitsNoRowIsInvalid(t *testing.T) {
	job := record.Job{ID: "00000000000000aa", Steps: make([]record.Step, 500)}
	if _, err := encodeJob(job); err != nil {
		t.Errorf("500 short steps: %v", err)
	}
	for i := range job.Steps {
		job.Steps[i].NearRack = fmt.Sprintf("%0200d", i)
	}
	if _, err := encodeJob(job); !errors.Is(err, errTooLarge) {
		t.Errorf("500 long steps: %v", err)
	}
}

package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/proof/simul"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func never() bool { return false }

// workersOf returns n workers in four failure domains, two to a rack.
func workersOf(n int) []sched.Worker {
	workers := make([]sched.Worker, n)
	for i := range workers {
		domain := fmt.Sprintf("domain-%d", i%4)
		workers[i] = sched.Worker{
			ID: fmt.Sprintf("worker-%02d", i), Domain: domain,
			Rack: fmt.Sprintf("%s-rack-%d", domain, i/8), Accelerators: 8,
			Address: address,
		}
	}
	return workers
}

func documentOf(teams ...schema.TeamStatus) schema.ConfigDocument {
	return schema.ConfigDocument{
		Shards: []schema.ShardSpec{{Name: "halls", Domains: []string{"domain-0", "domain-1", "domain-2", "domain-3"}}},
		Teams:  teams,
	}
}

func teamOf(name string, blocks ...schema.GuaranteeBlock) schema.TeamStatus {
	for i := range blocks {
		blocks[i].Shard = "halls"
	}
	return schema.TeamStatus{Name: name, Guarantee: blocks}
}

func twoTeams() schema.ConfigDocument {
	return documentOf(
		teamOf("acoustics", schema.GuaranteeBlock{Count: 1, Tasks: 2, Accelerators: 8, Adjacent: true}),
		teamOf("estimates", schema.GuaranteeBlock{Count: 3, Tasks: 1, Accelerators: 4}),
	)
}

func drawSpec(t *rapid.T, i int) schema.JobSpec {
	class := schema.Patient
	if rapid.Bool().Draw(t, "urgent") {
		class = schema.Urgent
	}
	return schema.JobSpec{
		ID:            fmt.Sprintf("job-%d", i),
		Team:          rapid.SampledFrom([]string{"acoustics", "estimates", "guests"}).Draw(t, "team"),
		Kind:          "model",
		Class:         class,
		Tasks:         rapid.IntRange(1, 4).Draw(t, "tasks"),
		Accelerators:  rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators"),
		NonIdempotent: rapid.IntRange(0, 3).Draw(t, "non-idempotent") == 0,
		Input:         fmt.Sprintf("run-for=%dms", rapid.IntRange(100, 20000).Draw(t, "length")),
	}
}

// TestPromisesUnderFaults runs the scheduler with lost, late, duplicated and
// reordered messages, dead and failing workers, failure domains that go out of
// service and return to it, cancellations and takeovers. The checker must find no
// violation in the history, and every job must end once the faults are over.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := simul.Faults{
			Lost:       rapid.Float64Range(0, 0.1).Draw(t, "lost"),
			Duplicated: rapid.Float64Range(0, 0.1).Draw(t, "doubled"),
			Delay:      time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond,
		}
		workers := workersOf(12)
		s := simul.New(block.BestFit{}, sched.DefaultTiming(), faults, 20*time.Millisecond,
			rand.New(rand.NewPCG(seed, 1)), start, workers, twoTeams())
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		for i := range steps {
			applyRandomEvent(t, s, i, workers)
			s.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pass"))*time.Millisecond, never)
		}
		for _, w := range workers {
			s.SetDown(w.ID, false)
			s.SetFailing(w.ID, false)
		}
		for i := range 4 {
			s.SetDomain(fmt.Sprintf("domain-%d", i), true)
		}
		s.Run(20*time.Minute, func() bool { return allEnded(s.Jobs) })
		for id, j := range s.Jobs {
			if j.State == schema.Waiting || j.State == schema.Running {
				text, _ := s.Model.Explain(id)
				t.Fatalf("%s is still %s: %s", id, j.State, text)
			}
		}
		bounds := check.DefaultBounds()
		bounds.PartialGang = sched.DefaultTiming().Lease + sched.DefaultTiming().StartWindow
		for _, v := range check.Check(s.Records, bounds) {
			t.Errorf("%s", v)
		}
	})
}

// applyRandomEvent submits a job, cancels one, replaces the owner, or makes a
// worker or a failure domain fail or recover.
func applyRandomEvent(t *rapid.T, s *simul.Simulation[block.BestFit], i int, workers []sched.Worker) {
	worker := rapid.SampledFrom(workers).Draw(t, "worker").ID
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0:
		s.SetDown(worker, true)
	case 1:
		s.SetDown(worker, false)
	case 2:
		s.SetFailing(worker, rapid.Bool().Draw(t, "failing"))
	case 3:
		domain := fmt.Sprintf("domain-%d", rapid.IntRange(0, 3).Draw(t, "domain"))
		s.SetDomain(domain, rapid.Bool().Draw(t, "in"))
	case 4:
		s.Takeover()
	case 5:
		s.Cancel(fmt.Sprintf("job-%d", rapid.IntRange(0, i).Draw(t, "cancelled")))
	default:
		s.Submit(drawSpec(t, i))
	}
}

func allEnded(jobs map[string]schema.JobStatus) bool {
	for _, j := range jobs {
		if j.State == schema.Waiting || j.State == schema.Running {
			return false
		}
	}
	return true
}

// TestGuaranteesStayFormable submits random jobs to a shard without faults. At
// all times each unused guarantee must be formable, also with any one failure
// domain out of service.
func TestGuaranteesStayFormable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := simul.New(block.BestFit{}, sched.DefaultTiming(), simul.Faults{}, 20*time.Millisecond,
			rand.New(rand.NewPCG(seed, 1)), start, workersOf(12), twoTeams())
		s.Run(time.Second, never)
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			s.Submit(drawSpec(t, i))
			s.Run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass"))*time.Millisecond, func() bool {
				if !s.Model.GuaranteesFormable(s.Now) {
					t.Fatalf("a guarantee cannot be formed after job-%d", i)
				}
				return false
			})
		}
	})
}

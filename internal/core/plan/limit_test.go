package plan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/fakes/pool"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// limitedTeam is a team that may have a number of accelerators running.
func limitedTeam(name string, accelerators int) rules.Team {
	return rules.Team{Name: name, Limit: record.Amount{Accelerators: accelerators}}
}

// ofTeam returns the job as one of the team.
func ofTeam(team string, j record.Job) record.Job {
	j.Team = team
	return j
}

// lasting makes all tasks take the given time, and returns a step with that estimate.
func lasting(w *world, length time.Duration, s record.Step) record.Step {
	w.work = func(plan.TaskID) time.Duration { return length }
	s.EstimateMillis = length.Milliseconds()
	return s
}

var _ = Describe("a team with a limit", func() {
	// Guards against a count that leaves out a part of what runs.
	It("runs a wide step in waves below its limit", func() {
		w := newWorld(1, 12)
		w.configure(limitedTeam("acoustics", 20))
		w.run(100 * time.Millisecond)
		wide := job(1, "patient", lasting(w, time.Second, step(70, 1)))
		w.submit(wide)
		w.run(600 * time.Millisecond)
		Expect(w.Running("acoustics").Accelerators).To(Equal(20))
		w.run(8 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(wide.ID)).To(Equal(record.Completed))
	})

	// Guards against two gangs that each hold a part of the limit and wait for the rest.
	It("runs gangs that do not fit together one after the other", func() {
		w := newWorld(1, 12)
		w.configure(limitedTeam("acoustics", 40))
		w.run(100 * time.Millisecond)
		s := lasting(w, 2*time.Second, gangStep(4, 8))
		for i := range 3 {
			w.submit(job(i+1, "long", s))
		}
		w.run(8 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		for id := range w.jobs {
			Expect(w.state(id)).To(Equal(record.Completed))
		}
	})

	// Pattern: an operator lowers a limit far below what the team has running, and
	// raises it again.
	It("starts nothing while it is above a lowered limit, and keeps what runs", func() {
		w := newWorld(1, 12)
		w.configure(limitedTeam("acoustics", 64))
		w.run(100 * time.Millisecond)
		s := lasting(w, 10*time.Second, step(48, 1))
		w.submit(job(1, "long", s))
		w.run(time.Second)
		w.configure(limitedTeam("acoustics", 8))
		late := job(2, "urgent", step(4, 1))
		w.submit(late)
		w.run(6 * time.Second)
		Expect(w.Running("acoustics").Accelerators).To(Equal(48))
		_, started := w.FirstStart(late.ID)
		Expect(started).To(BeFalse())
		w.configure(limitedTeam("acoustics", 64))
		w.run(300 * time.Millisecond)
		_, started = w.FirstStart(late.ID)
		Expect(started).To(BeTrue())
		Expect(w.Problems()).To(BeEmpty())
	})

	// Guards against a limit that delays a start while it waits to be stored.
	It("gives up a place that is not stored yet when its limit is lowered", func() {
		w := newWorld(1, 12)
		w.configure(limitedTeam("acoustics", 64))
		w.run(time.Second)
		w.storeDown = true
		held := job(1, "long", lasting(w, 5*time.Second, gangStep(4, 8)))
		w.submit(held)
		w.run(time.Second)
		w.configure(limitedTeam("acoustics", 16))
		w.run(6 * time.Second)
		w.storeDown = false
		w.run(6 * time.Second)
		_, started := w.FirstStart(held.ID)
		Expect(started).To(BeFalse())
		Expect(w.Problems()).To(BeEmpty())
	})

	// Pattern: a team's own patient work fills its limit when its urgent job arrives,
	// although much of the room is free.
	It("starts urgent work within its guarantee in time", func() {
		w := newWorld(1, 12)
		team := limitedTeam("acoustics", 32)
		team.Guaranteed = 16
		w.configure(team)
		w.run(100 * time.Millisecond)
		w.submit(job(1, "patient", lasting(w, 30*time.Second, step(40, 1))))
		w.run(2 * time.Second)
		Expect(w.Running("acoustics").Accelerators).To(Equal(32))
		urgent := job(2, "urgent", lasting(w, 2*time.Second, gangStep(2, 8)))
		w.submit(urgent)
		w.run(plan.DefaultTiming().Reclaim)
		_, started := w.FirstStart(urgent.ID)
		Expect(started).To(BeTrue())
		Expect(w.Problems()).To(BeEmpty())
	})

	// Guards against work that a new leader does not count, since its rows no longer
	// tell where it runs.
	It("is not exceeded by a new leader while a cancelled job of the old one still runs", func() {
		w := newWorld(1, 12)
		w.configure(limitedTeam("acoustics", 32))
		w.run(100 * time.Millisecond)
		s := lasting(w, 20*time.Second, step(32, 1))
		w.submit(job(1, "long", s))
		w.run(time.Second)
		for _, id := range w.IDs()[:6] {
			w.Worker(id).Unreachable = true
		}
		w.cancel(job(1, "long", s).ID)
		w.run(200 * time.Millisecond)
		w.replaceLeader()
		w.submit(job(2, "long", step(32, 1)))
		w.run(12 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
	})

	// Shows that the judge can fail: the planner does not know the limit.
	It("is seen to be exceeded by a planner that does not count", func() {
		w := newWorld(1, 12)
		w.SetTeamLimit("acoustics", record.Amount{Accelerators: 8})
		w.run(100 * time.Millisecond)
		w.submit(job(1, "long", step(12, 1)))
		w.run(time.Second)
		Expect(w.Problems()).NotTo(BeEmpty())
	})
})

var _ = Describe("teams with weights", func() {
	// Pattern: one team sends ten times its rate of urgent jobs beside nine that send
	// theirs.
	It("get their urgent jobs started in time beside a hot team", func() {
		onTime := func(weight float64) float64 {
			w := newWorld(1, 24)
			teams := []rules.Team{{Name: "hot", Weight: weight}}
			for i := range 9 {
				teams = append(teams, rules.Team{Name: fmt.Sprintf("calm-%d", i), Weight: weight})
			}
			w.configure(teams...)
			w.run(100 * time.Millisecond)
			s := lasting(w, 2500*time.Millisecond, gangStep(4, 4))
			// The urgent queue allows 1.5 times the run time and 250 ms.
			const slack = 1500 * time.Millisecond
			number, served, calm := 0, 0, []record.Job{}
			for tick := range 60 {
				for range 5 {
					number++
					w.submit(ofTeam("hot", job(number, "urgent", s)))
				}
				number++
				j := ofTeam(fmt.Sprintf("calm-%d", tick%9), job(number, "urgent", s))
				calm = append(calm, j)
				w.submit(j)
				w.run(500 * time.Millisecond)
			}
			for _, j := range calm {
				if at, ok := w.FirstStart(j.ID); ok && at.Sub(w.jobs[j.ID].SubmittedAt) < slack {
					served++
				}
			}
			Expect(w.Problems()).To(BeEmpty())
			return float64(served) / float64(len(calm))
		}
		Expect(onTime(0)).To(BeNumerically("<", 0.5), "without weights")
		Expect(onTime(1)).To(BeNumerically(">", 0.9), "with weights")
	})

	// Pattern: patient work of one team fills all room, that of another arrives.
	It("share the room when the work of both waits", func() {
		w := newWorld(1, 12)
		w.configure(rules.Team{Name: "first", Weight: 100}, rules.Team{Name: "second", Weight: 100})
		w.run(100 * time.Millisecond)
		s := lasting(w, 2*time.Second, step(400, 1))
		w.submit(ofTeam("first", job(1, "patient", s)))
		w.run(time.Second)
		w.submit(ofTeam("second", job(2, "patient", s)))
		w.run(6 * time.Second)
		Expect(w.Running("second").Accelerators).To(BeNumerically(">=", 40))
		Expect(w.Problems()).To(BeEmpty())
	})
})

// TestLimitsUnderFaults runs the work of two teams with limits that change, on workers
// and leaders with all the faults of TestPromisesUnderFaults.
func TestLimitsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 12)
		w.answerLossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lost")
		w.delayRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late")
		w.configure(limitedTeam("even", 16), limitedTeam("odd", 40))
		w.run(200 * time.Millisecond)
		number := 0
		for range rapid.IntRange(4, 25).Draw(t, "events") {
			f := w.Worker(fmt.Sprintf("worker-%02d", rapid.IntRange(0, 11).Draw(t, "worker")))
			limitEvent(t, w, f, &number)
			w.run(time.Duration(rapid.IntRange(10, 2500).Draw(t, "pause")) * time.Millisecond)
		}
		heal(w)
		w.configure(limitedTeam("even", 48), limitedTeam("odd", 48))
		w.run(90 * time.Second)
		for _, p := range w.Problems() {
			t.Error(p)
		}
		for id := range w.jobs {
			if state := w.state(id); state != record.Completed && state != record.Failed && state != record.Cancelled {
				t.Errorf("job %s did not end; its state is %q", id, state)
			}
		}
	})
}

// limitEvent submits a job of one of the teams, changes a limit, or does something else
// that may happen.
func limitEvent(t *rapid.T, w *world, f *pool.Worker, number *int) {
	switch kind := rapid.IntRange(0, 20).Draw(t, "kind"); {
	case kind < 8:
		*number++
		team := []string{"even", "odd"}[*number%2]
		w.submit(ofTeam(team, randomJob(t, *number)))
	case kind < 12:
		w.configure(
			limitedTeam("even", rapid.IntRange(1, 48).Draw(t, "even")),
			limitedTeam("odd", rapid.IntRange(1, 48).Draw(t, "odd")),
		)
	default:
		// The first four events submit jobs of a team without a limit.
		randomEvents[rapid.IntRange(4, firstCrashingEvent-1).Draw(t, "what")](t, w, f, number)
	}
}

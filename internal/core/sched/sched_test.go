package sched_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/proof/simul"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

var address = netip.MustParseAddrPort("127.0.0.1:1")

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

func newSimulation(document schema.ConfigDocument) *simul.Simulation[block.BestFit] {
	s := simul.New(block.BestFit{}, sched.DefaultTiming(), simul.Faults{}, 20*time.Millisecond,
		rand.New(rand.NewPCG(1, 1)), start, workersOf(8), document)
	s.Run(time.Second, never)
	return s
}

func spec(id, team string, tasks, accelerators int, length time.Duration) schema.JobSpec {
	return schema.JobSpec{
		ID: id, Team: team, Kind: "model", Class: schema.Patient, Tasks: tasks,
		Accelerators: accelerators, Input: "run-for=" + length.String(),
	}
}

func stateOf(s *simul.Simulation[block.BestFit], id string) schema.JobState {
	return s.Jobs[id].State
}

func runUntil(s *simul.Simulation[block.BestFit], limit time.Duration, id string, state schema.JobState) {
	GinkgoHelper()
	s.Run(limit, func() bool { return stateOf(s, id) == state })
	Expect(stateOf(s, id)).To(Equal(state), "%s after %s", id, limit)
}

var _ = Describe("the scheduler", func() {
	It("reclaims lent capacity for a guaranteed shape", func() {
		s := newSimulation(twoTeams())
		for i := range 16 {
			s.Submit(spec(fmt.Sprintf("loan-%d", i), "guests", 1, 4, time.Hour))
		}
		s.Run(time.Second, never)
		shape := spec("shape", "acoustics", 2, 8, time.Second)
		shape.Adjacent = true
		s.Submit(shape)
		runUntil(s, 4*time.Second, "shape", schema.Done)
		Expect(s.Jobs["shape"].Rule).To(Equal(sched.RuleGuaranteeReclaim))
	})

	It("resumes reclaimed work from its checkpoint", func() {
		s := newSimulation(twoTeams())
		s.Submit(spec("long", "guests", 8, 8, 10*time.Second))
		s.Run(6*time.Second, never)
		s.Submit(spec("guaranteed", "estimates", 1, 4, time.Second))
		runUntil(s, 4*time.Second, "guaranteed", schema.Done)
		runUntil(s, 9*time.Second, "long", schema.Done)
		Expect(s.Jobs["long"].Run).To(Equal(2))
	})

	It("never lends reclaimable capacity to work that must not run twice", func() {
		s := newSimulation(twoTeams())
		for i := range 16 {
			once := spec(fmt.Sprintf("once-%d", i), "guests", 1, 4, time.Hour)
			once.NonIdempotent = true
			s.Submit(once)
		}
		s.Run(2*time.Second, never)
		Expect(s.Model.GuaranteesFormable(s.Now)).To(BeTrue())
		running := 0
		for _, j := range s.Jobs {
			if j.State == schema.Running {
				running++
				Expect(j.Rule).To(Equal(sched.RuleBeyondGuarantees))
			}
		}
		Expect(running).To(BeNumerically(">", 0))
		Expect(running).To(BeNumerically("<", 16))
	})

	It("runs urgent work in place of lent patient work", func() {
		s := newSimulation(documentOf(teamOf("guests")))
		s.Submit(spec("patient", "guests", 8, 8, time.Hour))
		s.Run(2*time.Second, never)
		urgent := spec("urgent", "guests", 1, 8, time.Second)
		urgent.Class = schema.Urgent
		begin := s.Now
		s.Submit(urgent)
		runUntil(s, 4*time.Second, "urgent", schema.Done)
		Expect(s.Jobs["urgent"].StartedAt.Sub(begin)).To(BeNumerically("<", 1600*time.Millisecond))
	})

	It("reclaims younger lent work for a gang that has waited long", func() {
		s := newSimulation(documentOf(teamOf("guests")))
		s.Submit(spec("first", "guests", 1, 1, 2*time.Minute))
		s.Run(time.Second, never)
		s.Submit(spec("gang", "guests", 8, 8, time.Minute))
		for i := range 400 {
			s.At(time.Duration(i)*5*time.Second, func() {
				s.Submit(spec(fmt.Sprintf("small-%d", i), "guests", 1, 4, 90*time.Second))
			})
		}
		runUntil(s, 15*time.Minute, "gang", schema.Done)
		Expect(s.Jobs["gang"].StartedAt.Sub(s.Jobs["gang"].SubmittedAt)).
			To(BeNumerically("<", sched.DefaultTiming().AgedReclaimAfter+time.Minute))
	})

	It("refuses a job that can never run, with the reason", func() {
		s := newSimulation(twoTeams())
		s.Submit(spec("huge", "guests", 9, 8, time.Second))
		runUntil(s, 10*time.Second, "huge", schema.Refused)
		Expect(s.Jobs["huge"].Reason).To(ContainSubstring("9 tasks of 8 accelerators"))
	})

	It("refuses work that must not run twice and fits neither a guarantee nor the capacity outside", func() {
		s := newSimulation(documentOf(teamOf("acoustics", schema.GuaranteeBlock{Count: 6, Tasks: 1, Accelerators: 8})))
		once := spec("once", "guests", 4, 8, time.Second)
		once.NonIdempotent = true
		s.Submit(once)
		runUntil(s, 10*time.Second, "once", schema.Refused)
		Expect(s.Jobs["once"].Reason).To(ContainSubstring("must not run twice"))
	})

	It("quarantines a worker that fails every task, and tries it again later", func() {
		s := newSimulation(documentOf(teamOf("guests")))
		for i := range 8 {
			s.SetFailing(fmt.Sprintf("worker-%02d", i), i == 0)
		}
		for i := range 40 {
			s.At(time.Duration(i)*500*time.Millisecond, func() {
				s.Submit(spec(fmt.Sprintf("job-%d", i), "guests", 1, 8, 2*time.Second))
			})
		}
		s.Run(time.Minute, func() bool { return len(s.Jobs) == 40 && allEnded(s.Jobs) })
		failed := 0
		for _, j := range s.Jobs {
			Expect(j.State).To(Equal(schema.Done))
			failed += j.Run - 1
		}
		Expect(failed).To(BeNumerically("<=", 3))
	})

	It("fails a job after three runs if it fails on every worker", func() {
		s := newSimulation(twoTeams())
		bad := spec("bad", "guests", 1, 1, time.Second)
		bad.Input += "&fail=yes"
		s.Submit(bad)
		runUntil(s, 30*time.Second, "bad", schema.Failed)
		Expect(s.Jobs["bad"].Run).To(Equal(3))
	})

	It("reports work that must not run twice as unknown when a member is lost", func() {
		s := newSimulation(twoTeams())
		once := spec("once", "acoustics", 2, 8, time.Hour)
		once.NonIdempotent = true
		s.Submit(once)
		s.Run(2*time.Second, never)
		Expect(stateOf(s, "once")).To(Equal(schema.Running))
		s.SetDown(s.Jobs["once"].Places[1].Worker, true)
		runUntil(s, time.Minute, "once", schema.Unknown)
	})

	It("takes over a running gang without stopping it", func() {
		s := newSimulation(twoTeams())
		s.Submit(spec("gang", "acoustics", 4, 8, 20*time.Second))
		s.Run(5*time.Second, never)
		s.Takeover()
		runUntil(s, 20*time.Second, "gang", schema.Done)
		Expect(s.Jobs["gang"].Run).To(Equal(1))
	})

	It("renews the lease of an adopted gang at once, also on a worker that was synced just before", func() {
		m := sched.New(sched.Shard{Name: "halls", Epoch: 2}, block.BestFit{}, sched.DefaultTiming())
		m.Update(start, sched.WorkersMsg{Workers: workersOf(1)})
		_, asked := m.Update(start, sched.TickMsg{})
		answer(m, start, asked)
		job := schema.JobStatus{
			Spec: spec("gang", "guests", 1, 8, time.Minute), State: schema.Running, Run: 1, Lent: true,
			Places: []schema.TaskPlace{{Worker: "worker-00", Domain: "domain-0", Mask: 255}},
		}
		soon := start.Add(100 * time.Millisecond)
		m.Update(soon, sched.JobMsg{Job: job})
		_, cmds := m.Update(soon, sched.TickMsg{})
		Expect(cmds).To(ContainElement(HaveField("Call.Tasks", HaveLen(1))))
	})

	It("places nothing in a failure domain that is out of service, and uses it again afterwards", func() {
		s := newSimulation(twoTeams())
		s.SetDomain("domain-0", false)
		s.Run(time.Second, never)
		s.Submit(spec("whole", "guests", 8, 8, time.Second))
		s.Run(5*time.Second, never)
		Expect(stateOf(s, "whole")).To(Equal(schema.Waiting))
		s.SetDomain("domain-0", true)
		runUntil(s, 5*time.Second, "whole", schema.Done)
	})

	It("cancels waiting and running jobs", func() {
		s := newSimulation(twoTeams())
		s.Submit(spec("runs", "guests", 8, 8, time.Hour))
		s.Run(2*time.Second, never)
		s.Submit(spec("waits", "guests", 8, 8, time.Hour))
		s.Run(time.Second, never)
		s.Cancel("waits")
		s.Cancel("runs")
		runUntil(s, 5*time.Second, "waits", schema.Cancelled)
		runUntil(s, 5*time.Second, "runs", schema.Cancelled)
	})
})

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

func newDrive(document schema.ConfigDocument) *simul.Simulation[block.BestFit] {
	d := simul.New(block.BestFit{}, sched.DefaultTiming(), simul.Faults{}, 20*time.Millisecond,
		rand.New(rand.NewPCG(1, 1)), start, workersOf(8), document)
	d.Run(time.Second, never)
	return d
}

func spec(id, team string, tasks, accelerators int, length time.Duration) schema.JobSpec {
	return schema.JobSpec{
		ID: id, Team: team, Kind: "model", Class: schema.Patient, Tasks: tasks,
		Accelerators: accelerators, Input: "run-for=" + length.String(),
	}
}

func stateOf(d *simul.Simulation[block.BestFit], id string) schema.JobState {
	return d.Jobs[id].State
}

func runUntil(d *simul.Simulation[block.BestFit], limit time.Duration, id string, state schema.JobState) {
	GinkgoHelper()
	d.Run(limit, func() bool { return stateOf(d, id) == state })
	Expect(stateOf(d, id)).To(Equal(state), "%s after %s", id, limit)
}

var _ = Describe("the scheduler", func() {
	It("reclaims lent capacity for a guaranteed shape", func() {
		d := newDrive(twoTeams())
		for i := range 16 {
			d.Submit(spec(fmt.Sprintf("loan-%d", i), "guests", 1, 4, time.Hour))
		}
		d.Run(time.Second, never)
		shape := spec("shape", "acoustics", 2, 8, time.Second)
		shape.Adjacent = true
		d.Submit(shape)
		runUntil(d, 4*time.Second, "shape", schema.Done)
		Expect(d.Jobs["shape"].Rule).To(Equal(sched.RuleGuaranteeReclaim))
	})

	It("resumes reclaimed work from its checkpoint", func() {
		d := newDrive(twoTeams())
		d.Submit(spec("long", "guests", 8, 8, 10*time.Second))
		d.Run(6*time.Second, never)
		d.Submit(spec("guaranteed", "estimates", 1, 4, time.Second))
		runUntil(d, 4*time.Second, "guaranteed", schema.Done)
		runUntil(d, 9*time.Second, "long", schema.Done)
		Expect(d.Jobs["long"].Run).To(Equal(2))
	})

	It("never lends reclaimable capacity to work that must not run twice", func() {
		d := newDrive(twoTeams())
		for i := range 16 {
			once := spec(fmt.Sprintf("once-%d", i), "guests", 1, 4, time.Hour)
			once.NonIdempotent = true
			d.Submit(once)
		}
		d.Run(2*time.Second, never)
		Expect(d.Model.GuaranteesFormable(d.Now)).To(BeTrue())
		running := 0
		for _, j := range d.Jobs {
			if j.State == schema.Running {
				running++
				Expect(j.Rule).To(Equal(sched.RuleBeyondGuarantees))
			}
		}
		Expect(running).To(BeNumerically(">", 0))
		Expect(running).To(BeNumerically("<", 16))
	})

	It("runs urgent work in place of lent patient work", func() {
		d := newDrive(documentOf(teamOf("guests")))
		d.Submit(spec("patient", "guests", 8, 8, time.Hour))
		d.Run(2*time.Second, never)
		urgent := spec("urgent", "guests", 1, 8, time.Second)
		urgent.Class = schema.Urgent
		begin := d.Now
		d.Submit(urgent)
		runUntil(d, 4*time.Second, "urgent", schema.Done)
		Expect(d.Jobs["urgent"].StartedAt.Sub(begin)).To(BeNumerically("<", 1600*time.Millisecond))
	})

	It("reclaims younger lent work for a gang that has waited long", func() {
		d := newDrive(documentOf(teamOf("guests")))
		d.Submit(spec("first", "guests", 1, 1, 2*time.Minute))
		d.Run(time.Second, never)
		d.Submit(spec("gang", "guests", 8, 8, time.Minute))
		for i := range 400 {
			d.At(time.Duration(i)*5*time.Second, func() {
				d.Submit(spec(fmt.Sprintf("small-%d", i), "guests", 1, 4, 90*time.Second))
			})
		}
		runUntil(d, 15*time.Minute, "gang", schema.Done)
		Expect(d.Jobs["gang"].StartedAt.Sub(d.Jobs["gang"].SubmittedAt)).
			To(BeNumerically("<", sched.DefaultTiming().AgedReclaimAfter+time.Minute))
	})

	It("refuses a job that can never run, with the reason", func() {
		d := newDrive(twoTeams())
		d.Submit(spec("huge", "guests", 9, 8, time.Second))
		runUntil(d, 10*time.Second, "huge", schema.Refused)
		Expect(d.Jobs["huge"].Reason).To(ContainSubstring("9 tasks of 8 accelerators"))
	})

	It("refuses work that must not run twice and fits neither a guarantee nor the capacity outside", func() {
		d := newDrive(documentOf(teamOf("acoustics", schema.GuaranteeBlock{Count: 6, Tasks: 1, Accelerators: 8})))
		once := spec("once", "guests", 4, 8, time.Second)
		once.NonIdempotent = true
		d.Submit(once)
		runUntil(d, 10*time.Second, "once", schema.Refused)
		Expect(d.Jobs["once"].Reason).To(ContainSubstring("must not run twice"))
	})

	It("quarantines a worker that fails every task, and tries it again later", func() {
		d := newDrive(documentOf(teamOf("guests")))
		for i := range 8 {
			d.SetFailing(fmt.Sprintf("worker-%02d", i), i == 0)
		}
		for i := range 40 {
			d.At(time.Duration(i)*500*time.Millisecond, func() {
				d.Submit(spec(fmt.Sprintf("job-%d", i), "guests", 1, 8, 2*time.Second))
			})
		}
		d.Run(time.Minute, func() bool { return len(d.Jobs) == 40 && allEnded(d.Jobs) })
		failed := 0
		for _, j := range d.Jobs {
			Expect(j.State).To(Equal(schema.Done))
			failed += j.Run - 1
		}
		Expect(failed).To(BeNumerically("<=", 3))
	})

	It("fails a job after three runs if it fails on every worker", func() {
		d := newDrive(twoTeams())
		bad := spec("bad", "guests", 1, 1, time.Second)
		bad.Input += "&fail=yes"
		d.Submit(bad)
		runUntil(d, 30*time.Second, "bad", schema.Failed)
		Expect(d.Jobs["bad"].Run).To(Equal(3))
	})

	It("reports work that must not run twice as unknown when a member is lost", func() {
		d := newDrive(twoTeams())
		once := spec("once", "acoustics", 2, 8, time.Hour)
		once.NonIdempotent = true
		d.Submit(once)
		d.Run(2*time.Second, never)
		Expect(stateOf(d, "once")).To(Equal(schema.Running))
		d.SetDown(d.Jobs["once"].Places[1].Worker, true)
		runUntil(d, time.Minute, "once", schema.Unknown)
	})

	It("takes over a running gang without stopping it", func() {
		d := newDrive(twoTeams())
		d.Submit(spec("gang", "acoustics", 4, 8, 20*time.Second))
		d.Run(5*time.Second, never)
		d.Takeover()
		runUntil(d, 20*time.Second, "gang", schema.Done)
		Expect(d.Jobs["gang"].Run).To(Equal(1))
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
		d := newDrive(twoTeams())
		d.SetDomain("domain-0", false)
		d.Run(time.Second, never)
		d.Submit(spec("whole", "guests", 8, 8, time.Second))
		d.Run(5*time.Second, never)
		Expect(stateOf(d, "whole")).To(Equal(schema.Waiting))
		d.SetDomain("domain-0", true)
		runUntil(d, 5*time.Second, "whole", schema.Done)
	})

	It("cancels waiting and running jobs", func() {
		d := newDrive(twoTeams())
		d.Submit(spec("runs", "guests", 8, 8, time.Hour))
		d.Run(2*time.Second, never)
		d.Submit(spec("waits", "guests", 8, 8, time.Hour))
		d.Run(time.Second, never)
		d.Cancel("waits")
		d.Cancel("runs")
		runUntil(d, 5*time.Second, "waits", schema.Cancelled)
		runUntil(d, 5*time.Second, "runs", schema.Cancelled)
	})
})

package plan_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

var _ = Describe("a job", func() {
	It("runs all tasks of a gang and is completed", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		w.submit(job(1, "long", gangStep(5, 4)))
		w.run(4 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(job(1, "", step(1, 1)).ID)).To(Equal(record.Completed))
	})

	It("runs its steps in order", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		j := job(1, "patient", step(6, 1))
		second := step(3, 2)
		second.After = []int{0}
		j.Steps = append(j.Steps, second)
		w.submit(j)
		w.run(6 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	It("fails after as many failed runs as its queue allows", func() {
		w := newWorld(1, 12)
		w.fails = func(plan.TaskID, string) bool { return true }
		w.run(100 * time.Millisecond)
		j := job(1, "long", step(1, 1))
		w.submit(j)
		w.run(15 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Failed))
		Expect(w.Failures(plan.TaskID{Job: j.ID})).To(Equal(3))
	})

	It("is stopped when it is cancelled, and not started again", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		j := job(1, "long", gangStep(5, 4))
		w.submit(j)
		w.run(time.Second)
		w.cancel(j.ID)
		w.run(2 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Cancelled))
		for _, id := range w.IDs() {
			Expect(w.Worker(id).Running()).To(BeZero())
		}
	})

	// After the store has dropped its history, every job row is read again.
	It("is not run again when its row is read again after its end", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		j := job(1, "long", gangStep(5, 4))
		w.submit(j)
		w.run(4 * time.Second)
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		w.send(plan.JobMsg{Job: w.jobs[j.ID]})
		w.run(4 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// A worker may disappear from the list and never answer again.
	It("is run elsewhere when its worker is gone for good", func() {
		w := newWorld(1, 2)
		w.run(100 * time.Millisecond)
		j := job(1, "long", step(1, 1))
		w.submit(j)
		w.run(time.Second)
		for _, id := range w.IDs() {
			if f := w.Worker(id); f.Running() > 0 {
				f.Dead = true
				w.send(plan.WorkersMsg{Gone: []string{id}})
			}
		}
		w.run(12 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})

	// A leader that cannot reach the store acknowledges no ends, and its
	// successor finds the ends of several attempts at once.
	It("counts failures that an earlier leader saw and could not store", func() {
		w := newWorld(1, 12)
		w.fails = func(plan.TaskID, string) bool { return true }
		w.work = func(plan.TaskID) time.Duration { return 3 * time.Second }
		w.run(100 * time.Millisecond)
		w.storeDown = true
		j := job(1, "long", step(1, 1))
		w.submit(j)
		w.run(7 * time.Second)
		Expect(w.Failures(plan.TaskID{Job: j.ID})).To(BeZero())
		w.storeDown = false
		// The successor finds the running attempt before the ends of the
		// earlier ones.
		for _, id := range w.IDs() {
			w.Worker(id).Unreachable = w.Worker(id).Unacknowledged() > 0
		}
		w.replaceLeader()
		w.run(300 * time.Millisecond)
		for _, id := range w.IDs() {
			w.Worker(id).Unreachable = false
		}
		w.run(15 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Failed))
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(3))
	})

	// An earlier leader continues until it learns of the takeover, and reads the
	// same new jobs as its successor.
	It("is started by one of two leaders only", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		// The successor has the answers of some workers before those of the
		// workers on which the earlier leader starts the job.
		for _, id := range w.IDs()[:6] {
			w.Worker(id).PollDelay = 300 * time.Millisecond
		}
		w.addLeader()
		w.run(10 * time.Millisecond)
		j := job(1, "urgent", gangStep(3, 4))
		w.submit(j)
		w.run(5 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
	})

	// A worker that was idle for long holds no lease while a new placement
	// waits for a slow store.
	It("keeps its places while they are being stored", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		w.submit(job(1, "long", gangStep(4, 8)))
		w.run(15 * time.Second)
		w.storeDown = true
		j := job(2, "urgent", gangStep(4, 8))
		w.submit(j)
		w.run(time.Second)
		w.storeDown = false
		w.run(5 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		Expect(w.progress[j.ID].Attempt).To(Equal(1))
	})

	// A failure domain may go out of service while a placement in it is being
	// stored.
	It("is not started in a domain that went out of service while its places were being stored", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		w.storeDown = true
		j := job(1, "urgent", gangStep(2, 8))
		w.submit(j)
		w.run(200 * time.Millisecond)
		w.send(plan.DomainsMsg{OutOfService: []string{"domain-0"}})
		w.run(200 * time.Millisecond)
		w.storeDown = false
		w.run(4 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		for _, note := range w.Events() {
			if strings.Contains(note, "starts") {
				Expect(note).NotTo(MatchRegexp("worker-0[0-5]"))
			}
		}
	})

	// An unanswered start is repeated, but not on a draining worker.
	It("is not started again at a worker that has begun to drain", func() {
		w := newWorld(1, 12)
		w.run(100 * time.Millisecond)
		for _, id := range w.IDs()[:6] {
			w.Worker(id).Unreachable = true
		}
		j := job(1, "urgent", gangStep(2, 8))
		w.submit(j)
		w.run(500 * time.Millisecond)
		for _, id := range w.IDs()[:6] {
			entry := w.Worker(id).Entry
			entry.Draining, entry.Remaining = true, 5*time.Second
			w.send(plan.WorkersMsg{Changed: []plan.Worker{entry}})
		}
		w.run(100 * time.Millisecond)
		for _, id := range w.IDs()[:6] {
			w.Worker(id).Unreachable = false
		}
		w.run(10 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		for _, note := range w.Events() {
			if strings.Contains(note, "starts") {
				Expect(note).NotTo(MatchRegexp("worker-0[0-5]"))
			}
		}
	})

	// The answer to the start is lost and the task ends before the start is
	// repeated, so that the repeated start is refused as outdated.
	It("is not started again when it ended before its start was repeated", func() {
		w := newWorld(1, 12)
		w.work = func(plan.TaskID) time.Duration { return 300 * time.Millisecond }
		w.run(100 * time.Millisecond)
		w.answerLossRate = 1
		j := job(1, "long", step(1, 1))
		w.submit(j)
		w.run(1500 * time.Millisecond)
		w.answerLossRate = 0
		w.run(time.Second)
		w.replaceLeader()
		w.run(12 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(Equal(1))
	})

	// An earlier leader renews leases until it learns of the takeover. If the
	// store is unavailable meanwhile, the time of its last renewal depends on
	// when it polls.
	DescribeTable("is not started again while an earlier leader may renew its lease", func(before time.Duration) {
		w := newWorld(1, 12)
		w.work = func(plan.TaskID) time.Duration { return 20 * time.Second }
		w.run(100 * time.Millisecond)
		j := job(1, "long", step(1, 1))
		w.submit(j)
		w.run(before)
		for _, id := range w.IDs() {
			w.partitioned[id] = w.Worker(id).Running() > 0
		}
		w.addLeader()
		w.storeDown = true
		w.run(1900 * time.Millisecond)
		w.storeDown = false
		w.run(40 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	},
		Entry("early in a poll", 300*time.Millisecond),
		Entry("in the middle of a poll", 600*time.Millisecond),
		Entry("late in a poll", 900*time.Millisecond),
	)
})

var _ = Describe("a new leader", func() {
	// The rows of earlier leaders may take seconds to read from a slow store.
	It("renews its row, and stores nothing else, until it has read all rows", func() {
		now := origin
		m := plan.New(now, 2, plan.DefaultTiming(), plan.Policy{})
		var writes []plan.WriteCmd
		send := func(msg plan.Msg) {
			var cmds []plan.Cmd
			m, cmds = m.Update(now, msg)
			for _, cmd := range cmds {
				if write, ok := cmd.(plan.WriteCmd); ok {
					writes = append(writes, write)
				}
			}
		}
		entry := plan.Worker{ID: "worker-0", StartedAt: origin, Target: "hall"}
		send(plan.WorkersMsg{Changed: []plan.Worker{entry}, Complete: true})
		send(plan.JobMsg{Job: job(1, "long", step(1, 1))})
		for now.Sub(origin) < 3*time.Second {
			now = now.Add(50 * time.Millisecond)
			if n := len(writes); n > 0 {
				send(plan.WrittenMsg{Batch: writes[n-1].Batch})
			}
			send(plan.TickMsg{})
		}
		Expect(len(writes)).To(BeNumerically(">=", int(3*time.Second/plan.DefaultTiming().RenewInterval)-1))
		for _, write := range writes {
			Expect(write).To(Equal(plan.WriteCmd{Batch: write.Batch}))
		}
	})
})

var _ = Describe("an end", func() {
	// An answer may report the end of an attempt that has been given up
	// meanwhile.
	It("counts as done while the next attempt is still being stored", func() {
		w := newWorld(1, 1)
		w.run(100 * time.Millisecond)
		w.storeDown = true
		j := job(1, "long", step(1, 1))
		w.jobs[j.ID] = j
		earlier := record.Progress{ID: j.ID, State: record.Running, Attempt: 1}
		w.send(plan.JobMsg{Job: j, Progress: []record.Progress{earlier}})
		w.run(500 * time.Millisecond)
		entry := w.Alive()[0]
		w.send(plan.PollMsg{
			Worker: entry.ID, Answered: true, StartedAt: entry.StartedAt, Clock: w.now, SentAt: w.now,
			Ended: []plan.EndReport{{Number: 1, Task: plan.TaskID{Job: j.ID}, Attempt: 1, Kind: plan.EndDone}},
		})
		w.storeDown = false
		w.run(5 * time.Second)
		Expect(w.Starts(plan.TaskID{Job: j.ID})).To(BeZero())
		Expect(w.state(j.ID)).To(Equal(record.Completed))
	})
})

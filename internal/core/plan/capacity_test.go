package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Workers here start whatever they are told to, so that only the planner keeps
// them within their capacity.
var _ = Describe("a worker that does not guard its capacity", func() {
	const (
		whole = 8
		half  = 4
	)

	// newUnguarded returns a world of unguarded workers, which judge a start by the
	// capacity that they have when it is sent.
	newUnguarded := func(workers int) *world {
		w := newWorld(1, workers)
		w.unguard()
		w.LimitGrace = 0
		w.run(100 * time.Millisecond)
		return w
	}

	// taking returns a job of one task.
	taking := func(number int, queue string, accelerators int) record.Job {
		return job(number, queue, step(1, accelerators))
	}

	// Guards against a leader that counts nothing for a run that it does not know,
	// and fills its place before the run has been stopped.
	It("is not filled after a takeover while a cancelled job's run is being stopped", func() {
		w := newUnguarded(1)
		cancelled := taking(1, "long", whole)
		w.submit(cancelled)
		w.run(200 * time.Millisecond)
		w.cancel(cancelled.ID)
		w.run(50 * time.Millisecond)
		w.replaceLeader()
		next := taking(2, "long", half)
		w.submit(next)
		w.run(6 * time.Second)
		Expect(w.Problems()).To(BeEmpty())
		Expect(w.state(next.ID)).To(Equal(record.Completed))
	})
})

package pool

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// formerCapacity is a capacity that a worker had until the given time.
type formerCapacity struct {
	amount record.Amount
	until  time.Time
}

// SetCapacity changes a worker's capacity. What runs there goes on.
func (p *Pool) SetCapacity(w *Worker, capacity record.Amount) {
	p.RecordEvent("%s has capacity %v", w.Entry.ID, capacity)
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.Entry.Capacity, p.clock.Now()})
	w.Entry.Capacity = capacity
}

// largestSince returns the most of each resource that the worker's capacity held
// at or after the given time.
func (w *Worker) largestSince(at time.Time) record.Amount {
	most := w.Entry.Capacity
	for _, c := range w.formerCapacities {
		if c.until.Before(at) {
			continue
		}
		most.MilliCores = max(most.MilliCores, c.amount.MilliCores)
		most.MemoryMB = max(most.MemoryMB, c.amount.MemoryMB)
		most.Accelerators = max(most.Accelerators, c.amount.Accelerators)
	}
	return most
}

// checkLimit records a problem if a start that was sent at the given time brings
// an unguarded worker over its capacity. Runs that are being stopped count.
func (p *Pool) checkLimit(w *Worker, cmd plan.StartCmd, step record.Step, sentAt time.Time) {
	if w.Unguarded && !w.hasCapacity(step.Need, w.largestSince(sentAt.Add(-p.LimitGrace))) {
		p.RecordProblem("%v attempt %d brings %s over its capacity %v", cmd.Task, cmd.Attempt, w.Entry.ID, w.Entry.Capacity)
	}
}

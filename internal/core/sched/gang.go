package sched

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// phase is a gang's step in its life cycle. It is finer than the recorded state
// of the job.
type phase int

const (
	// waiting gangs are in the queue.
	waiting phase = iota
	// reclaiming gangs have places and wait until these are free.
	reclaiming
	// holding gangs wait for their workers to hold the places.
	holding
	// committing gangs wait for the commit of their start.
	committing
	// starting gangs wait for their workers to start the tasks.
	starting
	// running gangs have started all of their tasks.
	running
	// adopting gangs were committed by an earlier owner and wait for their
	// workers to report.
	adopting
	// stopping gangs wait until no task can still run.
	stopping
	// ended gangs are in a final state.
	ended
)

// gang is a job and, while it has places, the members that run its tasks.
type gang struct {
	status schema.JobStatus
	shape  block.Shape
	// rank orders the queue, earliest first.
	rank  time.Time
	phase phase

	members []member
	// allocation is what the gang uses of its team's guarantee.
	allocation quota.Allocation
	// notBefore is when a waiting gang may be placed again.
	notBefore time.Time
	// deadline is when the current phase times out.
	deadline time.Time
	// leaseUntil is the latest time until which any member may run.
	leaseUntil time.Time
	startBy    time.Time
	startSent  time.Time

	cancelled bool
	// stateAfterStop is the job's state once all members have stopped.
	stateAfterStop schema.JobState
	// reason is why the run is being stopped or the job refused.
	reason       string
	startRetries int
	failedRuns   int
	// failedOn names the workers on which a run of the job has failed.
	failedOn     map[string]bool
	reclaimCount int
}

// member is one task of a run and the accelerators it takes on a worker.
type member struct {
	node  *node
	mask  block.Mask
	state plat.TaskState
	// confirmed is set when the worker itself has reported state.
	confirmed bool
	// freed is set when the member no longer takes its accelerators.
	freed bool
}

// finished reports whether the worker has reported that the task is done.
func (mb member) finished() bool {
	return mb.confirmed && mb.state == plat.Done
}

func newGang(status schema.JobStatus, lead time.Duration) *gang {
	g := &gang{
		status: status,
		shape: block.Shape{
			Tasks:        status.Spec.Tasks,
			Accelerators: status.Spec.Accelerators,
			Adjacent:     status.Spec.Adjacent,
		},
		rank: status.SubmittedAt,
	}
	if status.Spec.Class == schema.Urgent {
		g.rank = g.rank.Add(-lead)
	}
	return g
}

// pinned reports whether the gang's accelerators cannot be reclaimed, since it
// runs within its team's guarantee or must not run twice.
func (g *gang) pinned() bool {
	return g.usesGuarantee() || g.status.Spec.NonIdempotent
}

// usesGuarantee reports whether the gang runs within its team's guarantee.
func (g *gang) usesGuarantee() bool {
	return !g.allocation.Empty()
}

// pinnedOutsideGuarantee reports whether the gang must not run twice and has
// places outside its team's guarantee, which therefore cannot be reclaimed.
func (g *gang) pinnedOutsideGuarantee() bool {
	return g.status.Spec.NonIdempotent && !g.usesGuarantee()
}

func (g *gang) key(task int) plat.TaskKey {
	return plat.TaskKey{Job: g.status.Spec.ID, Run: g.status.Run, Task: task}
}

// tasksByNode groups the gang's tasks by node.
func (g *gang) tasksByNode() []nodeTasks {
	var byNode []nodeTasks
	index := make(map[*node]int, len(g.members))
	for i := range g.members {
		n := g.members[i].node
		k, ok := index[n]
		if !ok {
			k = len(byNode)
			index[n] = k
			byNode = append(byNode, nodeTasks{node: n})
		}
		byNode[k].tasks = append(byNode[k].tasks, i)
	}
	return byNode
}

// nodeTasks lists the tasks of a gang that are on one node.
type nodeTasks struct {
	node  *node
	tasks []int
}

func (g *gang) allMembers(ok func(member) bool) bool {
	for _, mb := range g.members {
		if !ok(mb) {
			return false
		}
	}
	return true
}

// inState returns a predicate for members whose worker has reported the state.
func inState(state plat.TaskState) func(member) bool {
	return func(mb member) bool { return mb.confirmed && mb.state == state }
}

// fullOrders returns task orders with everything that a worker needs to run the
// tasks.
func (g *gang) fullOrders(tasks []int) []plat.TaskOrder {
	orders := make([]plat.TaskOrder, len(tasks))
	for i, t := range tasks {
		orders[i] = plat.TaskOrder{
			Key:        g.key(t),
			Mask:       uint64(g.members[t].mask),
			Kind:       g.status.Spec.Kind,
			Input:      g.status.Spec.Input,
			Checkpoint: g.status.Checkpoint,
		}
	}
	return orders
}

// keyOrders returns task orders that only identify the tasks and their
// accelerators.
func (g *gang) keyOrders(tasks []int) []plat.TaskOrder {
	orders := make([]plat.TaskOrder, len(tasks))
	for i, t := range tasks {
		orders[i] = plat.TaskOrder{Key: g.key(t), Mask: uint64(g.members[t].mask)}
	}
	return orders
}

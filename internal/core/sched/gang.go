package sched

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// phase is where a gang stands between two recorded states.
type phase int

const (
	waiting phase = iota
	reclaiming
	holding
	committing
	starting
	running
	adopting
	stopping
	ended
)

// gang is a job and, while it has a run, the members that run its tasks.
type gang struct {
	status schema.JobStatus
	shape  block.Shape
	rank   time.Time
	phase  phase

	members    []member
	allocation quota.Allocation
	notBefore  time.Time
	// deadline ends the present phase.
	deadline time.Time
	// leaseUntil is the latest time until which any member may run.
	leaseUntil time.Time
	startBy    time.Time
	startSent  time.Time

	cancelled      bool
	stateAfterStop schema.JobState
	reason         string
	startRetries   int
	failedRuns     int
	// failedOn names the workers on which a run of the job has failed.
	failedOn     map[string]bool
	reclaimCount int
	stopSent     bool
}

// member is one task of a run and the part of a worker it takes.
type member struct {
	node  *node
	mask  block.Mask
	state plat.TaskState
	// confirmed is set when the worker itself said that the task is in state.
	confirmed bool
	freed     bool
}

// finished reports whether the worker said that the task ended by itself.
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

// pinned reports whether the gang's accelerators cannot be reclaimed: it runs
// within its team's guarantee or must not run twice.
func (g *gang) pinned() bool {
	return g.usesGuarantee() || g.status.Spec.NonIdempotent
}

// usesGuarantee reports whether the gang uses its team's guarantee.
func (g *gang) usesGuarantee() bool {
	return !g.allocation.Empty()
}

// pinnedOutsideGuarantee reports whether the gang has places outside its team's guarantee and
// cannot be stopped there.
func (g *gang) pinnedOutsideGuarantee() bool {
	return g.status.Spec.NonIdempotent && !g.usesGuarantee()
}

func (g *gang) key(task int) plat.TaskKey {
	return plat.TaskKey{Job: g.status.Spec.ID, Run: g.status.Run, Task: task}
}

// tasksByNode returns the nodes of the gang, each once, with its task numbers.
func (g *gang) tasksByNode() []nodeTasks {
	var shares []nodeTasks
	at := make(map[*node]int, len(g.members))
	for i := range g.members {
		n := g.members[i].node
		k, ok := at[n]
		if !ok {
			k = len(shares)
			at[n] = k
			shares = append(shares, nodeTasks{node: n})
		}
		shares[k].tasks = append(shares[k].tasks, i)
	}
	return shares
}

// nodeTasks is the part of a gang that one worker runs.
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

func inState(state plat.TaskState) func(member) bool {
	return func(mb member) bool { return mb.confirmed && mb.state == state }
}

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

func (g *gang) keyOrders(tasks []int) []plat.TaskOrder {
	orders := make([]plat.TaskOrder, len(tasks))
	for i, t := range tasks {
		orders[i] = plat.TaskOrder{Key: g.key(t), Mask: uint64(g.members[t].mask)}
	}
	return orders
}

package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// maxAttempts is how many runs of an idempotent job may fail before the job
	// fails.
	maxAttempts = 3
	// endedRetention is how long an ended gang is remembered. It must be longer
	// than any read of the store takes, so that a stale read does not add the
	// job again.
	endedRetention = time.Minute
	// refuseInfeasibleAfter is how long a shape must not fit the listed workers
	// before the job is refused; the list of workers lags behind reality.
	refuseInfeasibleAfter = 5 * time.Second
)

func (m *Model[P]) addJob(now time.Time, status schema.JobStatus) {
	id := status.Spec.ID
	if _, known := m.gangs[id]; known {
		return
	}
	lead := m.timing.UrgentLead
	if m.options.noUrgentLead {
		lead = 0
	}
	g := newGang(status, lead)
	m.gangs[id] = g
	switch status.State {
	case schema.Waiting:
		m.enqueue(g)
		m.checkFeasible(now, g)
		m.passNeeded = true
	case schema.Running:
		m.adopt(now, g)
	case schema.Done, schema.Failed, schema.Cancelled, schema.Refused, schema.Unknown:
		delete(m.gangs, id)
	}
}

// enqueue inserts the gang into the queue, ordered by rank.
func (m *Model[P]) enqueue(g *gang) {
	g.phase = waiting
	i, _ := slices.BinarySearchFunc(m.queue, g, byRank)
	m.queue = slices.Insert(m.queue, i, g)
}

func (m *Model[P]) dequeue(g *gang) {
	i, ok := slices.BinarySearchFunc(m.queue, g, byRank)
	if ok {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

func byRank(a, b *gang) int {
	if c := a.rank.Compare(b.rank); c != 0 {
		return c
	}
	switch {
	case a.status.Spec.ID < b.status.Spec.ID:
		return -1
	case a.status.Spec.ID > b.status.Spec.ID:
		return 1
	default:
		return 0
	}
}

// adopt takes over a run that an earlier owner committed. The workers of its
// members are asked for their state before anything is decided.
func (m *Model[P]) adopt(now time.Time, g *gang) {
	g.phase = adopting
	g.startBy = g.status.LeaseUntil.Add(-m.timing.Lease)
	g.leaseUntil = now.Add(m.timing.Lease)
	g.deadline = g.leaseUntil.Add(m.timing.ClockBound)
	m.active.Add(g)
	m.bindMembers(g)
	for _, mb := range g.members {
		mb.node.nextSync = now
	}
	m.allocateAdopted(g)
}

// bindMembers binds the recorded places of an adopted gang to nodes. It creates
// the nodes of workers that have not been listed yet.
func (m *Model[P]) bindMembers(g *gang) {
	g.members = make([]member, len(g.status.Places))
	for i, p := range g.status.Places {
		n, ok := m.nodes[p.Worker]
		if !ok {
			n = &node{Worker: Worker{ID: p.Worker, Domain: p.Domain, Rack: p.Rack}}
			m.nodes[p.Worker] = n
			m.sortedNodes = append(m.sortedNodes, n)
		}
		mask := block.Mask(p.Mask)
		n.total |= mask
		n.free &^= mask
		n.gangs.Add(g)
		g.members[i] = member{node: n, mask: mask}
	}
}

// resizeNodes sets the size of nodes to the listed number of accelerators. Nodes
// that bindMembers created only have the accelerators of adopted gangs.
func (m *Model[P]) resizeNodes() {
	for _, n := range m.poolNodes {
		full := block.Full(n.Accelerators)
		if n.total == full {
			continue
		}
		n.total = full
		n.free = full
		for g := range n.gangs.All() {
			for _, mb := range g.members {
				if mb.node == n && !mb.freed {
					n.free &^= mb.mask
				}
			}
		}
	}
	m.rebuildPool()
}

// allocateAdopted charges a run that already has places to its team's guarantee,
// if the places fit into it.
func (m *Model[P]) allocateAdopted(g *gang) {
	if g.status.Lent || m.config.Version == 0 || g.usesGuarantee() {
		return
	}
	places := make([]block.Place, len(g.members))
	for i, mb := range g.members {
		index, ok := m.pool.Index(mb.node.ID)
		if !ok {
			return
		}
		places[i] = block.Place{Worker: index, Mask: mb.mask}
	}
	g.allocation, _ = m.ledger.Adopt(g.status.Spec.Team, places)
	m.assignedFrom = nil
}

// setConfig applies a newer configuration. Accelerators are reserved anew for
// all guarantees, where possible those on which the team's gangs already run.
func (m *Model[P]) setConfig(now time.Time, msg ConfigMsg) {
	m.configRowVersion = max(m.configRowVersion, msg.Version)
	if msg.Config.Version <= m.config.Version {
		return
	}
	m.config = msg.Config
	m.ledger = quota.New(m.pool, allGuarantees(msg.Config.Document, m.shard.Name))
	m.assignedFrom = nil
	for g := range m.active.All() {
		g.allocation = quota.Allocation{}
		m.allocateAdopted(g)
		g.status.Lent = !g.pinned()
	}
	m.recheckQueue(now)
	m.passNeeded = true
}

func allGuarantees(document schema.ConfigDocument, shard string) []quota.Guarantee {
	var list []quota.Guarantee
	for _, t := range document.Teams {
		list = append(list, Guarantees(t, shard)...)
	}
	return list
}

// Guarantees returns the team's guarantees in the named shard.
func Guarantees(team schema.TeamStatus, shard string) []quota.Guarantee {
	var list []quota.Guarantee
	for _, b := range team.Guarantee {
		if b.Shard != shard {
			continue
		}
		list = append(list, quota.Guarantee{
			Team:  team.Name,
			Count: b.Count,
			Block: block.Shape{Tasks: b.Tasks, Accelerators: b.Accelerators, Adjacent: b.Adjacent},
		})
	}
	return list
}

// recheckQueue checks again whether each waiting job is feasible, after the
// workers or the configuration have changed.
func (m *Model[P]) recheckQueue(now time.Time) {
	for _, g := range slices.Clone(m.queue) {
		m.checkFeasible(now, g)
	}
}

// checkFeasible sets a deadline for the refusal of a waiting job that fits
// nowhere even if all workers were empty, and clears it if the job fits.
func (m *Model[P]) checkFeasible(now time.Time, g *gang) {
	if g.phase != waiting || len(m.poolNodes) == 0 || m.config.Version == 0 {
		return
	}
	reason := m.infeasibleReason(g)
	if reason == "" {
		g.deadline = time.Time{}
		return
	}
	if g.deadline.IsZero() {
		g.deadline = now.Add(refuseInfeasibleAfter)
		m.active.Add(g)
		g.reason = reason
	}
}

// infeasibleReason returns why the gang could not be placed even if all workers
// were empty, or "".
func (m *Model[P]) infeasibleReason(g *gang) string {
	totals := m.pool.Totals()
	places := m.policy.Place(m.pool, totals, g.shape)
	if places == nil {
		return fmt.Sprintf("the shard's workers cannot hold %d tasks of %d accelerators",
			g.shape.Tasks, g.shape.Accelerators)
	}
	if !g.status.Spec.NonIdempotent {
		return ""
	}
	empty := quota.New(m.pool, allGuarantees(m.config.Document, m.shard.Name))
	empty.Reserve(totals)
	if _, ok := empty.FindUnused(g.status.Spec.Team, g.shape, totals); ok {
		return ""
	}
	if m.findUnreservedPlaces(empty, totals, totals, g.shape) == nil {
		return "a job that must not run twice fits neither its team's guarantee nor the capacity outside all guarantees"
	}
	return ""
}

func (m *Model[P]) cancel(now time.Time, id string) {
	g, ok := m.gangs[id]
	if !ok || g.phase == ended {
		m.commit.clearedCancels = append(m.commit.clearedCancels, id)
		return
	}
	if g.cancelled {
		return
	}
	g.cancelled = true
	switch g.phase {
	case waiting:
		m.endJob(now, g, schema.Cancelled, "cancelled before it ran")
	case reclaiming, holding:
		m.abandon(now, g, "cancelled")
		m.endJob(now, g, schema.Cancelled, "cancelled before it ran")
	case starting, running, adopting:
		m.stopRun(now, g, schema.Cancelled, "cancelled while it ran", false)
	case stopping:
		g.stateAfterStop, g.reason = schema.Cancelled, "cancelled while it ran"
	case committing, ended:
	}
}

// endJob moves a job to a final state.
func (m *Model[P]) endJob(now time.Time, g *gang, state schema.JobState, reason string) {
	m.release(g)
	if g.phase == waiting {
		m.dequeue(g)
	}
	m.active.Remove(g)
	g.phase = ended
	g.status.State = state
	g.status.Reason = reason
	g.status.EndedAt = now
	m.queueWrite(g)
	m.passNeeded = true
	m.recentlyEnded = append(m.recentlyEnded, g)
	m.emitDecision(Ended, g, string(state)+": "+reason)
}

// pruneEnded forgets gangs that ended longer than endedRetention ago.
func (m *Model[P]) pruneEnded(now time.Time) {
	dropped := 0
	for _, g := range m.recentlyEnded {
		if now.Sub(g.status.EndedAt) < endedRetention {
			break
		}
		delete(m.gangs, g.status.Spec.ID)
		dropped++
	}
	m.recentlyEnded = m.recentlyEnded[dropped:]
}

// requeue returns a gang that no longer runs to the queue. It is not placed
// again before the delay has passed.
func (m *Model[P]) requeue(now time.Time, g *gang, reason string, delay time.Duration) {
	m.release(g)
	m.active.Remove(g)
	g.status.State = schema.Waiting
	g.status.Reason = reason
	g.status.Places = nil
	g.notBefore = now.Add(delay)
	g.deadline = time.Time{}
	m.enqueue(g)
	m.passNeeded = true
	m.emitDecision(Requeued, g, reason)
}

// release frees the gang's places and its allocation.
func (m *Model[P]) release(g *gang) {
	for i := range g.members {
		m.freeMember(g, i)
	}
	for _, mb := range g.members {
		mb.node.gangs.Remove(g)
	}
	m.ledger.Release(g.allocation)
	g.allocation = quota.Allocation{}
	g.members = nil
}

// freeMember frees the accelerators that a member takes or has earmarked.
func (m *Model[P]) freeMember(g *gang, i int) {
	mb := &g.members[i]
	if mb.freed {
		return
	}
	mb.freed = true
	if g.phase == reclaiming {
		mb.node.earmarked &^= mb.mask
		return
	}
	mb.node.free |= mb.mask
	m.passNeeded = true
}

// trackEndedTask remembers an ended task until the gang's row is written; then
// the worker may forget the task.
func (m *Model[P]) trackEndedTask(g *gang, i int) {
	n := g.members[i].node
	task := endedTask{gang: g, key: g.key(i)}
	if !slices.Contains(n.endedTasks, task) && !slices.Contains(n.forgettable, task.key) {
		n.endedTasks = append(n.endedTasks, task)
	}
}

// endedTask is a task whose end its worker keeps until it is recorded.
type endedTask struct {
	gang *gang
	key  plat.TaskKey
}

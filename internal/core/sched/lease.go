package sched

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// idleSyncFactor multiplies the sync interval of workers without tasks.
	idleSyncFactor = 5
	// syncRetryDelay is the delay before a failed sync is retried.
	syncRetryDelay = 200 * time.Millisecond
	// minSyncSpacing is the minimum time between two syncs with one worker.
	minSyncSpacing = 20 * time.Millisecond
)

// syncWorkers sends a sync to each worker for which one is due. A sync renews
// the leases of the worker's tasks and asks for its reports.
func (m *Model[P]) syncWorkers(now time.Time) {
	for _, n := range m.sortedNodes {
		if n.syncInFlight || now.Before(n.nextSync) || !n.Address.IsValid() {
			continue
		}
		m.syncNode(now, n)
	}
}

func (m *Model[P]) syncNode(now time.Time, n *node) {
	n.syncInFlight = true
	call := plat.WorkerCall{
		Verb:       plat.Sync,
		LeaseUntil: now.Add(m.timing.Lease),
		Forget:     slices.Clone(n.forgettable),
	}
	for g := range n.gangs.All() {
		if !m.renewable(now, g) {
			continue
		}
		call.Tasks = append(call.Tasks, g.renewals(n)...)
		g.leaseUntil = later(g.leaseUntil, call.LeaseUntil)
	}
	if n.synced {
		call.WaitUntil = now.Add(m.timing.SyncInterval)
	}
	m.callNode(n, call)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// renewable reports whether the leases of a gang's tasks may be extended: either
// it is being adopted, or the workers of all its unfinished members have
// answered a call that was sent within the last half lease.
func (m *Model[P]) renewable(now time.Time, g *gang) bool {
	if g.phase == adopting {
		return now.Before(g.deadline)
	}
	if g.phase != running {
		return false
	}
	return g.allMembers(func(mb member) bool {
		return mb.finished() || now.Sub(mb.node.lastContact) <= m.timing.Lease/2
	})
}

func (g *gang) renewals(n *node) []plat.TaskOrder {
	var orders []plat.TaskOrder
	for i, mb := range g.members {
		if mb.node == n && !mb.freed && !mb.finished() {
			orders = append(orders, plat.TaskOrder{Key: g.key(i), Mask: uint64(mb.mask)})
		}
	}
	return orders
}

// handleReply handles the result of a call to a worker.
func (m *Model[P]) handleReply(now time.Time, msg WorkerReplyMsg) {
	n, ok := m.nodes[msg.Worker]
	if !ok {
		return
	}
	if msg.Call.Verb == plat.Sync {
		m.handleSyncReply(now, n, msg)
	}
	if msg.Err != nil {
		n.synced = false
		n.nextSync = earlier(n.nextSync, now.Add(syncRetryDelay))
	} else {
		n.lastContact = msg.SentAt
		if msg.Reply.NewestEpoch > m.shard.Epoch {
			m.emit(StepDownCmd{Epoch: msg.Reply.NewestEpoch})
			return
		}
	}
	if msg.Call.Verb == plat.Hold || msg.Call.Verb == plat.Start {
		m.handleGangReply(now, n, msg)
		return
	}
	if msg.Err == nil && msg.Reply.Accepted {
		m.applyReports(now, n, msg)
	}
}

func (m *Model[P]) handleSyncReply(now time.Time, n *node, msg WorkerReplyMsg) {
	n.syncInFlight = false
	n.nextSync = later(now, msg.SentAt.Add(minSyncSpacing))
	if msg.Err != nil {
		n.nextSync = now.Add(syncRetryDelay)
		return
	}
	if !msg.Reply.Accepted {
		return
	}
	if !n.synced {
		n.synced = true
		m.passNeeded = true
	}
	n.forgettable = slices.DeleteFunc(n.forgettable, func(k plat.TaskKey) bool {
		return slices.Contains(msg.Call.Forget, k)
	})
	if n.gangs.Len() == 0 && len(n.forgettable) == 0 && len(n.endedTasks) == 0 {
		n.nextSync = now.Add(m.timing.SyncInterval * idleSyncFactor)
	}
}

func (m *Model[P]) handleGangReply(now time.Time, n *node, msg WorkerReplyMsg) {
	if len(msg.Call.Tasks) == 0 {
		return
	}
	key := msg.Call.Tasks[0].Key
	g, ok := m.gangs[key.Job]
	if !ok || g.status.Run != key.Run {
		return
	}
	if msg.Call.Verb == plat.Hold {
		m.handleHoldReply(now, n, g, msg)
		return
	}
	m.handleStartReply(now, n, g, msg)
}

// applyReports reconciles the tasks that a worker reports with those that it
// should have.
func (m *Model[P]) applyReports(now time.Time, n *node, msg WorkerReplyMsg) {
	reports := make(map[plat.TaskKey]plat.TaskReport, len(msg.Reply.Tasks))
	for _, r := range msg.Reply.Tasks {
		reports[r.Key] = r
		m.handleOrphan(n, r)
	}
	for g := range n.gangs.All() {
		if g.phase == reclaiming || g.phase == holding || g.phase == committing {
			continue
		}
		m.applyGangReports(now, n, g, reports, msg.SentAt)
	}
}

// handleOrphan handles a reported task that belongs to no current run: it is
// stopped or, if it has ended, the worker may forget it.
func (m *Model[P]) handleOrphan(n *node, r plat.TaskReport) {
	g, ok := m.gangs[r.Key.Job]
	current := ok && g.status.Run == r.Key.Run && len(g.members) > r.Key.Task && g.members[r.Key.Task].node == n
	if current || !m.loaded {
		return
	}
	if r.State == plat.Held || r.State == plat.Running {
		m.callNode(n, plat.WorkerCall{Verb: plat.Stop, Tasks: []plat.TaskOrder{{Key: r.Key, Mask: r.Mask}}})
		return
	}
	for _, e := range n.endedTasks {
		if e.key == r.Key {
			return
		}
	}
	if !slices.Contains(n.forgettable, r.Key) {
		n.forgettable = append(n.forgettable, r.Key)
	}
}

// applyGangReports applies a worker's reports on the gang's tasks. A task that
// the worker does not report counts as stopped, unless the call was sent before
// the start.
func (m *Model[P]) applyGangReports(now time.Time, n *node, g *gang, reports map[plat.TaskKey]plat.TaskReport, sentAt time.Time) {
	for i := range g.members {
		mb := &g.members[i]
		if mb.node != n || mb.freed {
			continue
		}
		r, reported := reports[g.key(i)]
		if !reported {
			if !sentAt.After(g.startSent) {
				return
			}
			r = plat.TaskReport{State: plat.Stopped, Detail: "the worker does not know the task"}
		}
		if g.phase == starting && r.State == plat.Held {
			continue
		}
		m.applyTaskReport(now, g, i, r)
		if g.phase == ended || g.phase == waiting {
			return
		}
	}
	m.finishStart(g)
	m.endIfDone(now, g)
}

func (m *Model[P]) applyTaskReport(now time.Time, g *gang, i int, r plat.TaskReport) {
	mb := &g.members[i]
	changed := !mb.confirmed || mb.state != r.State
	mb.state = r.State
	mb.confirmed = true
	if r.Checkpoint != "" {
		g.status.Checkpoint = r.Checkpoint
	}
	switch r.State {
	case plat.Done:
		if changed {
			mb.node.recordTaskSuccess()
			m.trackEndedTask(g, i)
		}
		if i == 0 {
			g.status.Result = r.Detail
		}
		if g.phase == stopping {
			m.freeMemberAndAdvance(now, g, i)
		}
	case plat.Failed:
		m.trackEndedTask(g, i)
		m.handleTaskFailure(now, g, i, r)
	case plat.Stopped:
		m.trackEndedTask(g, i)
		if g.phase == running || g.phase == adopting || g.phase == starting {
			m.abortRun(now, g, "worker "+mb.node.ID+" stopped a task: "+r.Detail)
		}
		m.freeMemberAndAdvance(now, g, i)
	case plat.Held, plat.Running:
	}
}

func (m *Model[P]) handleTaskFailure(now time.Time, g *gang, i int, r plat.TaskReport) {
	m.recordTaskFailure(now, g.members[i].node, g.status.Spec.ID)
	if g.phase == running || g.phase == adopting || g.phase == starting {
		g.failedRuns++
		if g.failedOn == nil {
			g.failedOn = map[string]bool{}
		}
		g.failedOn[g.members[i].node.ID] = true
		after := schema.Waiting
		if g.status.Spec.NonIdempotent || g.failedRuns >= maxAttempts {
			after = schema.Failed
		}
		m.emitDecision(Broken, g, "task failed: "+r.Detail)
		m.stopRun(now, g, after, "task failed on "+g.members[i].node.ID+": "+r.Detail, false)
	}
	m.freeMemberAndAdvance(now, g, i)
}

// endIfDone ends a run if all of its members have ended.
func (m *Model[P]) endIfDone(now time.Time, g *gang) {
	switch g.phase {
	case running:
		if g.allMembers(inState(plat.Done)) {
			m.endJob(now, g, schema.Done, "")
		}
	case stopping:
		m.finishStop(now, g)
	case waiting, reclaiming, holding, committing, starting, adopting, ended:
	}
}

// FreeAccelerators returns the number of free accelerators on listed workers.
func (m *Model[P]) FreeAccelerators() int {
	total := 0
	for _, n := range m.poolNodes {
		total += n.free.Count()
	}
	return total
}

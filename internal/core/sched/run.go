package sched

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// placementBackoff keeps a gang whose placement failed from being tried again
	// at once.
	placementBackoff = 100 * time.Millisecond
	// suspectDuration keeps new work from a worker that did not answer.
	suspectDuration = time.Second
	// maxStartRetries is how often one start is sent to a worker.
	maxStartRetries = 3
)

// holdWhenFree takes the promised places and asks the workers to hold them,
// once all of them are free.
func (m *Model[P]) holdWhenFree(now time.Time, g *gang) {
	for _, mb := range g.members {
		if mb.node.free&mb.mask != mb.mask {
			return
		}
	}
	for _, mb := range g.members {
		mb.node.free &^= mb.mask
		mb.node.earmarked &^= mb.mask
	}
	g.phase = holding
	g.status.Run++
	g.deadline = now.Add(m.timing.CallTimeout)
	for _, s := range g.tasksByNode() {
		m.callNode(s.node, plat.WorkerCall{
			Verb:       plat.Hold,
			Tasks:      g.fullOrders(s.tasks),
			LeaseUntil: now.Add(m.timing.HoldLease),
		})
	}
}

func (m *Model[P]) callNode(n *node, call plat.WorkerCall) {
	call.Shard = m.shard.Name
	call.Epoch = m.shard.Epoch
	m.emit(CallWorkerCmd{Worker: n.ID, Address: n.Address, Call: call})
}

// abandon gives up a placement of which nothing can have started.
func (m *Model[P]) abandon(now time.Time, g *gang, reason string) {
	if g.phase != reclaiming {
		for _, s := range g.tasksByNode() {
			m.callNode(s.node, plat.WorkerCall{Verb: plat.Release, Tasks: g.keyOrders(s.tasks)})
		}
	}
	m.requeue(now, g, reason, placementBackoff)
}

// handleHoldReply takes the answer to a hold.
func (m *Model[P]) handleHoldReply(now time.Time, n *node, g *gang, msg WorkerMsg) {
	if g.phase != holding {
		return
	}
	if msg.Err != nil || !msg.Reply.Accepted {
		n.suspectUntil = now.Add(suspectDuration)
		m.abandon(now, g, "worker "+n.ID+" did not hold: "+refusal(msg))
		return
	}
	g.markMembers(n, plat.Held)
	if g.allMembers(inState(plat.Held)) {
		g.phase = committing
		g.deadline = time.Time{}
		m.commit.starts = append(m.commit.starts, g)
	}
}

func refusal(msg WorkerMsg) string {
	if msg.Err != nil {
		return msg.Err.Error()
	}
	return msg.Reply.Refusal
}

func (g *gang) markMembers(n *node, state plat.TaskState) {
	for i := range g.members {
		if g.members[i].node == n {
			g.members[i].state = state
			g.members[i].confirmed = true
		}
	}
}

// startRun sends the starts of a committed run, or gives it up when the commit
// took so long that no worker may startRun it, or its failure domain went out.
func (m *Model[P]) startRun(now time.Time, g *gang) {
	if reason := m.reasonNotToStart(now, g); reason != "" {
		m.abandon(now, g, reason)
		if g.cancelled {
			m.endJob(now, g, schema.Cancelled, "cancelled before it ran")
			return
		}
		m.queueWrite(g)
		return
	}
	g.phase = starting
	g.startRetries = 0
	g.startSent = now
	g.leaseUntil = g.startBy.Add(m.timing.Lease)
	g.deadline = g.startBy.Add(m.timing.ClockBound)
	for i := range g.members {
		g.members[i].confirmed = false
	}
	for _, s := range g.tasksByNode() {
		m.sendStart(g, s)
	}
}

func (m *Model[P]) reasonNotToStart(now time.Time, g *gang) string {
	switch {
	case g.cancelled:
		return "cancelled"
	case !now.Before(g.startBy):
		return "the commit took longer than the start window"
	}
	for _, mb := range g.members {
		if !m.inService(mb.node.Domain) {
			return "failure domain " + mb.node.Domain + " is out of service"
		}
	}
	return ""
}

func (m *Model[P]) sendStart(g *gang, s nodeTasks) {
	m.callNode(s.node, plat.WorkerCall{
		Verb:       plat.Start,
		Tasks:      g.keyOrders(s.tasks),
		StartBy:    g.startBy,
		LeaseUntil: g.leaseUntil,
	})
}

// handleStartReply takes the answer to a start.
func (m *Model[P]) handleStartReply(now time.Time, n *node, g *gang, msg WorkerMsg) {
	if g.phase != starting {
		return
	}
	switch {
	case msg.Err != nil && g.startRetries < maxStartRetries*len(g.members) && now.Before(g.startBy):
		g.startRetries++
		for _, s := range g.tasksByNode() {
			if s.node == n {
				m.sendStart(g, s)
			}
		}
	case msg.Err != nil:
		// Whether it started shows in the worker's reports or at the deadline.
	case !msg.Reply.Accepted:
		g.markMembers(n, plat.Stopped)
		m.breakGang(now, g, "worker "+n.ID+" did not start: "+msg.Reply.Refusal)
	default:
		g.markMembers(n, plat.Running)
		m.finishStart(g)
	}
}

// finishStart moves the gang on when every member runs or has ended.
func (m *Model[P]) finishStart(g *gang) {
	if g.phase != starting && g.phase != adopting {
		return
	}
	complete := g.allMembers(func(mb member) bool {
		return mb.confirmed && (mb.state == plat.Running || mb.state == plat.Done)
	})
	if !complete {
		return
	}
	kind := Started
	if g.phase == adopting {
		kind = Taken
	}
	g.phase = running
	g.startRetries = 0
	g.deadline = time.Time{}
	for _, mb := range g.members {
		mb.node.nextSync = g.startSent
	}
	m.emitDecision(kind, g, "")
}

// breakGang ends a run that cannot be whole any more. A job that must not run
// twice waits again only when every worker said that it did not start.
func (m *Model[P]) breakGang(now time.Time, g *gang, reason string) {
	after := schema.Waiting
	if g.status.Spec.NonIdempotent && !m.confirmedNotStarted(g) {
		after = schema.Unknown
	}
	m.emitDecision(Broken, g, reason)
	m.stopRun(now, g, after, reason, false)
}

func (m *Model[P]) confirmedNotStarted(g *gang) bool {
	return g.phase == starting && g.allMembers(func(mb member) bool {
		return mb.confirmed && mb.state == plat.Stopped
	})
}

// stopRun ends a run on purpose. With checkpoint, the tasks get a grace to save
// their progress.
func (m *Model[P]) stopRun(now time.Time, g *gang, after schema.JobState, reason string, checkpoint bool) {
	g.phase = stopping
	g.stateAfterStop = after
	g.reason = reason
	g.deadline = now
	g.stopSent = false
	if !checkpoint {
		m.sendStop(now, g)
		return
	}
	g.deadline = now.Add(m.timing.ReclaimGrace)
	for _, s := range g.tasksByNode() {
		m.callNode(s.node, plat.WorkerCall{Verb: plat.Checkpoint, Tasks: g.keyOrders(s.tasks)})
	}
}

func (m *Model[P]) sendStop(now time.Time, g *gang) {
	g.stopSent = true
	g.deadline = now.Add(m.timing.CallTimeout)
	for _, s := range g.tasksByNode() {
		if m.hasUnfreedTask(g, s) {
			m.callNode(s.node, plat.WorkerCall{Verb: plat.Stop, Tasks: g.keyOrders(s.tasks)})
		}
	}
}

func (m *Model[P]) hasUnfreedTask(g *gang, s nodeTasks) bool {
	for _, i := range s.tasks {
		if !g.members[i].freed {
			return true
		}
	}
	return false
}

// finishStop concludes a run when every member is known to have ended.
func (m *Model[P]) finishStop(now time.Time, g *gang) {
	if !g.allMembers(func(mb member) bool { return mb.freed }) {
		return
	}
	if g.allMembers(inState(plat.Done)) {
		m.endJob(now, g, schema.Done, "")
		return
	}
	if g.stateAfterStop == schema.Waiting && g.cancelled {
		g.stateAfterStop = schema.Cancelled
	}
	if g.stateAfterStop != schema.Waiting {
		m.endJob(now, g, g.stateAfterStop, g.reason)
		return
	}
	m.requeue(now, g, g.reason, 0)
	m.queueWrite(g)
}

// expire does what is due for one gang because time has passed.
func (m *Model[P]) expire(now time.Time, g *gang) {
	switch g.phase {
	case waiting:
		m.expireWaiting(now, g)
	case reclaiming:
		if now.After(g.deadline) {
			m.abandon(now, g, "the capacity was not given back in time")
		}
	case holding:
		if now.After(g.deadline) {
			m.suspectUnconfirmed(now, g)
			m.abandon(now, g, "a worker did not answer the hold in time")
		}
	case starting:
		if now.After(g.deadline) {
			m.breakGang(now, g, "a worker did not confirm its start in time")
		}
	case running:
		m.expireRunning(now, g)
	case adopting:
		if now.After(g.deadline) {
			m.breakGang(now, g, "a member did not report to the new owner in time")
		}
	case stopping:
		m.expireStopping(now, g)
	case committing, ended:
	}
}

func (m *Model[P]) expireWaiting(now time.Time, g *gang) {
	if g.deadline.IsZero() {
		m.active.Remove(g)
		return
	}
	if now.After(g.deadline) {
		m.endJob(now, g, schema.Refused, g.reason)
	}
}

func (m *Model[P]) suspectUnconfirmed(now time.Time, g *gang) {
	for _, mb := range g.members {
		if !mb.confirmed {
			mb.node.suspectUntil = now.Add(suspectDuration)
		}
	}
}

// expireRunning breaks a gang of which a member has not been heard for half a
// lease. No member of it is renewed from then on.
func (m *Model[P]) expireRunning(now time.Time, g *gang) {
	for _, mb := range g.members {
		if mb.finished() {
			continue
		}
		if now.Sub(mb.node.heardAt) > m.timing.Lease/2 {
			mb.node.suspectUntil = now.Add(suspectDuration)
			m.breakGang(now, g, "worker "+mb.node.ID+" is lost")
			return
		}
	}
}

func (m *Model[P]) expireStopping(now time.Time, g *gang) {
	if now.After(g.leaseUntil.Add(m.timing.ClockBound)) {
		for i := range g.members {
			m.freeMemberAndAdvance(now, g, i)
		}
		m.finishStop(now, g)
		return
	}
	if now.After(g.deadline) {
		m.sendStop(now, g)
	}
}

// freeMemberAndAdvance frees a member's place and lets gangs that wait for it go on.
func (m *Model[P]) freeMemberAndAdvance(now time.Time, g *gang, i int) {
	if g.members[i].freed {
		return
	}
	m.freeMember(g, i)
	n := g.members[i].node
	for other := range n.gangs.All() {
		if other.phase == reclaiming {
			m.holdWhenFree(now, other)
		}
	}
}

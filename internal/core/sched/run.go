package sched

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// placementBackoff is the delay before a gang whose placement was abandoned
	// may be placed again.
	placementBackoff = 100 * time.Millisecond
	// suspectDuration is how long a worker that did not answer, or refused a
	// hold, gets no new tasks.
	suspectDuration = time.Second
	// maxStartRetries is the maximum number of repeated start calls of a gang,
	// per member.
	maxStartRetries = 3
)

// holdWhenFree takes the gang's earmarked places and asks the workers to hold
// them, if all of them are free.
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

// abandon requeues a gang whose start has not been sent to any worker, and
// releases the holds.
func (m *Model[P]) abandon(now time.Time, g *gang, reason string) {
	if g.phase != reclaiming {
		for _, s := range g.tasksByNode() {
			m.callNode(s.node, plat.WorkerCall{Verb: plat.Release, Tasks: g.keyOrders(s.tasks)})
		}
	}
	m.requeue(now, g, reason, placementBackoff)
}

// handleHoldReply handles the result of a hold call. Once all workers hold their
// places, the start is committed.
func (m *Model[P]) handleHoldReply(now time.Time, n *node, g *gang, msg WorkerReplyMsg) {
	if g.phase != holding {
		return
	}
	if msg.Err != nil || !msg.Reply.Accepted {
		n.suspectUntil = now.Add(suspectDuration)
		m.abandon(now, g, "worker "+n.ID+" did not hold the accelerators: "+refusal(msg))
		return
	}
	g.markMembers(n, plat.Held)
	if g.allMembers(inState(plat.Held)) {
		g.phase = committing
		g.deadline = time.Time{}
		m.commit.starts = append(m.commit.starts, g)
	}
}

func refusal(msg WorkerReplyMsg) string {
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

// startRun sends the start calls of a committed run. It abandons the run if the
// job was cancelled, the commit took longer than the start window, or a failure
// domain of the run went out of service.
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

// handleStartReply handles the result of a start call. A call that failed is
// sent again within the start window.
func (m *Model[P]) handleStartReply(now time.Time, n *node, g *gang, msg WorkerReplyMsg) {
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
		// The worker's next report, or the deadline, decides whether it started.
	case !msg.Reply.Accepted:
		g.markMembers(n, plat.Stopped)
		m.abortRun(now, g, "worker "+n.ID+" refused the start: "+msg.Reply.Refusal)
	default:
		g.markMembers(n, plat.Running)
		m.finishStart(g)
	}
}

// finishStart moves a starting or adopted gang to running if every member runs
// or is done.
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
		kind = Adopted
	}
	g.phase = running
	g.startRetries = 0
	g.deadline = time.Time{}
	for _, mb := range g.members {
		mb.node.nextSync = g.startSent
	}
	m.emitDecision(kind, g, "")
}

// abortRun stops a run that can no longer complete. A job that must not run
// twice is requeued only if every worker has reported that its task did not
// start; otherwise its outcome is unknown.
func (m *Model[P]) abortRun(now time.Time, g *gang, reason string) {
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

// stopRun stops a run and sets the job's state afterwards. With checkpoint set,
// the tasks first get ReclaimGrace to save their progress.
func (m *Model[P]) stopRun(now time.Time, g *gang, after schema.JobState, reason string, checkpoint bool) {
	g.phase = stopping
	g.stateAfterStop = after
	g.reason = reason
	g.deadline = now
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

// finishStop ends or requeues the job once all members of the stopped run are
// freed.
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

// expire handles the deadlines of one gang.
func (m *Model[P]) expire(now time.Time, g *gang) {
	switch g.phase {
	case waiting:
		m.expireWaiting(now, g)
	case reclaiming:
		if now.After(g.deadline) {
			m.abandon(now, g, "the reclaimed work did not stop in time")
		}
	case holding:
		if now.After(g.deadline) {
			m.suspectUnconfirmed(now, g)
			m.abandon(now, g, "a worker did not answer the hold call in time")
		}
	case starting:
		if now.After(g.deadline) {
			m.abortRun(now, g, "a worker did not confirm the start in time")
		}
	case running:
		m.expireRunning(now, g)
	case adopting:
		if now.After(g.deadline) {
			m.abortRun(now, g, "a worker did not report to the shard's new owner in time")
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

// expireRunning aborts a run if the worker of an unfinished member has not
// answered for half a lease. No member's lease is renewed from then on.
func (m *Model[P]) expireRunning(now time.Time, g *gang) {
	for _, mb := range g.members {
		if mb.finished() {
			continue
		}
		if now.Sub(mb.node.lastContact) > m.timing.Lease/2 {
			mb.node.suspectUntil = now.Add(suspectDuration)
			m.abortRun(now, g, "worker "+mb.node.ID+" no longer answers")
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

// freeMemberAndAdvance frees a member's accelerators and holds them for gangs
// that were waiting for them.
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

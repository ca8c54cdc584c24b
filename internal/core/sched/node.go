package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sets"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// maxQuarantine is the maximum duration of one quarantine of a worker.
const maxQuarantine = time.Hour

// failuresBeforeQuarantine is how many tasks in a row, of different jobs, must
// fail on a worker before it is quarantined.
const failuresBeforeQuarantine = 3

// node is the scheduler's state of one worker.
type node struct {
	Worker
	total block.Mask
	// free holds the accelerators that no gang takes.
	free block.Mask
	// earmarked holds the accelerators kept for gangs that wait for them to
	// become free.
	earmarked block.Mask
	// listed is set while the platform lists the worker.
	listed bool
	// synced is set when the worker has reported its tasks to this owner and
	// has answered the last call.
	synced bool
	// lastContact is when the last answered call was sent.
	lastContact  time.Time
	nextSync     time.Time
	syncInFlight bool
	// suspectUntil is when a worker that did not answer, or refused a hold, may
	// get new tasks again.
	suspectUntil time.Time
	// consecutiveFailures counts failed tasks since the last success or
	// quarantine. A job that fails several times in a row counts once.
	consecutiveFailures int
	lastFailedJob       string
	quarantinedUntil    time.Time
	// probation lasts from a quarantine to the next task that succeeds. A
	// single failure in between quarantines the worker again.
	probation bool
	// quarantineCount is the number of quarantines in a row.
	quarantineCount int
	gangs           sets.Ordered[*gang]
	// endedTasks holds tasks whose ends the worker must keep until they are
	// recorded, forgettable those that it may forget.
	endedTasks  []endedTask
	forgettable []plat.TaskKey
}

func (m *Model[P]) setWorkers(now time.Time, workers []Worker) {
	changed := false
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		n, ok := m.nodes[w.ID]
		if !ok {
			n = &node{total: block.Full(w.Accelerators)}
			n.free = n.total
			m.nodes[w.ID] = n
		}
		if !ok || !n.listed || n.Worker != w {
			changed = true
		}
		n.Worker = w
		n.listed = true
	}
	for _, n := range m.sortedNodes {
		if listed[n.ID] {
			continue
		}
		if n.listed {
			n.listed = false
			changed = true
		}
		if n.gangs.Len() == 0 && len(n.forgettable) == 0 {
			delete(m.nodes, n.ID)
			changed = true
		}
	}
	if changed {
		m.rebuildPool()
		m.resizeNodes()
		m.recheckQueue(now)
		m.passNeeded = true
	}
}

func (m *Model[P]) rebuildPool() {
	m.sortedNodes = slices.SortedFunc(maps.Values(m.nodes), func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	workers := make([]block.Worker, 0, len(m.nodes))
	for _, n := range m.sortedNodes {
		if n.listed {
			workers = append(workers, block.Worker{ID: n.ID, Domain: n.Domain, Rack: n.Rack, Total: n.total})
		}
	}
	m.pool = block.NewPool(workers)
	m.poolNodes = make([]*node, len(workers))
	m.avail = make([]block.Mask, len(workers))
	m.reserved = make([]block.Mask, len(workers))
	m.assignedFrom = nil
	m.ledger.SetPool(m.pool)
	for i, w := range m.pool.Workers {
		m.poolNodes[i] = m.nodes[w.ID]
	}
}

// schedulable reports whether the worker may get new tasks.
func (m *Model[P]) schedulable(now time.Time, n *node) bool {
	if !n.listed || n.Leaving || !n.synced || now.Before(n.suspectUntil) || now.Before(n.quarantinedUntil) {
		return false
	}
	return m.inService(n.Domain)
}

func (m *Model[P]) inService(domain string) bool {
	d, ok := m.domains[domain]
	return !ok || d.Status.InService
}

func (m *Model[P]) anyDomainOut() bool {
	for _, n := range m.poolNodes {
		if !m.inService(n.Domain) {
			return true
		}
	}
	return false
}

func (m *Model[P]) setDomains(now time.Time, domains []Domain) {
	for _, d := range domains {
		old, known := m.domains[d.Status.ID]
		if known && old.Version >= d.Version {
			continue
		}
		m.domains[d.Status.ID] = d
		m.passNeeded = true
		if !d.Status.InService {
			m.evacuate(now, d.Status.ID)
		}
	}
}

// evacuate moves gangs out of a failure domain, except running ones that must
// not run twice. Gangs within a guarantee are moved first, so that their teams
// regain the guaranteed capacity as soon as possible.
func (m *Model[P]) evacuate(now time.Time, domain string) {
	for _, withinGuarantee := range []bool{true, false} {
		for g := range m.active.All() {
			if g.usesGuarantee() != withinGuarantee || !usesDomain(g, domain) {
				continue
			}
			m.evacuateGang(now, g, domain)
		}
	}
}

func (m *Model[P]) evacuateGang(now time.Time, g *gang, domain string) {
	reason := "failure domain " + domain + " is out of service"
	switch g.phase {
	case reclaiming, holding:
		m.abandon(now, g, reason)
	case running, adopting:
		if g.status.Spec.NonIdempotent {
			return
		}
		m.stopRun(now, g, schema.Waiting, reason, true)
		m.emitDecision(Evacuated, g, reason)
	case waiting, committing, starting, stopping, ended:
	}
}

func usesDomain(g *gang, domain string) bool {
	for _, mb := range g.members {
		if mb.node.Domain == domain {
			return true
		}
	}
	return false
}

// recordTaskFailure counts a failed task against its worker and quarantines the
// worker at the limit. The duration doubles with each quarantine in a row.
func (m *Model[P]) recordTaskFailure(now time.Time, n *node, job string) {
	if n.lastFailedJob == job {
		return
	}
	n.lastFailedJob = job
	n.consecutiveFailures++
	limit := failuresBeforeQuarantine
	if n.probation {
		limit = 1
	}
	if n.consecutiveFailures < limit {
		return
	}
	n.consecutiveFailures = 0
	n.probation = true
	n.quarantinedUntil = now.Add(min(m.timing.SetAside<<min(n.quarantineCount, 16), maxQuarantine))
	n.quarantineCount++
	m.emit(DecisionCmd{Kind: Quarantined, Worker: n.ID, Detail: "the most recent tasks on this worker failed", ConfigVersion: m.config.Version})
}

func (n *node) recordTaskSuccess() {
	n.consecutiveFailures = 0
	n.quarantineCount = 0
	n.probation = false
}

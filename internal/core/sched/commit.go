package sched

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// maxBatch is the maximum number in one transaction of starts, of other
	// changed jobs and of cleared cancellations, each. The platform accepts 100
	// entries in a transaction; an ended job takes up to three of them, and the
	// conditions on the failure domains of the starts take some.
	maxBatch = 15
	// renewInterval is the maximum time between two writes of the shard row.
	renewInterval = time.Second
)

// commitState holds the writes that are pending and those that are in flight.
type commitState struct {
	outstanding        bool
	batch              int
	starts             []*gang
	changed            []*gang
	clearedCancels     []string
	sentStarts         []*gang
	sentChanged        []*gang
	sentClearedCancels []string
	nextRenewal        time.Time
}

// queueWrite adds the gang's row to the next commit.
func (m *Model[P]) queueWrite(g *gang) {
	if !slices.Contains(m.commit.changed, g) {
		m.commit.changed = append(m.commit.changed, g)
	}
}

// flush commits pending writes in one transaction, unless another commit is in
// flight. Without pending writes it only renews the shard's lease when due.
func (m *Model[P]) flush(now time.Time) {
	c := &m.commit
	empty := len(c.starts)+len(c.changed)+len(c.clearedCancels) == 0
	if c.outstanding || empty && now.Before(c.nextRenewal) {
		return
	}
	c.outstanding = true
	c.batch++
	c.nextRenewal = now.Add(renewInterval)
	c.sentStarts, c.starts = takeFirst(c.starts, maxBatch)
	c.sentChanged, c.changed = takeFirst(c.changed, maxBatch)
	c.sentClearedCancels, c.clearedCancels = takeFirst(c.clearedCancels, maxBatch)
	cmd := CommitCmd{Batch: c.batch, ClearedCancels: c.sentClearedCancels}
	for _, g := range c.sentStarts {
		g.startBy = now.Add(m.timing.StartWindow)
		g.status.State = schema.Running
		g.status.Reason = ""
		g.status.StartedAt = now
		g.status.LeaseUntil = g.startBy.Add(m.timing.Lease)
		g.status.ConfigVersion = m.config.Version
		cmd.Jobs = append(cmd.Jobs, g.status)
	}
	if len(c.sentStarts) > 0 {
		cmd.Conditions = m.startConditions(c.sentStarts)
	}
	for _, g := range c.sentChanged {
		cmd.Jobs = append(cmd.Jobs, g.status)
		if g.cancelled && g.phase == ended {
			cmd.ClearedCancels = append(cmd.ClearedCancels, g.status.Spec.ID)
		}
	}
	m.emit(cmd)
}

// takeFirst splits off the first n elements, or all if there are fewer.
func takeFirst[T any](list []T, n int) (first, rest []T) {
	if len(list) <= n {
		return list, nil
	}
	return list[:n], slices.Clone(list[n:])
}

// startConditions returns conditions that fail the commit of the starts if the
// configuration or a failure domain they use has changed since the decision.
func (m *Model[P]) startConditions(gangs []*gang) []Condition {
	conditions := []Condition{{Row: rows.ConfigCurrent, Version: m.configRowVersion}}
	seen := map[string]bool{}
	for _, g := range gangs {
		for _, mb := range g.members {
			name := mb.node.Domain
			if seen[name] {
				continue
			}
			seen[name] = true
			conditions = append(conditions, Condition{Row: rows.Domain(name), Version: m.domains[name].Version})
		}
	}
	return conditions
}

func (m *Model[P]) handleCommitResult(now time.Time, msg CommitResultMsg) {
	c := &m.commit
	if !c.outstanding || msg.Batch != c.batch {
		return
	}
	c.outstanding = false
	starts, changed := c.sentStarts, c.sentChanged
	c.sentStarts, c.sentChanged = nil, nil
	if !msg.Committed {
		m.handleCommitFailure(now, starts, changed)
		return
	}
	for _, g := range starts {
		m.startRun(now, g)
	}
	for _, g := range changed {
		m.forgetRecordedTasks(g)
	}
	c.sentClearedCancels = nil
}

// handleCommitFailure queues the changed rows again and abandons the starts,
// none of which has been sent to a worker.
func (m *Model[P]) handleCommitFailure(now time.Time, starts, changed []*gang) {
	for _, g := range changed {
		m.queueWrite(g)
	}
	m.commit.clearedCancels = append(m.commit.clearedCancels, m.commit.sentClearedCancels...)
	m.commit.sentClearedCancels = nil
	for _, g := range starts {
		m.abandon(now, g, "a failure domain or the configuration changed before the start was committed")
		if g.cancelled {
			m.endJob(now, g, schema.Cancelled, "cancelled before it ran")
		}
	}
}

// forgetRecordedTasks lets workers forget the ended tasks of a gang whose row
// has been written.
func (m *Model[P]) forgetRecordedTasks(g *gang) {
	for _, n := range m.sortedNodes {
		n.endedTasks = slices.DeleteFunc(n.endedTasks, func(e endedTask) bool {
			if e.gang != g {
				return false
			}
			n.forgettable = append(n.forgettable, e.key)
			return true
		})
	}
}

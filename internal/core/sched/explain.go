package sched

import (
	"fmt"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// phaseText describes a job whose gang is in the phase.
var phaseText = map[phase]string{
	waiting:    "is queued",
	reclaiming: "has been placed and waits for reclaimed work to stop",
	holding:    "has been placed and its workers are being asked to hold the accelerators",
	committing: "is held by its workers and its start is being committed",
	starting:   "has been committed and its workers are starting it",
	running:    "runs",
	adopting:   "ran under an earlier owner of the shard, and its workers are being asked for its state",
	stopping:   "is being stopped",
	ended:      "has ended",
}

// Explain describes in a sentence the state of a job and the reason for it. It
// reports false if this owner does not know the job.
func (m *Model[P]) Explain(id string) (string, bool) {
	g, ok := m.gangs[id]
	if !ok {
		return "", false
	}
	text := "the job " + phaseText[g.phase]
	if g.phase == waiting {
		return text + m.explainWaiting(g), true
	}
	if g.status.Rule != "" {
		text += "; it was placed by rule " + g.status.Rule
	}
	if g.reason != "" && (g.phase == stopping || g.phase == ended) {
		text += "; " + g.reason
	}
	return text, true
}

func (m *Model[P]) explainWaiting(g *gang) string {
	ahead := 0
	for _, q := range m.queue {
		if q == g {
			break
		}
		ahead++
	}
	largest := 0
	schedulable := 0
	for i, n := range m.poolNodes {
		if m.schedulable(time.Time{}, n) {
			schedulable++
		}
		largest = max(largest, m.avail[i].LargestBlock())
	}
	quota := "and its team's guarantee has no free capacity for it"
	if _, ok := m.ledger.FindUnused(g.status.Spec.Team, g.shape, m.pool.Totals()); ok {
		quota = "although its team's guarantee has free capacity for it"
	}
	text := fmt.Sprintf(" behind %d other jobs: it needs %d tasks of %d accelerators; %d accelerators are free, %d workers are schedulable, the largest free block has %d accelerators, %s",
		ahead, g.shape.Tasks, g.shape.Accelerators, m.FreeAccelerators(), schedulable, largest, quota)
	if g.status.Reason != "" {
		text += "; last attempt: " + g.status.Reason
	}
	return text
}

// GuaranteesFormable reports whether every unused guarantee can be formed from
// accelerators that are free or reclaimable, also with any one failure domain
// out of service.
func (m *Model[P]) GuaranteesFormable(now time.Time) bool {
	return m.guaranteesFormableWithout(m.ledger, m.reservable(now), nil)
}

// Usage counts accelerators of schedulable workers.
type Usage struct {
	// Schedulable is the number of all of them.
	Schedulable int
	// Running is the number of those taken by gangs.
	Running int
	// Stranded is the number of those that are free and not reserved for a
	// guarantee while gangs wait that cannot use them.
	Stranded int
}

// Usage returns the current use of accelerators.
func (m *Model[P]) Usage(now time.Time) Usage {
	var u Usage
	for i, n := range m.poolNodes {
		if !m.schedulable(now, n) {
			continue
		}
		u.Schedulable += n.total.Count()
		u.Running += (n.total &^ n.free).Count()
		if len(m.queue) > 0 {
			u.Stranded += (n.free &^ n.earmarked &^ m.reserved[i]).Count()
		}
	}
	return u
}

// Jobs returns the current status of every job that has not ended.
func (m *Model[P]) Jobs() []schema.JobStatus {
	list := make([]schema.JobStatus, 0, len(m.gangs))
	for _, g := range m.gangs {
		if g.phase != ended {
			list = append(list, g.status)
		}
	}
	return list
}

package sched

import (
	"fmt"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// phaseText says what a gang in the phase does.
var phaseText = map[phase]string{
	waiting:    "waits in the queue",
	reclaiming: "has its places and waits until reclaimed work has left them",
	holding:    "has its places and asks its workers to hold them",
	committing: "is held by its workers and its start is being committed",
	starting:   "is committed and its workers are starting it",
	running:    "runs",
	adopting:   "ran under an earlier owner, and its workers are being asked",
	stopping:   "is being stopped",
	ended:      "has ended",
}

// Explain says in a sentence why a job waits, or why it is where it is. It
// reports false for a job that this owner does not know.
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
		text += "; placed by rule " + g.status.Rule
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
	open := 0
	for i, n := range m.poolNodes {
		if m.schedulable(time.Time{}, n) {
			open++
		}
		largest = max(largest, m.avail[i].LargestBlock())
	}
	quota := "and its team's guarantee has no room for it"
	if _, ok := m.ledger.FindUnused(g.status.Spec.Team, g.shape, m.pool.Totals()); ok {
		quota = "though its team's guarantee has room for it"
	}
	text := fmt.Sprintf(" behind %d others: it needs %d tasks of %d accelerators; %d are free on %d open workers, the largest free block has %d, %s",
		ahead, g.shape.Tasks, g.shape.Accelerators, m.FreeAccelerators(), open, largest, quota)
	if g.status.Reason != "" {
		text += "; last: " + g.status.Reason
	}
	return text
}

// GuaranteesFormable reports whether every unused guarantee can be formed from what
// is free or may be reclaimed, also with any one failure domain out.
func (m *Model[P]) GuaranteesFormable(now time.Time) bool {
	return m.guaranteesFormableWithout(m.ledger, m.reservable(now), nil)
}

// Usage is how the accelerators of the open workers are used.
type Usage struct {
	Open    int
	Running int
	// Stranded accelerators are free and outside the unused guarantees while
	// gangs wait, none of which they can serve.
	Stranded int
}

// Usage returns how the accelerators are used at the moment.
func (m *Model[P]) Usage(now time.Time) Usage {
	var u Usage
	for i, n := range m.poolNodes {
		if !m.schedulable(now, n) {
			continue
		}
		u.Open += n.total.Count()
		u.Running += (n.total &^ n.free).Count()
		if len(m.queue) > 0 {
			u.Stranded += (n.free &^ n.earmarked &^ m.reserved[i]).Count()
		}
	}
	return u
}

// Jobs returns the newest state of every job that has not ended.
func (m *Model[P]) Jobs() []schema.JobStatus {
	list := make([]schema.JobStatus, 0, len(m.gangs))
	for _, g := range m.gangs {
		if g.phase != ended {
			list = append(list, g.status)
		}
	}
	return list
}

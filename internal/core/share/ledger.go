// Package share keeps account of what each team may have running. It says whether
// more of a team's work may start under the team's limit, which teams hold more
// than their weighted share, and which jobs exceed their team's rate. It answers
// the load of one team that sends many times its usual work beside teams that send
// theirs. The planner asks it before each placement. It performs no I/O.
package share

import (
	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Ledger counts what each team holds on all workers together. Work of no team is
// not counted.
type Ledger struct {
	teams map[string]*holding
}

// holding is what one team holds. No amount is part of another one.
type holding struct {
	// running may be running and has not been told to stop.
	running record.Amount
	// stopping may be running and is being stopped.
	stopping record.Amount
	// reserved is kept for gangs that wait for other work to be stopped.
	reserved record.Amount
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{teams: map[string]*holding{}}
}

func (l *Ledger) team(name string) *holding {
	h := l.teams[name]
	if h == nil {
		h = &holding{}
		l.teams[name] = h
	}
	return h
}

// Start counts work that may be running from now on.
func (l *Ledger) Start(team string, need record.Amount) {
	h := l.team(team)
	h.running = amount.Add(h.running, need)
}

// Stop counts running work as being stopped.
func (l *Ledger) Stop(team string, need record.Amount) {
	h := l.team(team)
	h.running = amount.Sub(h.running, need)
	h.stopping = amount.Add(h.stopping, need)
}

// End removes work that certainly no longer runs. stopping tells whether it was being
// stopped.
func (l *Ledger) End(team string, need record.Amount, stopping bool) {
	h := l.team(team)
	if stopping {
		h.stopping = amount.Sub(h.stopping, need)
	} else {
		h.running = amount.Sub(h.running, need)
	}
	l.drop(team, h)
}

// Reserve counts a reservation.
func (l *Ledger) Reserve(team string, need record.Amount) {
	h := l.team(team)
	h.reserved = amount.Add(h.reserved, need)
}

// Release removes a reservation.
func (l *Ledger) Release(team string, need record.Amount) {
	h := l.team(team)
	h.reserved = amount.Sub(h.reserved, need)
	l.drop(team, h)
}

// drop forgets a team that holds nothing, so that teams which are gone from the
// configuration take no memory.
func (l *Ledger) drop(team string, h *holding) {
	if *h == (holding{}) {
		delete(l.teams, team)
	}
}

// Running returns all that the team may have running, work that is being stopped
// included.
func (l *Ledger) Running(team string) record.Amount {
	h := l.teams[team]
	if h == nil {
		return record.Amount{}
	}
	return amount.Add(h.running, h.stopping)
}

// Held returns all that may be running and all that is reserved.
func (l *Ledger) Held(team string) record.Amount {
	h := l.teams[team]
	if h == nil {
		return record.Amount{}
	}
	return amount.Add(l.Running(team), h.reserved)
}

// Committed returns what the team will hold once the work that is being stopped has
// ended.
func (l *Ledger) Committed(team string) record.Amount {
	h := l.teams[team]
	if h == nil {
		return record.Amount{}
	}
	return amount.Add(h.running, h.reserved)
}

// Within reports whether an amount keeps a limit. A resource with a limit of 0 has
// none.
func Within(held, limit record.Amount) bool {
	return Excess(held, limit) == record.Amount{}
}

// Excess returns by how much an amount exceeds a limit in each resource.
func Excess(held, limit record.Amount) record.Amount {
	return record.Amount{
		MilliCores:   excess(held.MilliCores, limit.MilliCores),
		MemoryMB:     excess(held.MemoryMB, limit.MemoryMB),
		Accelerators: excess(held.Accelerators, limit.Accelerators),
	}
}

func excess(held, limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(0, held-limit)
}

package fleet

import (
	"context"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/admit"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// partRefusals is the part of the hosts' table in which each host tells the others
	// whom it has refused.
	partRefusals = "refusals"
	// maxRefusals limits the refusals of one host whose callers may still come back, so
	// that they fit a row.
	maxRefusals = 400
	// comeBackGrace is how long after the time that it was told a caller may come back.
	comeBackGrace = 10 * time.Second
	// seenSpan is the least time for which a host remembers the jobs that it was sent,
	// unless there are more than maxSeen.
	seenSpan = time.Minute
	maxSeen  = 20000
)

func refusalsKey(host string) store.Key {
	return store.Key{Table: tableHosts, Part: partRefusals, Name: host}
}

// recentIDs remembers identifiers in two generations, of which the older one is
// forgotten when the newer one is old or full.
type recentIDs struct {
	newer, older map[string]bool
	since        time.Time
}

func (r *recentIDs) has(id string) bool {
	return r.newer[id] || r.older[id]
}

func (r *recentIDs) add(now time.Time, id string) {
	if r.newer == nil || len(r.newer) >= maxSeen || now.Sub(r.since) >= seenSpan {
		r.newer, r.older, r.since = map[string]bool{}, r.newer, now
	}
	r.newer[id] = true
}

// refusals holds this host's refusals and those that other hosts tell of, by job. Times
// are by the store's clock.
type refusals struct {
	own    map[string][]admit.Refusal
	others map[string][]admit.Refusal
	// changed is set while other hosts are not told of the newest ones.
	changed bool
}

func newRefusals() refusals {
	return refusals{own: map[string][]admit.Refusal{}, others: map[string][]admit.Refusal{}}
}

// of returns the earlier refusals of a job.
func (r *refusals) of(id string) []admit.Refusal {
	own, others := r.own[id], r.others[id]
	if len(others) == 0 {
		return own
	}
	return append(append([]admit.Refusal{}, own...), others...)
}

// add records a refusal, unless there are too many.
func (r *refusals) add(now time.Time, id string, answer admit.Answer) bool {
	for i, known := range r.own[id] {
		if known.Reason == answer.Reason {
			r.own[id][i].ComeBackAt = answer.ComeBackAt
			return true
		}
	}
	if len(r.own) >= maxRefusals {
		r.expire(now)
	}
	if len(r.own) >= maxRefusals {
		return false
	}
	r.own[id] = append(r.own[id], admit.Refusal{Reason: answer.Reason, ComeBackAt: answer.ComeBackAt})
	r.changed = true
	return true
}

// expire forgets the refusals whose callers come back no more.
func (r *refusals) expire(now time.Time) {
	for id, known := range r.own {
		if now.Sub(known[len(known)-1].ComeBackAt) > comeBackGrace {
			delete(r.own, id)
		}
	}
}

// row returns the refusals that other hosts are to be told of.
func (r *refusals) row(now time.Time) record.Refusals {
	r.expire(now)
	row := record.Refusals{Refusals: []record.Refusal{}}
	for id, known := range r.own {
		for _, k := range known {
			row.Refusals = append(row.Refusals, record.Refusal{Job: id, Reason: string(k.Reason), ComeBackMs: k.ComeBackAt.UnixMilli()})
		}
	}
	return row
}

// exchange reads the other hosts' refusals while there may be any, and tells them of new
// ones. What fails is tried again with the next refresh.
func (a *admission) exchange(ctx context.Context) {
	now := a.store.Clock()
	a.readRefusals(ctx, now)
	a.tellRefusals(ctx, now)
}

// readRefusals reads the other hosts' refusals if new jobs of some queue have to wait.
func (a *admission) readRefusals(ctx context.Context, now time.Time) {
	a.mu.Lock()
	delays := a.digest != nil && a.digest.Delays()
	a.mu.Unlock()
	if !delays {
		return
	}
	rows, err := a.store.ReadParts(ctx, tableHosts, []string{partRefusals})
	if err != nil {
		return
	}
	others := a.othersRefusals(rows.Rows, now)
	a.mu.Lock()
	a.refusals.others = others
	a.mu.Unlock()
}

// tellRefusals writes this host's refusals if there are new ones.
func (a *admission) tellRefusals(ctx context.Context, now time.Time) {
	a.mu.Lock()
	if !a.refusals.changed {
		a.mu.Unlock()
		return
	}
	row := a.refusals.row(now)
	a.refusals.changed = false
	a.mu.Unlock()
	if !a.tell(ctx, row) {
		a.mu.Lock()
		a.refusals.changed = true
		a.mu.Unlock()
	}
}

// tell writes this host's refusals and reports whether they are stored.
func (a *admission) tell(ctx context.Context, row record.Refusals) bool {
	value, err := encode(row)
	if err != nil {
		logev.InternalProblem.Log(a.log).Err(err).Send()
		return true
	}
	outcome, err := a.direct.Transact(ctx, store.Change{Put: []store.Row{{Key: refusalsKey(a.host), Value: value}}})
	return err == nil && outcome.Applied
}

// othersRefusals returns the refusals of the other hosts whose callers may come back.
// Rows that cannot be read hold none.
func (a *admission) othersRefusals(rows []store.Row, now time.Time) map[string][]admit.Refusal {
	others := map[string][]admit.Refusal{}
	for _, r := range rows {
		var row record.Refusals
		if r.Key.Name == a.host || r.Deleted || decode(r.Value, &row) != nil {
			continue
		}
		for _, known := range row.Refusals {
			at := time.UnixMilli(known.ComeBackMs)
			if now.Sub(at) <= comeBackGrace && at.Sub(now) <= admit.MaxComeBack {
				others[known.Job] = append(others[known.Job], admit.Refusal{Reason: admit.Reason(known.Reason), ComeBackAt: at})
			}
		}
	}
	return others
}

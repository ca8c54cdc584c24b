package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
)

const (
	// sweepInterval is the pause between two looks for tombstones that are over, and
	// sweepPause that between two removals while more are.
	sweepInterval = 5 * time.Second
	sweepPause    = 100 * time.Millisecond
	// sweepTimeout bounds one transaction that removes them.
	sweepTimeout = 2 * time.Second
	// maxSwept limits the rows of one such transaction, each of which takes two entries.
	maxSwept = maxEntries / 2
)

// sweeper removes the tombstones that are over. The leader has one, which learns of them by
// the rows of tableJobs that the leader reads.
type sweeper struct {
	// life is for how long a tombstone is kept after each answer that relies on it.
	life time.Duration

	mu sync.Mutex
	// found holds the tombstones that are stored.
	found map[store.Key]foundTombstone
}

// foundTombstone is a tombstone in the store.
type foundTombstone struct {
	version int64
	// keptUntil is when it may be removed, by the store's clock.
	keptUntil time.Time
}

func newSweeper(keepEnded time.Duration) *sweeper {
	return &sweeper{life: tombstoneLife(keepEnded), found: map[store.Key]foundTombstone{}}
}

// note records what a row of tableJobs tells of tombstones.
func (s *sweeper) note(row store.Row) {
	t, is := tombstoneOf(row)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !is {
		delete(s.found, row.Key)
		return
	}
	s.found[row.Key] = foundTombstone{version: row.Version, keptUntil: keptUntil(t, s.life)}
}

// over returns rows that are over by the store's clock, as many as one transaction removes.
func (s *sweeper) over(now time.Time) []store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []store.Row
	for key, t := range s.found {
		if len(rows) == maxSwept {
			break
		}
		if !now.Before(t.keptUntil) {
			rows = append(rows, store.Row{Key: key, Version: t.version})
		}
	}
	return rows
}

// forget drops the rows that have another version in the store, or all if they were removed.
func (s *sweeper) forget(rows []store.Row, outcome store.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		changed := slices.ContainsFunc(outcome.Current, func(c store.Row) bool {
			return c.Key == row.Key && c.Version != row.Version
		})
		if (outcome.Applied || changed) && s.found[row.Key].version == row.Version {
			delete(s.found, row.Key)
		}
	}
}

// removal returns the change that removes tombstones unless they have been renewed. So it
// needs no fence, and does no harm when it is carried out late.
func removal(rows []store.Row) store.Change {
	change := store.Change{Expect: rows}
	for _, row := range rows {
		change.Remove = append(change.Remove, row.Key)
	}
	return change
}

// sweep removes the tombstones that are over until ctx ends. What fails is tried again.
func (s *session) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause := sweepInterval
		rows := s.sweeper.over(s.host.store.Clock())
		if len(rows) > 0 && s.removeTombstones(ctx, rows) {
			pause = sweepPause
		}
		sleep(ctx, pause)
	}
}

// removeTombstones reports whether the store has answered.
func (s *session) removeTombstones(ctx context.Context, rows []store.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	outcome, err := s.host.store.Transact(ctx, removal(rows))
	if err != nil {
		return false
	}
	s.sweeper.forget(rows, outcome)
	if outcome.Applied {
		logev.TombstonesRemoved.Log(s.host.log).Int64("epoch", s.epoch).Int("rows", len(rows)).Send()
	}
	return true
}

package store_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// serialStore holds one row. It carries out the changes one after the other, as the
// platform does with those of one part, each for the given time. Reads take the same time
// side by side.
type serialStore struct {
	store.Store
	// part holds a value while no change is in progress.
	part    chan struct{}
	took    time.Duration
	latest  atomic.Pointer[store.Row]
	changes int
	// loseAnswers is how many changes to come are carried out without an answer.
	loseAnswers int
}

func (s *serialStore) Transact(ctx context.Context, change store.Change) (store.Outcome, error) {
	<-s.part
	s.changes++
	time.Sleep(s.took)
	row, lost := *s.latest.Load(), s.loseAnswers > 0
	applied := change.Expect[0].Version == row.Version
	if applied {
		row = store.Row{Key: change.Put[0].Key, Value: bytes.Clone(change.Put[0].Value), Version: row.Version + 1}
		s.latest.Store(&row)
	}
	s.loseAnswers = max(0, s.loseAnswers-1)
	s.part <- struct{}{}
	if lost {
		<-ctx.Done()
		return store.Outcome{}, store.ErrUnanswered
	}
	return store.Outcome{Applied: applied, Version: row.Version, Current: []store.Row{row}}, nil
}

func (s *serialStore) Range(context.Context, store.Span, int) (store.Rows, error) {
	time.Sleep(s.took)
	row := *s.latest.Load()
	return store.Rows{Rows: []store.Row{row}}, nil
}

// Pattern: the store turns slow at once, or loses answers. Guards against repeats of a
// change that wait in the same part of the store and hold up the changes behind it, those
// that start urgent gangs among them, and against a lost answer that is waited for.
func TestLateChangeIsLookedUp(t *testing.T) {
	for name, c := range map[string]struct {
		took        time.Duration
		loseAnswers int
		within      time.Duration
		changes     int
	}{
		"slow store":           {took: 500 * time.Millisecond, within: 1010 * time.Millisecond, changes: 2},
		"lost answer":          {took: 4 * time.Millisecond, loseAnswers: 1, within: 100 * time.Millisecond, changes: 2},
		"two answers are lost": {took: 4 * time.Millisecond, loseAnswers: 2, within: 200 * time.Millisecond, changes: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &serialStore{part: make(chan struct{}, 1), took: 4 * time.Millisecond}
				s.part <- struct{}{}
				s.latest.Store(&store.Row{Key: named("writer")})
				writer := store.NewFencedWriter(store.NewClient(s, &metrc.NewEntry().Store), named("writer"), 0)
				apply(t, writer, 1)
				s.changes, s.took, s.loseAnswers = 0, c.took, c.loseAnswers
				begin := time.Now()
				apply(t, writer, 2)
				if took := time.Since(begin); took > c.within {
					t.Errorf("two changes took %s, want at most %s", took, c.within)
				}
				if s.changes != c.changes {
					t.Errorf("%d changes were sent, want %d", s.changes, c.changes)
				}
				time.Sleep(attemptsEnd)
			})
		})
	}
}

// apply commits a number of changes one after the other.
func apply(t *testing.T, writer *store.FencedWriter, changes int) {
	t.Helper()
	for i := range changes {
		outcome, err := writer.Apply(context.Background(), store.Change{}, numbered(fmt.Sprint(t.Name(), time.Now(), i)))
		if err != nil || !outcome.Applied {
			t.Fatalf("change %d: applied %v, error %v", i, outcome.Applied, err)
		}
	}
}

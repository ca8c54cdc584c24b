package store

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstTry is how long the first of several tries may take.
	firstTry = 350 * time.Millisecond
	// lastTry bounds how long any of them may take.
	lastTry = 1500 * time.Millisecond
	// firstPause and lastPause lie between a refused try and the next.
	firstPause = 20 * time.Millisecond
	lastPause  = 300 * time.Millisecond
)

// tries spaces the repetitions of one call.
type tries struct {
	timeout time.Duration
	pause   time.Duration
}

func newTries() tries {
	return tries{timeout: firstTry, pause: firstPause}
}

// next returns the context of one try.
func (t *tries) next(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := t.timeout
	t.timeout = min(2*t.timeout, lastTry)
	return context.WithTimeout(ctx, timeout)
}

// rest waits before the next try.
func (t *tries) rest(ctx context.Context) error {
	pause := t.pause/2 + rand.N(t.pause)
	t.pause = min(2*t.pause, lastPause)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}

// Read returns one row, which has version 0 if it is absent. It tries until
// ctx ends.
func Read(ctx context.Context, s Store, key Key) (Row, error) {
	t := newTries()
	for {
		try, cancel := t.next(ctx)
		rows, err := s.Range(try, key.Table, key.Name, key.Name+"\x00", 1)
		cancel()
		if err == nil {
			if len(rows.Rows) == 0 {
				return Row{Key: key}, nil
			}
			return rows.Rows[0], nil
		}
		if t.rest(ctx) != nil {
			return Row{}, err
		}
	}
}

// Insert stores a row that must not be there yet, and tries until ctx ends or
// the store has refused for patience. It returns the row that is there: with
// the value given, or with what was there before. ErrRefused is returned only
// if no try can have stored the row.
func Insert(ctx context.Context, s Store, row Row, patience time.Duration) (Row, error) {
	t := newTries()
	giveUp := time.Now().Add(patience)
	open := false
	change := Change{Expect: []Row{{Key: row.Key}}, Put: []Row{row}}
	for {
		try, cancel := t.next(ctx)
		outcome, err := s.Transact(try, change)
		cancel()
		switch {
		case err == nil && outcome.Made:
			row.Version = outcome.Version
			return row, nil
		case err == nil:
			return current(outcome, row.Key), nil
		case !errors.Is(err, ErrRefused):
			open = true
		case !open && time.Now().After(giveUp):
			return Row{}, err
		}
		if t.rest(ctx) == nil {
			continue
		}
		if open {
			return Row{}, errors.Mark(err, ErrUnanswered)
		}
		return Row{}, err
	}
}

func current(outcome Outcome, key Key) Row {
	for _, r := range outcome.Current {
		if r.Key == key {
			return r
		}
	}
	return Row{Key: key}
}

// Lane is the sequence of changes of one writer. Each of them requires the
// lane's own row to be as the one before left it, and writes it again. So a
// repeated change is made at most once, one that the network delays cannot be
// made after a later one, and a writer whose row another has written is fenced.
type Lane struct {
	store   Store
	key     Key
	version int64
}

// NewLane returns a lane on a row with its present version.
func NewLane(s Store, key Key, version int64) *Lane {
	return &Lane{store: s, key: key, version: version}
}

// Apply makes a change together with the lane's row, which gets the value. No
// two changes may have the same value. It repeats the change until its outcome
// is certain, and returns ErrFenced when another has written the row.
func (l *Lane) Apply(ctx context.Context, change Change, value []byte) error {
	change.Expect = append(change.Expect, Row{Key: l.key, Version: l.version})
	change.Put = append(change.Put, Row{Key: l.key, Value: value})
	t := newTries()
	for {
		try, cancel := t.next(ctx)
		outcome, err := l.store.Transact(try, change)
		cancel()
		switch {
		case err == nil && outcome.Made:
			l.version = outcome.Version
			return nil
		case err == nil:
			now := current(outcome, l.key)
			if now.Version != l.version && bytes.Equal(now.Value, value) {
				l.version = now.Version
				return nil
			}
			return ErrFenced
		}
		if t.rest(ctx) != nil {
			return err
		}
	}
}

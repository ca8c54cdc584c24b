package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// scriptedStore answers the transactions with one error after the other, each after
// its delay.
type scriptedStore struct {
	store.Store
	answers chan scriptedAnswer
}

type scriptedAnswer struct {
	delay time.Duration
	err   error
}

func (s scriptedStore) Transact(context.Context, store.Change) (store.Outcome, error) {
	a := <-s.answers
	time.Sleep(a.delay)
	return store.Outcome{}, a.err
}

// Range finds nothing stored.
func (s scriptedStore) Range(context.Context, store.Span, int) (store.Rows, error) {
	return store.Rows{}, nil
}

// Guards against a caller who is told that a job was not stored while an earlier
// attempt without an answer may have stored it.
func TestInvalidAfterUnanswered(t *testing.T) {
	cases := map[string][]scriptedAnswer{
		"answer was lost":  {{0, store.ErrUnanswered}, {0, store.ErrInvalid}},
		"still under way":  {{300 * time.Millisecond, nil}, {0, store.ErrInvalid}},
		"refused at first": {{0, store.ErrRefused}, {0, store.ErrUnanswered}, {0, store.ErrInvalid}},
	}
	for name, answers := range cases {
		s := scriptedStore{answers: make(chan scriptedAnswer, len(answers))}
		for _, a := range answers {
			s.answers <- a
		}
		client := store.NewClient(s, &metrc.NewFleet().Store)
		_, err := client.Insert(context.Background(), store.Row{Key: named("a")}, time.Second)
		if !errors.Is(err, store.ErrUnanswered) {
			t.Errorf("%s: %v does not say that the outcome is open", name, err)
		}
	}
}

// A call that is invalid at every attempt has certainly stored nothing.
func TestInvalidAfterRefused(t *testing.T) {
	s := scriptedStore{answers: make(chan scriptedAnswer, 2)}
	s.answers <- scriptedAnswer{0, store.ErrRefused}
	s.answers <- scriptedAnswer{0, store.ErrInvalid}
	client := store.NewClient(s, &metrc.NewFleet().Store)
	_, err := client.Insert(context.Background(), store.Row{Key: named("a")}, time.Second)
	if !errors.Is(err, store.ErrInvalid) || errors.Is(err, store.ErrUnanswered) {
		t.Errorf("%v, want a certain refusal", err)
	}
}

// refusingStore refuses each call after a delay, like a store to which no connection can
// be opened.
type refusingStore struct {
	store.Store
	delay time.Duration
}

func (s refusingStore) Transact(context.Context, store.Change) (store.Outcome, error) {
	time.Sleep(s.delay)
	return store.Outcome{}, store.ErrRefused
}

func (s refusingStore) Range(context.Context, store.Span, int) (store.Rows, error) {
	time.Sleep(s.delay)
	return store.Rows{}, store.ErrRefused
}

// attemptsEnd is when the attempts of a call that has ended are over.
const attemptsEnd = 5 * time.Second

// Guards against callers who wait, or are told that the outcome is open, although the
// store has refused each attempt. Time is simulated, so that the load of the machine does
// not count.
func TestInsertRefused(t *testing.T) {
	for name, c := range map[string]struct{ delay, deadline, within time.Duration }{
		"at once, and the deadline passes while no attempt is under way": {time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond},
		"late, while further attempts are sent":                          {300 * time.Millisecond, 150 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := store.NewClient(refusingStore{delay: c.delay}, &metrc.NewEntry().Store)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				begin := time.Now()
				_, err := client.Insert(ctx, store.Row{Key: named("a"), Value: []byte("1")}, c.deadline)
				if !errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnanswered) {
					t.Errorf("%v, want a certain refusal", err)
				}
				if took := time.Since(begin); took >= c.within {
					t.Errorf("took %s, want less than %s", took, c.within)
				}
				time.Sleep(attemptsEnd)
			})
		})
	}
}

package store

import (
	"bytes"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
)

// Lane is the sequence of changes of one writer. Each of them requires the
// lane's own row to be as the one before left it, and writes it again. So a
// repeated change is made at most once, one that the network delays cannot be
// made after a later one, and a writer whose row another has written is fenced.
type Lane struct {
	client *Client
	key    Key

	// turn holds a value while no change is being made.
	turn    chan struct{}
	version int64
	fenced  bool
	// given holds the values of a change that was given up while it was under
	// way, so that it may have been made.
	given [][]byte
}

// NewLane returns a lane on a row with its present version.
func NewLane(c *Client, key Key, version int64) *Lane {
	l := &Lane{client: c, key: key, version: version, turn: make(chan struct{}, 1)}
	l.turn <- struct{}{}
	return l
}

// Apply makes a change together with the lane's row, whose new value is asked
// for before each try; no two changes may have the same value. It repeats the
// change until its outcome is certain. The outcome is that it was not made if
// another expected row was different. ErrFenced says that another writer has
// written the lane's row.
func (l *Lane) Apply(ctx context.Context, change Change, value func() []byte) (Outcome, error) {
	if err := l.take(ctx); err != nil {
		return Outcome{}, err
	}
	defer l.leave()
	return l.apply(ctx, change, value)
}

// Retire writes the lane's row a last time. Nothing is written after it.
func (l *Lane) Retire(ctx context.Context, value func() []byte) error {
	if err := l.take(ctx); err != nil {
		return err
	}
	defer l.leave()
	_, err := l.apply(ctx, Change{}, value)
	l.fenced = true
	return err
}

// take waits for the change before to end, which may take as long as the store
// is away.
func (l *Lane) take(ctx context.Context) error {
	select {
	case <-l.turn:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "an earlier change is still being made")
	}
}

func (l *Lane) leave() {
	l.turn <- struct{}{}
}

func (l *Lane) apply(ctx context.Context, change Change, value func() []byte) (Outcome, error) {
	for {
		if l.fenced {
			return Outcome{}, ErrFenced
		}
		var tried [][]byte
		outcome, err := newHedge(waitRounds*l.client.Usual(), func() func(context.Context) (Outcome, error) {
			tried = append(tried, value())
			whole := l.with(change, tried[len(tried)-1])
			return func(try context.Context) (Outcome, error) { return l.client.Transact(try, whole) }
		}).run(ctx)
		switch {
		case errors.Is(err, ErrRejected):
			return Outcome{}, err
		case err != nil:
			l.given = append(l.given, tried...)
			return Outcome{}, err
		case outcome.Made:
			l.moved(outcome.Version)
			return outcome, nil
		}
		if settled, over := l.settle(outcome, tried); over {
			return settled, nil
		}
	}
}

// with returns the change together with the lane's row.
func (l *Lane) with(change Change, value []byte) Change {
	change.Expect = append(slices.Clone(change.Expect), Row{Key: l.key, Version: l.version})
	change.Put = append(slices.Clone(change.Put), Row{Key: l.key, Value: value})
	return change
}

// settle works out from the lane's row as it is what became of a change that
// was not made at its newest try. It is not over if an earlier change of this
// lane has turned out to be made, or if the lane is fenced.
func (l *Lane) settle(outcome Outcome, tried [][]byte) (Outcome, bool) {
	now := current(outcome, l.key)
	switch {
	case now.Version == l.version:
		return outcome, true
	case holds(tried, now.Value):
		l.moved(now.Version)
		return Outcome{Made: true, Version: now.Version}, true
	case holds(l.given, now.Value):
		l.moved(now.Version)
	default:
		l.fenced = true
	}
	return Outcome{}, false
}

func (l *Lane) moved(version int64) {
	l.version, l.given = version, nil
}

func holds(values [][]byte, value []byte) bool {
	return slices.ContainsFunc(values, func(v []byte) bool { return bytes.Equal(v, value) })
}

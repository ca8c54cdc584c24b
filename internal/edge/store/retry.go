package store

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

const (
	// leastTry and lastTry bound how long one of several tries may take.
	leastTry = 60 * time.Millisecond
	lastTry  = 1500 * time.Millisecond
	// tryRounds is how many times its usual time a call gets before it is
	// tried again: an answer may be lost for good.
	tryRounds = 4
	// firstPause and lastPause lie between a refused try and the next.
	firstPause = 15 * time.Millisecond
	lastPause  = 250 * time.Millisecond
	// latencyWeight is the weight of one call in the usual time.
	latencyWeight = 0.2
)

// Client repeats calls to a store until their outcome is certain. It learns
// how long the store takes.
type Client struct {
	Store
	meter *metrc.Fleet
	// usual is the mean time of a call, in nanoseconds.
	usual atomic.Int64
}

// NewClient returns a client of the store that counts its calls.
func NewClient(s Store, meter *metrc.Fleet) *Client {
	return &Client{Store: s, meter: meter}
}

// done takes in the end of a call.
func (c *Client) done(begin time.Time, err error) {
	c.meter.StoreCalls.Inc()
	if err != nil {
		c.meter.StoreFailed.Inc()
		return
	}
	c.meter.StoreTime.UpdateDuration(begin)
	c.took(begin)
}

// took takes in how long a call took that was answered.
func (c *Client) took(begin time.Time) {
	usual := c.usual.Load()
	c.usual.Store(usual + int64(latencyWeight*float64(int64(time.Since(begin))-usual)))
}

// Usual returns how long a call to the store usually takes.
func (c *Client) Usual() time.Duration {
	return time.Duration(c.usual.Load())
}

// tries spaces the repetitions of one call.
type tries struct {
	timeout time.Duration
	pause   time.Duration
}

func (c *Client) newTries() tries {
	return tries{timeout: max(leastTry, tryRounds*c.Usual()), pause: firstPause}
}

// next returns the context of one try.
func (t *tries) next(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := min(t.timeout, lastTry)
	t.timeout *= 2
	return context.WithTimeout(ctx, timeout)
}

// transact makes one try of a change.
func (c *Client) transact(ctx context.Context, t *tries, change Change) (Outcome, error) {
	try, cancel := t.next(ctx)
	defer cancel()
	begin := time.Now()
	outcome, err := c.Transact(try, change)
	c.done(begin, err)
	return outcome, err
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
func (c *Client) Read(ctx context.Context, key Key) (Row, error) {
	t := c.newTries()
	for {
		try, cancel := t.next(ctx)
		begin := time.Now()
		rows, err := c.Range(try, key.Table, key.Name, key.Name+"\x00", 1)
		cancel()
		c.done(begin, err)
		if err == nil {
			if len(rows.Rows) == 0 {
				return Row{Key: key}, nil
			}
			return rows.Rows[0], nil
		}
		if errors.Is(err, ErrRejected) {
			return Row{}, err
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
func (c *Client) Insert(ctx context.Context, row Row, patience time.Duration) (Row, error) {
	t := c.newTries()
	giveUp := time.Now().Add(patience)
	open := false
	change := Change{Expect: []Row{{Key: row.Key}}, Put: []Row{row}}
	for {
		outcome, err := c.transact(ctx, &t, change)
		switch {
		case err == nil && outcome.Made:
			row.Version = outcome.Version
			return row, nil
		case err == nil:
			return current(outcome, row.Key), nil
		case errors.Is(err, ErrRejected):
			return Row{}, err
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
	client  *Client
	key     Key
	version int64
	// given is the value of a change that was given up while it was under way,
	// so that it may have been made.
	given []byte
}

// NewLane returns a lane on a row with its present version.
func NewLane(c *Client, key Key, version int64) *Lane {
	return &Lane{client: c, key: key, version: version}
}

// Apply makes a change together with the lane's row, which gets the value. No
// two changes may have the same value. It repeats the change until its outcome
// is certain, and returns ErrFenced when another has written the row.
func (l *Lane) Apply(ctx context.Context, change Change, value []byte) error {
	expect, put := change.Expect, change.Put
	t := l.client.newTries()
	for {
		change.Expect = append(slices.Clone(expect), Row{Key: l.key, Version: l.version})
		change.Put = append(slices.Clone(put), Row{Key: l.key, Value: value})
		outcome, err := l.client.transact(ctx, &t, change)
		switch {
		case err == nil && outcome.Made:
			l.version, l.given = outcome.Version, nil
			return nil
		case err == nil:
			now := current(outcome, l.key)
			switch {
			case now.Version != l.version && bytes.Equal(now.Value, value):
				l.version, l.given = now.Version, nil
				return nil
			case now.Version != l.version && l.given != nil && bytes.Equal(now.Value, l.given):
				l.version, l.given = now.Version, nil
				continue
			default:
				return ErrFenced
			}
		case errors.Is(err, ErrRejected):
			return err
		}
		if t.rest(ctx) != nil {
			l.given = value
			return err
		}
	}
}

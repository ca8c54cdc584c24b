package store

import (
	"context"
	"math/rand/v2"
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

// slowAfter is the time after which an answer counts as slow.
const slowAfter = 500 * time.Millisecond

// Health is the state of the store as a client sees it.
type Health string

// The states of the store.
const (
	Reachable Health = "reachable"
	Slow      Health = "slow"
	Down      Health = "down"
)

// Client repeats calls to a store until their outcome is certain. It learns
// how long the store takes.
type Client struct {
	backend Store
	meter   *metrc.Store
	// usual is the mean time of a call, in nanoseconds.
	usual atomic.Int64
	heard atomic.Bool
	// failed and slow tell of the newest call.
	failed atomic.Bool
	slow   atomic.Bool
}

// NewClient returns a client of the store that counts its calls.
func NewClient(s Store, meter *metrc.Store) *Client {
	return &Client{backend: s, meter: meter}
}

// Health returns the state of the store by the newest call.
func (c *Client) Health() Health {
	switch {
	case c.failed.Load() || !c.heard.Load():
		return Down
	case c.slow.Load():
		return Slow
	default:
		return Reachable
	}
}

// Transact implements Store.
func (c *Client) Transact(ctx context.Context, change Change) (Outcome, error) {
	c.meter.Writes.Inc()
	c.meter.RowsWritten.Add(len(change.Put) + len(change.Remove))
	begin := time.Now()
	outcome, err := c.backend.Transact(ctx, change)
	c.done(begin, 0, err)
	return outcome, err
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, table, from, to string, limit int) (Rows, error) {
	c.meter.Reads.Inc()
	begin := time.Now()
	rows, err := c.backend.Range(ctx, table, from, to, limit)
	c.done(begin, 0, err)
	return rows, err
}

// Changes implements Store.
func (c *Client) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Rows, error) {
	c.meter.Reads.Inc()
	begin := time.Now()
	rows, err := c.backend.Changes(ctx, table, after, wait)
	c.done(begin, wait, err)
	return rows, err
}

// done takes in the end of a call that the store might hold back.
func (c *Client) done(begin time.Time, wait time.Duration, err error) {
	answered := err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrRejected)
	c.failed.Store(!answered)
	if !answered {
		c.meter.Failures.Inc()
		return
	}
	c.heard.Store(true)
	if wait > 0 {
		return
	}
	took := time.Since(begin)
	c.slow.Store(took > slowAfter)
	c.meter.Latency.Update(took.Seconds())
	usual := c.usual.Load()
	c.usual.Store(usual + int64(latencyWeight*float64(int64(took)-usual)))
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
	return c.Transact(try, change)
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
	rows, err := c.repeat(ctx, func(try context.Context) (Rows, error) {
		return c.Range(try, key.Table, key.Name, key.Name+"\x00", 1)
	})
	if err != nil || len(rows.Rows) == 0 {
		return Row{Key: key}, err
	}
	return rows.Rows[0], nil
}

// ReadAll returns the rows of a table whose names begin with the prefix. It
// tries until ctx ends.
func (c *Client) ReadAll(ctx context.Context, table, prefix string) (Rows, error) {
	return c.repeat(ctx, func(try context.Context) (Rows, error) {
		return Scan(try, c, table, prefix, after(prefix))
	})
}

// after returns the first name after all that begin with the prefix, whose last
// character is taken to be plain ASCII.
func after(prefix string) string {
	if prefix == "" {
		return ""
	}
	last := len(prefix) - 1
	return prefix[:last] + string(prefix[last]+1)
}

// repeat makes a reading call until it is answered or ctx ends.
func (c *Client) repeat(ctx context.Context, call func(context.Context) (Rows, error)) (Rows, error) {
	t := c.newTries()
	for {
		try, cancel := t.next(ctx)
		rows, err := call(try)
		cancel()
		final := err == nil || errors.Is(err, ErrRejected) || errors.Is(err, ErrHistoryGone)
		if final || t.rest(ctx) != nil {
			return rows, err
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

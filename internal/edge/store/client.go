package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// latencyWeight is the weight of one call in the usual time.
const latencyWeight = 0.2

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
	// heard is when the newest answered call was sent, in nanoseconds since 1970.
	heard atomic.Int64
	// failed is set when a call sent after that had no answer.
	failed atomic.Bool
	// slow tells of the newest answered call.
	slow atomic.Bool
	// reading is the newest reading of the store's clock.
	reading atomic.Pointer[clockReading]
}

// clockReading is the store's clock as an answer gave it, and when that came.
type clockReading struct {
	store time.Time
	here  time.Time
}

// Clock returns the store's own steady clock, which is the same for all hosts,
// late by what the newest answer took on its way. It is zero before the first
// answer.
func (c *Client) Clock() time.Time {
	r := c.reading.Load()
	if r == nil {
		return time.Time{}
	}
	return r.store.Add(time.Since(r.here))
}

// heardClock takes in what an answer says of the store's clock. Answers may
// overtake each other.
func (c *Client) heardClock(clock time.Time) {
	if clock.After(c.Clock()) {
		c.reading.Store(&clockReading{store: clock, here: time.Now()})
	}
}

// NewClient returns a client of the store that counts its calls.
func NewClient(s Store, meter *metrc.Store) *Client {
	return &Client{backend: s, meter: meter}
}

// Health returns the state of the store by the newest call.
func (c *Client) Health() Health {
	switch {
	case c.failed.Load() || c.heard.Load() == 0:
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
	c.heardClock(outcome.Clock)
	c.done(begin, 0, err)
	return outcome, err
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, table, from, to string, limit int) (Rows, error) {
	c.meter.Reads.Inc()
	begin := time.Now()
	rows, err := c.backend.Range(ctx, table, from, to, limit)
	c.heardClock(rows.Clock)
	c.done(begin, 0, err)
	return rows, err
}

// Changes implements Store.
func (c *Client) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Rows, error) {
	c.meter.Reads.Inc()
	begin := time.Now()
	rows, err := c.backend.Changes(ctx, table, after, wait)
	c.heardClock(rows.Clock)
	c.done(begin, wait, err)
	return rows, err
}

// done takes in the end of a call that the store might hold back.
func (c *Client) done(begin time.Time, wait time.Duration, err error) {
	if !final(err) {
		c.meter.Failures.Inc()
		if begin.UnixNano() > c.heard.Load() {
			c.failed.Store(true)
		}
		return
	}
	c.heard.Store(max(c.heard.Load(), begin.UnixNano()))
	c.failed.Store(false)
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
// tries each page until ctx ends.
func (c *Client) ReadAll(ctx context.Context, table, prefix string) (Rows, error) {
	return Scan(ctx, patient{c}, table, prefix, after(prefix))
}

// patient is a client that repeats the reading of a range until ctx ends.
type patient struct {
	*Client
}

// Range implements Store.
func (p patient) Range(ctx context.Context, table, from, to string, limit int) (Rows, error) {
	return p.repeat(ctx, func(try context.Context) (Rows, error) {
		return p.Client.Range(try, table, from, to, limit)
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
	return newHedge(waitRounds*c.Usual(), func() func(context.Context) (Rows, error) { return call }).run(ctx)
}

// Insert stores a row that must not be there yet, and tries until ctx ends or
// the store has refused for patience. It returns the row that is there: with
// the value given, or with what was there before. ErrRefused is returned only
// if no try can have stored the row.
func (c *Client) Insert(ctx context.Context, row Row, patience time.Duration) (Row, error) {
	change := Change{Expect: []Row{{Key: row.Key}}, Put: []Row{row}}
	h := newHedge(waitRounds*c.Usual(), func() func(context.Context) (Outcome, error) {
		return func(try context.Context) (Outcome, error) { return c.Transact(try, change) }
	})
	h.giveUp = time.Now().Add(patience)
	outcome, err := h.run(ctx)
	switch {
	case err != nil:
		return Row{}, err
	case outcome.Made:
		row.Version = outcome.Version
		return row, nil
	default:
		return current(outcome, row.Key), nil
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

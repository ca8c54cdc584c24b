package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// latencyWeight is the weight of the newest call in the moving average of the
// latency.
const latencyWeight = 0.2

// slowThreshold is the latency above which the store counts as slow.
const slowThreshold = 500 * time.Millisecond

// Health is the state of the store as a client sees it.
type Health string

// States of the store.
const (
	Reachable Health = "reachable"
	Slow      Health = "slow"
	Down      Health = "down"
)

// Client repeats calls to a store until their outcome is certain. It measures
// the store's latency, which sets when a call is hedged.
type Client struct {
	backend Store
	meter   *metrc.Store
	// meanLatency is the moving average of the latency, in nanoseconds.
	meanLatency atomic.Int64
	// answeredSentAt is when the newest answered call was sent, in nanoseconds
	// since 1970; 0 before the first answer.
	answeredSentAt atomic.Int64
	// failedSentAt is when the newest call without an answer was sent, likewise.
	failedSentAt atomic.Int64
	// slow is set if the newest answered call exceeded slowThreshold.
	slow atomic.Bool
	// lastClock is the newest reading of the store's clock.
	lastClock atomic.Pointer[clockReading]
}

// clockReading is the store's clock as given in an answer, with the local time at
// which that answer arrived.
type clockReading struct {
	storeTime  time.Time
	receivedAt time.Time
}

// Clock returns the store's monotonic clock, which is the same for all hosts. It is
// off by no more than the round trip of an answer and what the two clocks drift apart
// until the next one. It is zero before the first answer.
func (c *Client) Clock() time.Time {
	r := c.lastClock.Load()
	if r == nil {
		return time.Time{}
	}
	return r.storeTime.Add(time.Since(r.receivedAt))
}

// observeClock records the store's clock from the answer to a call that was sent at
// begin. The clock had that value at some time during the call, so a reading that is
// in between stays as it is: answers may arrive late and out of order. A call that has
// failed has no reading.
func (c *Client) observeClock(begin, clock time.Time) {
	if clock.UnixMilli() <= 0 {
		return
	}
	now := time.Now()
	latest := clock.Add(now.Sub(begin))
	switch known := c.Clock(); {
	case clock.After(known):
		c.lastClock.Store(&clockReading{storeTime: clock, receivedAt: now})
	case known.After(latest):
		c.lastClock.Store(&clockReading{storeTime: latest, receivedAt: now})
	}
}

// NewClient returns a client of the store that records its calls in meter.
func NewClient(s Store, meter *metrc.Store) *Client {
	return &Client{backend: s, meter: meter}
}

// Health returns the state of the store according to the newest call.
func (c *Client) Health() Health {
	switch {
	case c.failedSentAt.Load() > c.answeredSentAt.Load() || c.answeredSentAt.Load() == 0:
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
	c.observeClock(begin, outcome.Clock)
	c.observeCall(begin, 0, err)
	return outcome, err
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, span Span, limit int) (Rows, error) {
	c.meter.Reads.Inc()
	begin := time.Now()
	rows, err := c.backend.Range(ctx, span, limit)
	c.observeClock(begin, rows.Clock)
	c.observeCall(begin, 0, err)
	if err == nil {
		// A read of several pages goes on as long as pages arrive.
		ReportProgress(ctx)
	}
	return rows, err
}

// Changes implements Store.
func (c *Client) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Rows, error) {
	c.meter.Reads.Inc()
	begin := time.Now()
	rows, err := c.backend.Changes(ctx, table, after, wait)
	c.observeClock(begin, rows.Clock)
	c.observeCall(begin, wait, err)
	return rows, err
}

// observeCall records the end of a call that was sent at begin. The latency of a
// call that let the store wait for a change (wait > 0) says nothing about the
// store's speed and is not counted.
func (c *Client) observeCall(begin time.Time, wait time.Duration, err error) {
	if !IsFinal(err) {
		c.meter.Failures.Inc()
		raise(&c.failedSentAt, begin.UnixNano())
		return
	}
	raise(&c.answeredSentAt, begin.UnixNano())
	if wait > 0 {
		return
	}
	took := time.Since(begin)
	c.slow.Store(took > slowThreshold)
	c.meter.Latency.Update(took.Seconds())
	mean := c.meanLatency.Load()
	c.meanLatency.Store(mean + int64(latencyWeight*float64(int64(took)-mean)))
}

// raise sets the value to n unless it is higher.
func raise(value *atomic.Int64, n int64) {
	for {
		current := value.Load()
		if n <= current || value.CompareAndSwap(current, n) {
			return
		}
	}
}

// MeanLatency returns the moving average of the latency of calls to the store.
func (c *Client) MeanLatency() time.Duration {
	return time.Duration(c.meanLatency.Load())
}

// Read returns one row, which has version 0 if it does not exist. It retries until
// ctx ends.
func (c *Client) Read(ctx context.Context, key Key) (Row, error) {
	rows, err := c.retryRead(ctx, func(attempt context.Context) (Rows, error) {
		return c.Range(attempt, Span{Table: key.Table, Part: key.Part, From: key.Name, To: key.Name + "\x00"}, 1)
	})
	if err != nil || len(rows.Rows) == 0 {
		return Row{Key: key}, err
	}
	return rows.Rows[0], nil
}

// ReadAll returns the rows of a table's unnamed part whose names begin with the
// prefix. It retries each page until ctx ends.
func (c *Client) ReadAll(ctx context.Context, table, prefix string) (Rows, error) {
	return Scan(ctx, retryingStore{c}, Span{Table: table, From: prefix, To: prefixEnd(prefix)})
}

// ReadParts returns all rows of some parts of a table, which it reads at the same
// time. Version is the oldest of any part, so that following the changes after it gives a
// consistent state. It retries each page until ctx ends.
func (c *Client) ReadParts(ctx context.Context, table string, parts []string) (Rows, error) {
	results := make([]Rows, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() error {
			rows, err := Scan(ctx, retryingStore{c}, Span{Table: table, Part: part})
			results[i] = rows
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Rows{}, err
	}
	all := Rows{Version: results[0].Version, Clock: results[0].Clock}
	for _, rows := range results {
		all.Version = min(all.Version, rows.Version)
		all.Rows = append(all.Rows, rows.Rows...)
	}
	return all, nil
}

// retryingStore is a Client whose Range retries until ctx ends.
type retryingStore struct {
	*Client
}

// Range implements Store.
func (s retryingStore) Range(ctx context.Context, span Span, limit int) (Rows, error) {
	return s.retryRead(ctx, func(attempt context.Context) (Rows, error) {
		return s.Client.Range(attempt, span, limit)
	})
}

// prefixEnd returns the first name after all names that begin with the prefix. The
// last character of the prefix must be ASCII.
func prefixEnd(prefix string) string {
	if prefix == "" {
		return ""
	}
	last := len(prefix) - 1
	return prefix[:last] + string(prefix[last]+1)
}

// retryRead repeats a read until it is answered or ctx ends.
func (c *Client) retryRead(ctx context.Context, call func(context.Context) (Rows, error)) (Rows, error) {
	return newHedgedCall(hedgeLatencyFactor*c.MeanLatency(), c.meter.RepeatedReads, func() func(context.Context) (Rows, error) { return call }).run(ctx)
}

// Insert stores a row that must not exist yet. It retries until ctx ends or the
// store has refused for refusalTimeout. It returns the stored row: the given one,
// or the one that already existed. ErrRefused is returned only if no attempt can
// have stored the row.
func (c *Client) Insert(ctx context.Context, row Row, refusalTimeout time.Duration) (Row, error) {
	row.Version = 0
	return c.Replace(ctx, row, refusalTimeout)
}

// Replace stores a row that must still have the version of the given one. It retries and
// returns the stored row like Insert: the given one at its new version, or the one that is
// there in its place, which may be one that an attempt of this call has stored.
func (c *Client) Replace(ctx context.Context, row Row, refusalTimeout time.Duration) (Row, error) {
	known := Row{Key: row.Key, Version: row.Version}
	change := Change{Expect: []Row{known}, Put: []Row{{Key: row.Key, Value: row.Value}}}
	call := newHedgedCall(hedgeLatencyFactor*c.MeanLatency(), c.meter.RepeatedWrites, func() func(context.Context) (Outcome, error) {
		return func(attempt context.Context) (Outcome, error) { return c.Transact(attempt, change) }
	})
	call.probe = c.probe(known)
	call.refusalDeadline = time.Now().Add(refusalTimeout)
	outcome, err := call.run(ctx)
	switch {
	case err != nil && IsFinal(err) && (call.mayHaveApplied || call.inFlight > 0):
		// This attempt has done nothing, which says nothing about the others.
		return Row{}, errors.Mark(errors.Newf("other attempts unanswered: %v", err), ErrUnanswered)
	case err != nil:
		return Row{}, err
	case outcome.Applied:
		row.Version = outcome.Version
		return row, nil
	default:
		return currentRow(outcome, row.Key), nil
	}
}

// probe returns a function that reads whether a row has changed since it had the given
// version. If it has, the outcome holds the row as it is now. A write whose answer is
// late is followed by probes, so that they count as repeated reads.
func (c *Client) probe(known Row) func(context.Context) (Outcome, error) {
	span := Span{Table: known.Key.Table, Part: known.Key.Part, From: known.Key.Name, To: known.Key.Name + "\x00"}
	return func(ctx context.Context) (Outcome, error) {
		c.meter.RepeatedReads.Inc()
		rows, err := c.Range(ctx, span, 1)
		if err != nil {
			return Outcome{}, err
		}
		current := Row{Key: known.Key}
		if len(rows.Rows) > 0 {
			current = rows.Rows[0]
		}
		if current.Version == known.Version {
			return Outcome{}, errUnchanged
		}
		return Outcome{Clock: rows.Clock, Current: []Row{current}}, nil
	}
}

// currentRow returns the row with the key from an outcome's current rows.
func currentRow(outcome Outcome, key Key) Row {
	for _, r := range outcome.Current {
		if r.Key == key {
			return r
		}
	}
	return Row{Key: key}
}

package store

import (
	"bytes"
	"context"
	"encoding/base64"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// FencedWriter commits changes one after the other and fences out the writers before
// it. Each change expects the fence row to be as the writer's previous change left
// it, and writes the fence row again. So a repeated change is committed at most
// once, a change that the network delays cannot be committed after a later one, and
// a writer whose fence row another writer has written can commit nothing more.
type FencedWriter struct {
	client *Client
	key    Key

	// token holds a value while no change is in progress. Unlike a mutex, it can
	// be waited for under a context.
	token chan struct{}
	// version is the version of the fence row after the newest known change.
	version int64
	fenced  bool
	// abandoned holds the fence row values of changes that were given up without an
	// answer and so may have been committed.
	abandoned [][]byte
}

// NewFencedWriter returns a writer whose fence row is key, at its present version.
func NewFencedWriter(c *Client, key Key, version int64) *FencedWriter {
	w := &FencedWriter{client: c, key: key, version: version, token: make(chan struct{}, 1)}
	w.token <- struct{}{}
	return w
}

// Apply commits a change together with the fence row. value is called before each
// attempt for the new value of the fence row and must never return the same value
// twice. Apply repeats the change until its outcome is certain. The change is not
// committed if another expected row has a different version. Apply returns
// ErrFenced if another writer has written the fence row.
func (w *FencedWriter) Apply(ctx context.Context, change Change, value func() []byte) (Outcome, error) {
	if err := w.acquire(ctx); err != nil {
		return Outcome{}, err
	}
	defer w.release()
	return w.apply(ctx, change, value)
}

// Retire writes the fence row a last time. Later changes fail with ErrFenced.
func (w *FencedWriter) Retire(ctx context.Context, value func() []byte) error {
	if err := w.acquire(ctx); err != nil {
		return err
	}
	defer w.release()
	_, err := w.apply(ctx, Change{}, value)
	w.fenced = true
	return err
}

// acquire waits for the change in progress to end, which may take as long as the
// store is unavailable.
func (w *FencedWriter) acquire(ctx context.Context) error {
	select {
	case <-w.token:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for an earlier change to end")
	}
}

func (w *FencedWriter) release() {
	w.token <- struct{}{}
}

func (w *FencedWriter) apply(ctx context.Context, change Change, value func() []byte) (Outcome, error) {
	for {
		if w.fenced {
			return Outcome{}, ErrFenced
		}
		var tried [][]byte
		delay := hedgeLatencyFactor*w.client.MeanLatency() + sendTime(change)
		call := newHedgedCall(delay, w.client.meter.RepeatedWrites, func() func(context.Context) (Outcome, error) {
			fence := value()
			tried = append(tried, fence)
			fenced := w.withFenceRow(change, fence)
			return func(attempt context.Context) (Outcome, error) {
				outcome, err := w.client.Transact(attempt, fenced)
				outcome.FenceValue = fence
				return outcome, err
			}
		})
		call.probe = w.client.probe(Row{Key: w.key, Version: w.version})
		outcome, err := call.run(ctx)
		switch {
		case errors.Is(err, ErrInvalid):
			return Outcome{}, err
		case err != nil:
			w.abandoned = append(w.abandoned, tried...)
			return Outcome{}, err
		case outcome.Applied:
			w.advance(outcome.Version)
			return outcome, nil
		}
		if resolved, done := w.resolve(outcome, tried); done {
			return resolved, nil
		}
	}
}

// slowestLink is the bandwidth, in bytes a second, that a host has at least: 10 Mbit/s.
const slowestLink = 1_250_000

// sendTime returns how long it may take to send a change. It is not late before, and
// a second attempt beside it would slow it down.
func sendTime(change Change) time.Duration {
	bytes := 0
	for _, row := range change.Put {
		bytes += base64.StdEncoding.EncodedLen(len(row.Value))
	}
	return time.Duration(bytes) * time.Second / slowestLink
}

// withFenceRow returns the change with the fence row added.
func (w *FencedWriter) withFenceRow(change Change, value []byte) Change {
	change.Expect = append(slices.Clone(change.Expect), Row{Key: w.key, Version: w.version})
	change.Put = append(slices.Clone(change.Put), Row{Key: w.key, Value: value})
	return change
}

// resolve derives from the present fence row what became of a change whose
// attempt failed its conditions. If the fence row holds a value of an earlier
// attempt, that attempt committed the change. It reports false if the change must
// be tried again because an abandoned change was committed, or if the writer is
// fenced.
func (w *FencedWriter) resolve(outcome Outcome, tried [][]byte) (Outcome, bool) {
	row := currentRow(outcome, w.key)
	switch {
	case row.Version == w.version:
		return outcome, true
	case containsValue(tried, row.Value):
		w.advance(row.Version)
		return Outcome{Applied: true, Version: row.Version, FenceValue: row.Value}, true
	case containsValue(w.abandoned, row.Value):
		w.advance(row.Version)
	default:
		w.fenced = true
	}
	return Outcome{}, false
}

// advance records the fence row's new version. An abandoned change can no longer
// be committed, since each one expects an older version.
func (w *FencedWriter) advance(version int64) {
	w.version, w.abandoned = version, nil
}

func containsValue(values [][]byte, value []byte) bool {
	return slices.ContainsFunc(values, func(v []byte) bool { return bytes.Equal(v, value) })
}

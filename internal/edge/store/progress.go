package store

import (
	"context"
	"io"
	"time"
)

// Keys under which a context holds the functions that OnProgress and OnArrival add.
type (
	progressKey struct{}
	arrivalKey  struct{}
)

// OnProgress returns a context whose calls call notify whenever they make progress.
// The functions of the contexts above are called as well.
func OnProgress(ctx context.Context, notify func()) context.Context {
	return addNotifier(ctx, progressKey{}, notify)
}

// OnArrival returns a context whose calls call notify whenever a part of their own
// answer has arrived, if that is large.
func OnArrival(ctx context.Context, notify func()) context.Context {
	return addNotifier(ctx, arrivalKey{}, notify)
}

// ReportProgress is called by stores when another part of a large request or answer
// has passed the network on which the call under the context waits.
func ReportProgress(ctx context.Context) {
	notifyAll(ctx, progressKey{})
}

// ReportArrival is called by stores when another part of the large answer to the call
// under the context has arrived. That is progress, too.
func ReportArrival(ctx context.Context) {
	notifyAll(ctx, arrivalKey{})
	ReportProgress(ctx)
}

func addNotifier(ctx context.Context, key any, notify func()) context.Context {
	return context.WithValue(ctx, key, func() {
		notify()
		notifyAll(ctx, key)
	})
}

func notifyAll(ctx context.Context, key any) {
	if notify, ok := ctx.Value(key).(func()); ok {
		notify()
	}
}

// WithIdleTimeout returns a context that ends when its calls have made no progress
// for the timeout. A call whose answer is large has as long as the network takes for
// it, while one without an answer ends at the timeout. The context's cause is then
// context.DeadlineExceeded.
func WithIdleTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	stop := func() {
		timer.Stop()
		cancel(nil)
	}
	return OnProgress(ctx, func() { timer.Reset(timeout) }), stop
}

// ReportReads returns a reader that calls report for each part that it reads after
// the first bytes, of the given number.
func ReportReads(reader io.Reader, skip int, report func()) io.Reader {
	return &reportingReader{reader, skip, report}
}

type reportingReader struct {
	reader io.Reader
	// skip is the number of bytes that are still to be read without a report.
	skip   int
	report func()
}

// Read implements io.Reader.
func (r *reportingReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	r.skip -= n
	if n > 0 && r.skip <= 0 {
		r.report()
	}
	return n, err
}

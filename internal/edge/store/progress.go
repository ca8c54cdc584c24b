package store

import (
	"context"
	"io"
	"time"
)

// progressKey is the key under which a context holds the function that is called when
// a call makes progress.
type progressKey struct{}

// OnProgress returns a context whose calls call notify whenever they make progress.
// The functions of the contexts above are called as well.
func OnProgress(ctx context.Context, notify func()) context.Context {
	return context.WithValue(ctx, progressKey{}, func() {
		notify()
		ReportProgress(ctx)
	})
}

// ReportProgress is called by stores when another part of a large request has been
// sent, or of a large answer has arrived, for a call under the context.
func ReportProgress(ctx context.Context) {
	if notify, ok := ctx.Value(progressKey{}).(func()); ok {
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

// ReportReads returns a reader that calls report for each part that it reads.
func ReportReads(reader io.Reader, report func()) io.Reader {
	return &reportingReader{reader, report}
}

type reportingReader struct {
	reader io.Reader
	report func()
}

// Read implements io.Reader.
func (r *reportingReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if n > 0 {
		r.report()
	}
	return n, err
}

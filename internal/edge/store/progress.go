package store

import (
	"context"
	"io"
	"sync"
	"time"
)

// Keys under which a context holds the functions that OnProgress, OnArrival and
// OnDecode add.
type (
	progressKey struct{}
	arrivalKey  struct{}
	decodeKey   struct{}
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

// OnDecode returns a context whose calls call begin when their own large answer has
// arrived whole, and the function that begin returns when they have decoded it.
func OnDecode(ctx context.Context, begin func() (end func())) context.Context {
	outer := ctx
	return context.WithValue(ctx, decodeKey{}, func() func() {
		end, endOuter := begin(), ReportDecode(outer)
		return func() {
			end()
			endOuter()
		}
	})
}

// ReportDecode is called by stores when the large answer to the call under the context
// has arrived whole, and the returned function when it is decoded. In between, the call
// waits for this host only, and not for the network.
func ReportDecode(ctx context.Context) (end func()) {
	if begin, ok := ctx.Value(decodeKey{}).(func() func()); ok {
		return begin()
	}
	return func() {}
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
// it, and as this host takes to decode it, while one without an answer ends at the
// timeout. The context's cause is then context.DeadlineExceeded.
func WithIdleTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	idle := &idleTimer{
		timer:   time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) }),
		timeout: timeout,
	}
	stop := func() {
		idle.timer.Stop()
		cancel(nil)
	}
	return OnDecode(OnProgress(ctx, idle.restart), idle.pause), stop
}

// idleTimer fires once there has been no progress for the timeout.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration

	mu sync.Mutex
	// decodes counts the answers that are being decoded. The timer rests meanwhile.
	decodes int
}

// restart gives the call the whole timeout again.
func (t *idleTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.decodes == 0 {
		t.timer.Reset(t.timeout)
	}
}

// pause stops the timer until the returned function has been called.
func (t *idleTimer) pause() (resume func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decodes++
	t.timer.Stop()
	return func() {
		t.mu.Lock()
		t.decodes--
		t.mu.Unlock()
		t.restart()
	}
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

package inproc

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"
)

// callTrace records how far a call got, to report with a call that had no
// answer.
type callTrace struct {
	mu    sync.Mutex
	start time.Time
	steps string
}

func (t *callTrace) add(step string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps += fmt.Sprintf(" %s at %v", step, time.Since(t.start).Round(time.Millisecond))
}

// withTrace returns a context in which the steps of a call are recorded.
func (t *callTrace) withTrace(ctx context.Context) context.Context {
	t.start = time.Now()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(_, _ string) { t.add("dial") },
		ConnectDone:  func(_, _ string, err error) { t.add(fmt.Sprintf("dial ended, error %v", err)) },
		GotConn: func(i httptrace.GotConnInfo) {
			t.add(fmt.Sprintf("got connection from %v, reused %v, idle for %v", i.Conn.LocalAddr(), i.Reused, i.IdleTime))
		},
		WroteRequest:         func(i httptrace.WroteRequestInfo) { t.add(fmt.Sprintf("request written, error %v", i.Err)) },
		GotFirstResponseByte: func() { t.add("first byte of answer") },
	})
}

// String returns the steps in order.
func (t *callTrace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.steps == "" {
		return "no step recorded"
	}
	return t.steps
}

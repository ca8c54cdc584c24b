package desk

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"
)

// progress notes how far a call came, for the report of one without an answer.
type progress struct {
	mu    sync.Mutex
	begun time.Time
	steps string
}

func (p *progress) note(step string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps += fmt.Sprintf(" %s at %v", step, time.Since(p.begun).Round(time.Millisecond))
}

// trace returns a context under which the call's steps are noted.
func (p *progress) trace(ctx context.Context) context.Context {
	p.begun = time.Now()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(_, _ string) { p.note("dial") },
		ConnectDone:  func(_, _ string, err error) { p.note(fmt.Sprintf("dialled %v", err)) },
		GotConn: func(i httptrace.GotConnInfo) {
			p.note(fmt.Sprintf("connection from %v, reused %v, idle %v", i.Conn.LocalAddr(), i.Reused, i.IdleTime))
		},
		WroteRequest:         func(i httptrace.WroteRequestInfo) { p.note(fmt.Sprintf("written %v", i.Err)) },
		GotFirstResponseByte: func() { p.note("first byte") },
	})
}

// String returns the steps in order.
func (p *progress) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.steps == "" {
		return "no step"
	}
	return p.steps
}

// Package guard bounds what callers can make a process hold. A Guard belongs to one
// listener. It counts its connections, and the memory that they hold or are about to hold,
// in one budget: heads, bodies, what decoding makes of them, and answers that wait to be
// read. Memory is taken before bytes are handed on and given back when they are gone. When
// the budget or the number of connections is used up, the connection that holds most is
// closed; package evict decides which.
package guard

import (
	"iter"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/evict"
)

// Errors of a request that the budget does not allow.
var (
	// ErrFull means that the memory or the connections for callers are used up at present.
	// The request was not handled.
	ErrFull = errors.New("the memory for callers is in use")
	// ErrTooLarge means that the request is larger than its limit, or needs more than the
	// whole budget.
	ErrTooLarge = errors.New("the request is too large")
)

// errClosed means that the connection was closed for another one.
var errClosed = errors.Mark(errors.New("the connection was closed for another one"), ErrFull)

const (
	// connectionBytes is what an idle connection holds: two stacks, the server's buffers,
	// and the start of a request that has arrived with the end of the one before, decoded.
	connectionBytes = 8<<10 + readBytes*headFactor
	// headFactor is how many bytes a byte of a head takes once it is decoded. Short lines
	// with names of their own take most.
	headFactor = 24
	// smallBytes is what the connection of an ordinary request holds. largePercent is the
	// part of the memory for connections that hold more, so that however many large
	// requests are being handled, small ones get in.
	smallBytes   = 64 << 10
	largePercent = 75
	// longRequest is how long a request may be handled until its connection may be closed
	// for another one. Its caller would otherwise choose how long others are kept out.
	longRequest = 30 * time.Second
	// evictTimeout is how long a connection waits for the memory of those that are closed.
	evictTimeout = time.Second
	// RetryAfter is when a refused caller may try again: closed connections have given
	// their memory back by then.
	RetryAfter = time.Second
)

// Limits bounds one listener.
type Limits struct {
	// Connections is the largest number of connections at present.
	Connections func() int
	// MemoryBytes is the memory that all connections together may hold.
	MemoryBytes int64
	// HeadBytes is the largest head that is read at all.
	HeadBytes int
	// Request returns the limits of a single request, which may change at any time.
	Request func() RequestLimits
}

// RequestLimits bounds one request. A limit of 0 leaves the listener's own in force.
type RequestLimits struct {
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Reason is why a connection was closed or a request refused.
type Reason string

// The reasons.
const (
	Memory      Reason = "memory"
	Connections Reason = "connections"
	Head        Reason = "head"
	Body        Reason = "body"
)

// Reporter is told what a guard does to callers. Its methods do not block.
type Reporter interface {
	// Closed is called for each connection that was closed for another one.
	Closed(Reason)
	// Refused is called for each connection or request that was refused.
	Refused(Reason)
}

// Guard bounds the connections of one listener.
type Guard struct {
	limits   Limits
	reporter Reporter

	mu    sync.Mutex
	conns map[*conn]struct{}
	// used is the memory that is taken, and closing the part of it that connections hold
	// that have been closed and not ended yet.
	used, closing int64
	closingConns  int
	// freed is closed when a connection gives memory back or ends.
	freed chan struct{}
}

// New returns a guard without connections.
func New(limits Limits, reporter Reporter) *Guard {
	return &Guard{limits: limits, reporter: reporter, conns: map[*conn]struct{}{}, freed: make(chan struct{})}
}

// Usage returns the number of connections and the memory that they hold, in bytes.
func (g *Guard) Usage() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.used
}

// add admits a new connection, with the memory of an idle one.
func (g *Guard) add(c *conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := g.makeRoom(c, connectionBytes, func() Reason {
		switch {
		case len(g.conns)-g.closingConns >= g.limits.Connections():
			return Connections
		case g.used-g.closing+connectionBytes > g.limits.MemoryBytes:
			return Memory
		default:
			return ""
		}
	}, func() bool {
		return len(g.conns) < g.limits.Connections() && g.used+connectionBytes <= g.limits.MemoryBytes
	})
	if err != nil {
		return err
	}
	g.conns[c] = struct{}{}
	g.used += connectionBytes
	c.held = connectionBytes
	return nil
}

// take adds n bytes to what a connection holds. It closes others for them, or fails with
// ErrFull or ErrTooLarge.
func (g *Guard) take(c *conn, n int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.memoryFor(c.held + n)
	if c.held+n > limit {
		g.reporter.Refused(Body)
		return errors.Wrapf(ErrTooLarge, "%d bytes", c.held+n)
	}
	err := g.makeRoom(c, n, func() Reason {
		if g.used-g.closing+n > limit {
			return Memory
		}
		return ""
	}, func() bool { return g.used+n <= limit })
	if err != nil {
		return err
	}
	if c.closed {
		return errClosed
	}
	g.used += n
	c.held += n
	return nil
}

// memoryFor returns up to where all connections together may fill the memory for one that
// holds n bytes.
func (g *Guard) memoryFor(n int64) int64 {
	if n > smallBytes {
		return g.limits.MemoryBytes / 100 * largePercent
	}
	return g.limits.MemoryBytes
}

// makeRoom closes connections, as long as shortage gives a reason, and waits until fits
// returns true. It fails if c, with n bytes more, would have to be closed itself. The caller
// holds g.mu.
func (g *Guard) makeRoom(c *conn, n int64, shortage func() Reason, fits func() bool) error {
	if fits() {
		return nil
	}
	deadline := time.NewTimer(evictTimeout)
	defer deadline.Stop()
	for !fits() {
		if c.closed {
			return errClosed
		}
		if reason := shortage(); reason != "" {
			victim, ok := evict.Choose(g.candidates(c, n))
			if !ok || victim == c {
				g.reporter.Refused(reason)
				return ErrFull
			}
			g.closeFor(victim, reason)
			continue
		}
		freed := g.freed
		g.mu.Unlock()
		select {
		case <-freed:
			g.mu.Lock()
		case <-deadline.C:
			g.mu.Lock()
			g.reporter.Refused(Memory)
			return errors.Wrap(ErrFull, "closed connections have not ended")
		}
	}
	return nil
}

// candidates returns the connections that are not closed yet, with c as if it held n bytes
// more. The caller holds g.mu.
func (g *Guard) candidates(c *conn, n int64) iter.Seq2[*conn, evict.Conn] {
	return func(yield func(*conn, evict.Conn) bool) {
		now := time.Now()
		for x := range g.conns {
			if x.closed {
				continue
			}
			view := evict.Conn{Bytes: x.held, ActiveAt: x.activeAt, Busy: now.Before(x.busyUntil)}
			if x == c {
				view.Bytes += n
				view.Busy = false
			}
			if !yield(x, view) {
				return
			}
		}
	}
}

// closeFor closes a connection to make room for another one. The caller holds g.mu.
func (g *Guard) closeFor(c *conn, reason Reason) {
	c.closed = true
	g.closing += c.held
	g.closingConns++
	g.reporter.Closed(reason)
	_ = c.Conn.Close()
}

// give takes n bytes from what a connection holds.
func (g *Guard) give(c *conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.giveLocked(c, n)
}

func (g *Guard) giveLocked(c *conn, n int64) {
	if n == 0 {
		return
	}
	c.held -= n
	g.used -= n
	if c.closed {
		g.closing -= n
	}
	close(g.freed)
	g.freed = make(chan struct{})
}

// remove forgets a connection that has ended, with all that it held.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if c.closed {
		g.closingConns--
	}
	g.giveLocked(c, c.held)
}

// Trim closes connections until there are no more than the limit allows, which may have
// fallen.
func (g *Guard) Trim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns)-g.closingConns > g.limits.Connections() {
		victim, ok := evict.Choose(g.candidates(nil, 0))
		if !ok {
			return
		}
		g.closeFor(victim, Connections)
	}
}

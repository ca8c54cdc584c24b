package guard

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// serverBufferBytes is the size of the buffer through which a server reads.
	serverBufferBytes = 4 << 10
	// readBytes is the most that is read into that buffer at once, and so the most of a
	// next request that can arrive with the end of the one before.
	readBytes = 512
	// answerTimeout is how long a caller may leave a part of its answer unread.
	answerTimeout = 10 * time.Second
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// refusal is the answer to a caller whose request was not read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// stage is what a connection is used for at present.
type stage int32

const (
	// stageHead lasts from the end of a request until the head of the next one is read.
	stageHead stage = iota
	// stageRequest is while a request is handled.
	stageRequest
	// stageLink is after the connection has become a WebSocket.
	stageLink
)

// conn is a connection that takes what it reads from the budget of its guard.
type conn struct {
	net.Conn
	guard *Guard
	stage atomic.Int32
	// idle is set from the end of a request until the server waits for the next head. Only
	// the server's goroutine uses it.
	idle bool
	// bodyUnread is set if the body of the present request was not read to its end. Only
	// the server's goroutine uses it.
	bodyUnread bool

	// The guard's mutex guards the rest. held is the memory that the connection holds,
	// headBytes what has been read of the present head.
	held      int64
	headBytes int
	activeAt  time.Time
	// busyUntil is until when the connection is not closed for others, since its request is
	// being handled.
	busyUntil time.Time
	// closed is set once the guard has closed the connection for another one.
	closed bool
}

// Read implements net.Conn. What it reads of a head is taken from the budget before the
// server decodes it.
func (c *conn) Read(data []byte) (int, error) {
	if stage(c.stage.Load()) != stageLink && len(data) <= serverBufferBytes {
		data = data[:min(len(data), readBytes)]
	}
	n, err := c.Conn.Read(data)
	if n == 0 || stage(c.stage.Load()) != stageHead {
		c.guard.touch(c)
		return n, err
	}
	if full := c.guard.takeHead(c, n); full != nil {
		c.refuse()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: full}
	}
	return n, err
}

// refuse answers a request whose head was not read to its end.
func (c *conn) refuse() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(refusal))
}

// Write implements net.Conn. A caller that does not read its answer is cut off.
func (c *conn) Write(data []byte) (int, error) {
	if stage(c.stage.Load()) != stageLink {
		c.guard.setBusy(c, false)
		if err := c.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(data)
	c.guard.touch(c)
	return n, err
}

// SetReadDeadline implements net.Conn. While no request is handled, the deadline follows
// the limits of requests that are in force.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.idle = false
		return c.Conn.SetReadDeadline(deadline)
	}
	if stage(c.stage.Load()) == stageHead {
		limits := c.guard.limits.Request()
		timeout := limits.HeadTimeout
		if c.idle {
			timeout = limits.IdleTimeout
		}
		if timeout > 0 {
			deadline = time.Now().Add(timeout)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the writing side, so that a caller that is still sending can read its
// answer before the connection is reset.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The server tells by ConnState when an ordinary connection has
// ended; a WebSocket ends here.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if stage(c.stage.Load()) == stageLink {
		c.guard.remove(c)
	}
	return err
}

// takeHead takes the memory of n bytes of a head, decoded, and counts a head that the
// server will refuse.
func (g *Guard) takeHead(c *conn, n int) error {
	if err := g.take(c, int64(n)*headFactor); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// The server reads a little more than its limit.
	most := g.limits.HeadBytes + serverBufferBytes
	if c.headBytes < most && c.headBytes+n >= most {
		g.reporter.Refused(Head)
	}
	c.headBytes += n
	c.activeAt = time.Now()
	return nil
}

// touch notes that bytes have been read or written.
func (g *Guard) touch(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.activeAt = time.Now()
}

// setBusy notes whether a complete request is being handled.
func (g *Guard) setBusy(c *conn, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.busyUntil = time.Time{}
	if busy {
		c.busyUntil = time.Now().Add(longRequest)
	}
}

// endRequest gives back all but the memory of an idle connection.
func (g *Guard) endRequest(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.headBytes, c.busyUntil, c.activeAt = 0, time.Time{}, time.Now()
	g.giveLocked(c, c.held-connectionBytes)
}

// listener admits connections to its guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Listen returns a listener whose connections the guard bounds. The server must be
// prepared by Protect.
func (g *Guard) Listen(l net.Listener) net.Listener {
	limitReceiveBuffers(l)
	return &listener{Listener: l, guard: g}
}

// receiveBufferBytes is how much the system keeps of what a caller sends ahead of what is
// read. Systems that adapt it to fast callers would keep some MB for each.
const receiveBufferBytes = 16 << 10

// limitReceiveBuffers sets the receive buffers of the connections of a listener. A system
// that does not allow it keeps its own limits.
func limitReceiveBuffers(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

// Accept implements net.Listener. A connection that is not admitted is refused and closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, guard: l.guard, activeAt: time.Now()}
		err = l.guard.add(c)
		if err == nil {
			return c, nil
		}
		if errors.Is(err, ErrFull) {
			c.refuse()
		}
		_ = raw.Close()
	}
}

package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the connections of a server that have a call in progress
// or may be about to receive one.
type connections struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

// track is the server's ConnState callback.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		if c.busy == nil {
			c.busy = map[net.Conn]struct{}{}
		}
		c.busy[conn] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.busy, conn)
	}
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// idleBeforeShutdown is how long a server must have had no busy connection before
// its remaining connections are closed.
const idleBeforeShutdown = 100 * time.Millisecond

// drain closes the listener and waits until all calls on accepted connections
// have been answered. The server must be shut down only afterwards, because from
// then on it drops calls that it has read but not yet started to handle.
func (l *listener) drain(ctx context.Context) {
	_ = l.Close()
	lastBusy := time.Now()
	for ctx.Err() == nil && time.Since(lastBusy) < idleBeforeShutdown {
		time.Sleep(drainPollInterval)
		if l.conns.count() > 0 {
			lastBusy = time.Now()
		}
	}
}

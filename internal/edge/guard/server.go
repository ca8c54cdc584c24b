package guard

import (
	"context"
	"net"
	"net/http"
	"time"
)

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// Protect makes the guard bound the requests of a server, which must serve a listener of
// Listen. It sets the server's hooks, calls those that it had, and wraps its handler.
func (g *Guard) Protect(server *http.Server) {
	next := server.ConnState
	server.MaxHeaderBytes = g.limits.HeadBytes
	server.Handler = g.checkHead(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok {
			guarded.enter(state)
		}
		if next != nil {
			next(c, state)
		}
	}
}

// enter follows the states of a connection.
func (c *conn) enter(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.stage.Store(int32(stageRequest))
	case http.StateIdle:
		c.idle = true
		c.stage.Store(int32(stageHead))
		c.guard.endRequest(c)
	case http.StateHijacked:
		// The head stays in memory as long as the connection, and so does what was taken for it.
		c.stage.Store(int32(stageLink))
	case http.StateClosed:
		c.guard.remove(c)
	case http.StateNew:
	}
}

// checkHead returns a handler that refuses heads above the limit in force.
func (g *Guard) checkHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if most := g.limits.Request().HeadBytes; most > 0 && headBytes(r) > most {
			g.reporter.Refused(Head)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			if r.ContentLength != 0 {
				linger(w, r)
			}
			return
		}
		if c := connOf(r.Context()); c != nil && r.ContentLength == 0 {
			g.setBusy(c, true)
		}
		next.ServeHTTP(w, r)
		if c := connOf(r.Context()); c != nil && c.bodyUnread {
			c.bodyUnread = false
			linger(w, r)
		}
	})
}

// lingerTimeout bounds the wait for the next byte of a body that is not read.
const lingerTimeout = 100 * time.Millisecond

// linger makes the server wait before it closes the connection of a request whose body was
// refused. A reset while the caller is sending would take its answer away. The server does
// so after a reader with a limit has found more than that.
func linger(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = http.MaxBytesReader(w, r.Body, 0).Read(make([]byte, 1))
}

// headBytes returns the size of a request's head as it was sent, within a few bytes.
func headBytes(r *http.Request) int {
	const separators = len(": \r\n")
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	if r.Host != "" {
		total += len("Host") + len(r.Host) + separators
	}
	for name, values := range r.Header {
		for _, v := range values {
			total += len(name) + len(v) + separators
		}
	}
	return total
}

// connOf returns the connection that a context belongs to, or nil if no guard bounds it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}

package fleet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/httpc"
)

// workerDescriptorsPercent is how many descriptors a leader needs for its workers, of each
// of which it may have a second connection for some seconds.
const workerDescriptorsPercent = 125

// intake bounds what the callers of each listener can make the host hold.
type intake struct {
	callers, ready, peers *guard.Guard
	// workers is how many workers this host leads.
	workers atomic.Int64
}

func newIntake(h *Host) *intake {
	in := &intake{}
	limits := h.settings.Limits
	shares := guard.NewShares(limits, h.settings.MaxDescriptors())
	in.callers = guard.NewFor(guard.Listener{
		Name: "callers", Meter: h.meter.Callers, MemoryMB: limits.MemoryMB, Request: h.frontend.requestLimits,
		Connections: func() int { return shares.Callers(int(in.workers.Load()) * workerDescriptorsPercent / 100) },
	}, limits, h.log)
	in.ready = guard.NewFor(guard.Listener{
		Name: "ready", Meter: h.meter.Ready, MemoryMB: limits.OtherMemoryMB,
		Connections: func() int { return guard.SmallListener },
	}, limits, h.log)
	in.peers = guard.NewFor(guard.Listener{
		Name: "peers", Meter: h.meter.Peers, MemoryMB: limits.OtherMemoryMB,
		Connections: func() int { return shares.Peers },
	}, limits, h.log)
	return in
}

// setWorkers tells how many workers this host leads, whose connections come before those of
// callers.
func (in *intake) setWorkers(n int) {
	in.workers.Store(int64(n))
	in.callers.Trim()
}

// server is an HTTP server with its address and the guard of its connections.
type server struct {
	*http.Server
	address string
	guard   *guard.Guard
}

func newServer(address string, handler http.Handler, g *guard.Guard) server {
	s := &http.Server{Handler: httpc.LimitBodyTime(handler, bodyTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	g.Protect(s)
	return server{Server: s, address: address, guard: g}
}

// listen opens the server's socket.
func (s server) listen(ctx context.Context) (net.Listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", s.address)
	}
	return s.guard.Listen(socket), nil
}

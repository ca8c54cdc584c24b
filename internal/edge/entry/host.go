// Package entry implements the process that runs on every entry host. It serves
// callers, operators and peers, and connects the router and the schedulers of
// owned shards, which do no input or output, to the network, timers and the
// platform's store.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/limit"
	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/hosts"
	"github.com/rattanshore/rattanshore/internal/edge/httpc"
	"github.com/rattanshore/rattanshore/internal/edge/peers"
	"github.com/rattanshore/rattanshore/internal/edge/runner"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/edge/target"
	"github.com/rattanshore/rattanshore/internal/edge/worker"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

// ErrSessionLost is returned when another process has taken over this host's
// session.
var ErrSessionLost = errors.New("session row was written by another process")

// headerTimeout limits the time to read the header of a call.
const headerTimeout = 5 * time.Second

// idleTimeout limits how long a connection is kept between two calls.
const idleTimeout = 60 * time.Second

// bodyTimeout limits the time to read the body after that.
const bodyTimeout = 10 * time.Second

type router = runner.Runner[*route.Model[route.LeastOfTwo], route.Msg, route.Cmd]

// Host is one entry host.
type Host struct {
	settings    setng.Settings
	incarnation string
	log         *zerolog.Logger
	metrics     *metrc.Entry

	store *store.Client
	// writer writes the host's session row together with each change, which fences
	// off an earlier process of this host; batcher merges concurrent changes for it.
	writer  *store.FencedWriter
	batcher *store.Batcher
	hosts   *hosts.Client
	workers *worker.Client
	targets *target.Client
	peers   *peers.Hub
	router  *router
	view    *view

	intake *intake
	// cancels limits the tombstones that callers have the host leave.
	cancels *limit.Cancels

	callerListener   listener
	operatorListener listener
	peerListener     listener

	mu sync.Mutex
	// owned holds the shards that this host owns, by name.
	owned map[string]*ownedShard
	// pendingRequests holds the channels that receive results, by ticket.
	pendingRequests map[int64]chan route.Answer
	lastTicket      int64
	stopping        bool
	// sequence makes each value written to the host's row unique.
	sequence    int64
	pollNow     chan struct{}
	sessionLost chan error
	// publishMu serializes publishChanges.
	publishMu  sync.Mutex
	goroutines sync.WaitGroup
	// pendingRecords counts outcomes of claimed requests that are being recorded.
	pendingRecords sync.WaitGroup
}

// listener is a socket with the HTTP server that serves it.
type listener struct {
	net.Listener
	server *http.Server
	conns  connections
	guard  *guard.Guard
}

// New returns a host that keeps the shared state in the platform's store. It
// opens its listeners; Run starts to serve them.
func New(settings setng.Settings, log *zerolog.Logger, platform store.Store) (*Host, error) {
	h := &Host{
		settings:        settings,
		incarnation:     uuid.NewString(),
		log:             log,
		metrics:         metrc.NewEntry(),
		view:            newView(),
		owned:           map[string]*ownedShard{},
		pendingRequests: map[int64]chan route.Answer{},
		pollNow:         make(chan struct{}, 1),
		sessionLost:     make(chan error, 4),
		cancels:         limit.NewCancels(),
	}
	timing := settings.Timing
	h.store = store.NewClient(platform, &h.metrics.Store)
	h.hosts = hosts.New(settings.Host.ID, settings.Platform.Table, timing.TableTimeout)
	h.workers = worker.New(settings.Host.ID, timing.WorkerTimeout)
	h.targets = target.New(settings.Host.ID)
	limits := route.DefaultLimits()
	limits.Queue = settings.Limits.Queue
	limits.Attempts = settings.Limits.Attempts
	limits.ClaimWait = timing.ClaimWait
	model := route.New(route.LeastOfTwo{}, limits, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.router = runner.New(model, h.executeRouterCmd, time.Now, route.Msg(route.TickMsg{}))
	hub, err := peers.New(settings.Keys.Peers, h.receivePeerMessage, h.logPeerLink)
	if err != nil {
		return nil, err
	}
	h.peers = hub
	h.addGauges()
	h.intake = newIntake(h)
	return h, h.listen()
}

func (h *Host) addGauges() {
	h.metrics.SetGauges(metrc.Gauges{
		StoreUp: func() float64 {
			if h.store.Health() == store.Down {
				return 0
			}
			return 1
		},
		ShardsOwned: func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return float64(len(h.owned))
		},
		ConfigVersion: func() float64 {
			return float64(h.view.configVersion())
		},
	})
}

func (h *Host) listen() error {
	for _, l := range []struct {
		to      *listener
		address netip.AddrPort
		guard   *guard.Guard
	}{
		{&h.callerListener, h.settings.Listen.Callers, h.intake.callers},
		{&h.operatorListener, h.settings.Listen.Operators, h.intake.operators},
		{&h.peerListener, h.settings.Listen.Peers, h.intake.peers},
	} {
		socket, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.address))
		if err != nil {
			h.closeServers()
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		l.to.Listener, l.to.guard = l.guard.Listen(socket), l.guard
	}
	return nil
}

// Callers returns the address on which callers are served.
func (h *Host) Callers() netip.AddrPort { return addressOf(&h.callerListener) }

// Operators returns the address on which operators are served.
func (h *Host) Operators() netip.AddrPort { return addressOf(&h.operatorListener) }

// Peers returns the address on which peers are served.
func (h *Host) Peers() netip.AddrPort { return addressOf(&h.peerListener) }

func addressOf(l *listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(l.Addr().String())
	return address
}

// Run serves until ctx ends, and then stops gracefully: requests in progress are
// completed and shards are handed over. It returns ErrSessionLost if another
// process takes over this host's session.
func (h *Host) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := h.openSession(ctx); err != nil {
		h.closeServers()
		return err
	}
	logev.HostStarted.Log(h.log).
		Stringer("callers", h.Callers()).
		Stringer("operators", h.Operators()).
		Stringer("peers", h.Peers()).
		Str("incarnation", h.incarnation).Send()
	h.start(runCtx)
	var err error
	select {
	case <-ctx.Done():
		h.stop(runCtx)
	case err = <-h.sessionLost:
		logev.SessionLost.Log(h.log).Err(err).Send()
	}
	cancel()
	h.closeServers()
	h.goroutines.Wait()
	logev.HostStopped.Log(h.log).Int("requests-cut", h.unansweredRequests()).Send()
	return err
}

func (h *Host) start(ctx context.Context) {
	h.spawn(func() { h.router.Run(ctx) })
	h.spawn(func() { h.runSession(ctx) })
	h.spawn(func() { h.pollRows(ctx) })
	h.spawn(func() { h.pollHosts(ctx) })
	h.spawn(func() { h.broadcastPeriodically(ctx) })
	h.spawn(func() { h.sweepTombstones(ctx) })
	h.serve(&h.callerListener, h.callerHandler())
	h.serve(&h.operatorListener, h.operatorHandler())
	h.serve(&h.peerListener, h.peers.Handler())
}

// spawn runs f in a goroutine that Run waits for before it returns.
func (h *Host) spawn(f func()) {
	h.goroutines.Add(1)
	go func() {
		defer h.goroutines.Done()
		f()
	}()
}

func (h *Host) serve(l *listener, handler http.Handler) {
	l.server = &http.Server{
		Handler: httpc.LimitBodyTime(handler, bodyTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: l.conns.track,
	}
	l.guard.Protect(l.server)
	h.spawn(func() {
		err := l.server.Serve(l.Listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			logev.InternalProblem.Log(h.log).Err(err).Send()
		}
	})
}

// closeServers closes the servers, and the listeners that have no server yet.
func (h *Host) closeServers() {
	for _, l := range []*listener{&h.callerListener, &h.operatorListener, &h.peerListener} {
		switch {
		case l.server != nil:
			_ = l.server.Close()
		case l.Listener != nil:
			_ = l.Close()
		}
	}
}

// unansweredRequests returns the number of requests that have no result yet.
func (h *Host) unansweredRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pendingRequests)
}

func (h *Host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

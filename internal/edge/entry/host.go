// Package entry is the process that runs on every entry host. It puts sockets,
// timers and the table service round the cores that decide.
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

	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/edge/hosts"
	"github.com/rattanshore/rattanshore/internal/edge/peers"
	"github.com/rattanshore/rattanshore/internal/edge/runner"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/edge/target"
	"github.com/rattanshore/rattanshore/internal/edge/worker"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

// ErrSessionLost says that another process has taken this host's session.
var ErrSessionLost = errors.New("session row was written by another process")

// headerTimeout limits the reading of a call's header.
const headerTimeout = 5 * time.Second

type router = runner.Runner[*route.Model[route.LeastOfTwo], route.Msg, route.Cmd]

// Host is one entry host.
type Host struct {
	settings    setng.Settings
	incarnation string
	log         *zerolog.Logger
	metrics     *metrc.Set

	store   *store.Client
	lane    *store.Lane
	group   *store.Group
	hosts   *hosts.Client
	workers *worker.Client
	targets *target.Client
	peers   *peers.Hub
	router  *router
	view    *view

	callers   listener
	operators listener
	peerside  listener

	mu       sync.Mutex
	owned    map[string]*owner
	waiting  map[int64]chan route.Ending
	ticket   int64
	stopping bool
	// sequence tells two values of the host's row apart.
	sequence int64
	pollNow  chan struct{}
	lost     chan error
	sharing  sync.Mutex
	work     sync.WaitGroup
	// recording counts endings of claimed requests that are being recorded.
	recording sync.WaitGroup
}

// listener is a socket and the server on it.
type listener struct {
	net.Listener
	server *http.Server
	conns  connections
}

// New returns a host that keeps the shared state in the platform's store. It
// listens on the addresses of its settings but does not serve before Run.
func New(settings setng.Settings, log *zerolog.Logger, platform store.Store) (*Host, error) {
	h := &Host{
		settings:    settings,
		incarnation: uuid.NewString(),
		log:         log,
		metrics:     metrc.New(),
		view:        newView(),
		owned:       map[string]*owner{},
		waiting:     map[int64]chan route.Ending{},
		pollNow:     make(chan struct{}, 1),
		lost:        make(chan error, 4),
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
	h.router = runner.New(model, h.executeRoute, time.Now, route.Msg(route.TickMsg{}))
	hub, err := peers.New(settings.Keys.Peers, h.peerSaid, h.peerLink)
	if err != nil {
		return nil, err
	}
	h.peers = hub
	h.addGauges()
	return h, h.listen()
}

func (h *Host) addGauges() {
	h.metrics.Gauge("store_up", func() float64 {
		if h.store.Health() == store.Down {
			return 0
		}
		return 1
	})
	h.metrics.Gauge("shards_owned", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return float64(len(h.owned))
	})
	h.metrics.Gauge("config_version", func() float64 {
		return float64(h.view.configVersion())
	})
}

func (h *Host) listen() error {
	for _, l := range []struct {
		to      *listener
		address netip.AddrPort
	}{
		{&h.callers, h.settings.Listen.Callers},
		{&h.operators, h.settings.Listen.Operators},
		{&h.peerside, h.settings.Listen.Peers},
	} {
		socket, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.address))
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		l.to.Listener = socket
	}
	return nil
}

// Callers returns the address on which callers are served.
func (h *Host) Callers() netip.AddrPort { return addressOf(&h.callers) }

// Operators returns the address on which operators are served.
func (h *Host) Operators() netip.AddrPort { return addressOf(&h.operators) }

// Peers returns the address on which peers are served.
func (h *Host) Peers() netip.AddrPort { return addressOf(&h.peerside) }

func addressOf(l *listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(l.Addr().String())
	return address
}

// Run serves until ctx ends, and then stops gracefully: requests in progress
// get their endings and shards are handed over. It returns ErrSessionLost
// when another process takes this host's session.
func (h *Host) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := h.openSession(ctx); err != nil {
		return err
	}
	logev.HostStarted.Log(h.log).
		Stringer("callers", h.Callers()).
		Stringer("operators", h.Operators()).
		Stringer("peers", h.Peers()).
		Str("incarnation", h.incarnation).Send()
	h.start(inner)
	var err error
	select {
	case <-ctx.Done():
		h.stop(inner)
	case err = <-h.lost:
		logev.SessionLost.Log(h.log).Err(err).Send()
	}
	cancel()
	h.closeServers()
	h.work.Wait()
	logev.HostStopped.Log(h.log).Int("requests-cut", h.cutOff()).Send()
	return err
}

func (h *Host) start(ctx context.Context) {
	h.goDo(func() { h.router.Run(ctx) })
	h.goDo(func() { h.runSession(ctx) })
	h.goDo(func() { h.pollRows(ctx) })
	h.goDo(func() { h.pollHosts(ctx) })
	h.goDo(func() { h.tellPeers(ctx) })
	h.serve(&h.callers, h.callerHandler())
	h.serve(&h.operators, h.operatorHandler())
	h.serve(&h.peerside, h.peers.Handler())
}

func (h *Host) goDo(f func()) {
	h.work.Add(1)
	go func() {
		defer h.work.Done()
		f()
	}()
}

func (h *Host) serve(l *listener, handler http.Handler) {
	l.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ConnState: l.conns.note}
	h.goDo(func() {
		err := l.server.Serve(l.Listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			logev.InternalProblem.Log(h.log).Err(err).Send()
		}
	})
}

func (h *Host) closeServers() {
	for _, l := range []*listener{&h.callers, &h.operators, &h.peerside} {
		if l.server != nil {
			_ = l.server.Close()
		}
	}
}

// cutOff returns how many requests have no ending.
func (h *Host) cutOff() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiting)
}

func (h *Host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

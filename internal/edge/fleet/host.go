// Package fleet is the process of an entry host on a platform that keeps all
// state in one store: it answers callers, follows the operators' orders, and
// leads the planning of the platform's workers while it holds the leader's row.
package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/gate"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

const (
	// ordersWait is how long the store may hold back the answer that nothing
	// has changed. The age of the configuration is at most twice this.
	ordersWait = 1200 * time.Millisecond
	// retryPause lies between two calls to a store that does not answer.
	retryPause = 100 * time.Millisecond
	// headerTimeout and idleTimeout bound a caller's connection.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// metricsPath is where metrics are shown on the peers' listener.
	metricsPath = "/metrics"
)

// Host is one entry host.
type Host struct {
	settings    setng.Fleet
	incarnation string
	log         *zerolog.Logger
	clock       func() time.Time
	store       *store.Client
	workers     Workers
	directory   Directory
	front       *front
	meter       *metrc.Fleet
	// sequence numbers the values of the leader's row.
	sequence atomic.Int64

	mu     sync.Mutex
	config rules.Config
	out    map[string]bool
	// follow is told of every change of the operators' orders.
	follow func()
}

// New returns a host that is not running yet.
func New(settings setng.Fleet, log *zerolog.Logger, meter *metrc.Fleet, clock func() time.Time, s *store.Client, workers Workers, directory Directory) *Host {
	return &Host{
		settings:    settings,
		incarnation: uuid.NewString(),
		log:         log,
		clock:       clock,
		store:       s,
		workers:     workers,
		directory:   directory,
		front:       newFront(s, clock, log, meter, gate.New(settings.Timing.KeyAge)),
		meter:       meter,
		out:         map[string]bool{},
	}
}

// Front answers callers.
func (h *Host) Front() Front {
	return h.front
}

// Run serves callers with one handler and the balancer with another until ctx
// ends, and then stops gracefully.
func (h *Host) Run(ctx context.Context, callers, ready http.Handler) error {
	servers := []*http.Server{h.server(callers), h.server(ready), h.server(http.HandlerFunc(h.metrics))}
	addresses := []string{
		h.settings.Listen.Callers.String(), h.settings.Listen.Ready.String(), h.settings.Listen.Peers.String(),
	}
	failed := make(chan error, len(servers))
	for i, s := range servers {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addresses[i])
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addresses[i])
		}
		go func() { failed <- s.Serve(listener) }()
	}
	logev.HostStarted.Log(h.log).Str("callers", addresses[0]).Str("incarnation", h.incarnation).Send()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	leading, stopLeading := context.WithCancel(work)
	led := make(chan struct{})
	go h.followOrders(work)
	go func() {
		defer close(led)
		h.lead(leading)
	}()
	select {
	case err := <-failed:
		stopLeading()
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	h.stop(servers, stopLeading, led)
	return nil
}

// metrics shows the host's counters and histograms.
func (h *Host) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != metricsPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	h.meter.Write(w)
}

func (h *Host) server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// stop turns the balancer away, hands the lead over, and ends when callers
// have their answers.
func (h *Host) stop(servers []*http.Server, stopLeading func(), led <-chan struct{}) {
	logev.HostStopping.Log(h.log).Send()
	h.front.stop()
	stopLeading()
	deadline := h.clock().Add(h.settings.Bounds.StopGrace - h.settings.Timing.StopMargin)
	time.Sleep(min(h.settings.Timing.DrainNotice, h.settings.Bounds.StopGrace/2))
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(h.clock()))
	defer cancel()
	cut := 0
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			cut++
		}
	}
	select {
	case <-led:
	case <-ctx.Done():
	}
	logev.HostStopped.Log(h.log).Int("listeners-cut", cut).Send()
}

// followOrders keeps the configuration and the domains out of service.
func (h *Host) followOrders(ctx context.Context) {
	after, reachable := int64(0), true
	for ctx.Err() == nil {
		sentAt := h.clock()
		wait := ordersWait
		if !reachable {
			// A call that may wait would find out late that the store is back.
			wait = 0
		}
		orders, err := h.directory.Orders(ctx, after, wait)
		if err != nil {
			if reachable {
				logev.TableLost.Log(h.log).Int64("config-version", h.config.Version).Err(err).Send()
			}
			reachable = false
			sleep(ctx, retryPause)
			continue
		}
		if !reachable {
			logev.TableBack.Log(h.log).Int64("store-version", orders.Version).Send()
		}
		reachable = true
		after = orders.Version
		h.apply(orders, sentAt)
	}
}

// apply takes in what operators changed, as answered to a call sent at a time.
func (h *Host) apply(orders Orders, sentAt time.Time) {
	changed := len(orders.Out) > 0 || len(orders.Back) > 0
	h.mu.Lock()
	if orders.Whole {
		h.out = map[string]bool{}
		changed = true
	}
	for _, d := range orders.Out {
		h.out[d] = true
		logev.DomainInForce.Log(h.log).Str("domain", d).Bool("in-service", false).Int64("store-version", orders.Version).Send()
	}
	for _, d := range orders.Back {
		delete(h.out, d)
		logev.DomainInForce.Log(h.log).Str("domain", d).Bool("in-service", true).Int64("store-version", orders.Version).Send()
	}
	if orders.Config != nil && orders.Config.Version > h.config.Version {
		h.config = *orders.Config
		changed = true
	}
	config, follow := h.config, h.follow
	h.mu.Unlock()
	h.front.mu.Lock()
	if config.Version > 0 && h.front.gate.Set(config) {
		logev.ConfigInForce.Log(h.log).Int64("config-version", config.Version).Int64("store-version", orders.Version).Send()
	}
	h.front.gate.Confirm(sentAt)
	h.front.mu.Unlock()
	if changed && follow != nil {
		follow()
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

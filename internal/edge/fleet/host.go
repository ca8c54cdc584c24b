// Package fleet runs an entry host on a platform that keeps all state in one
// store. Each host answers callers and follows the operators' changes. One host at
// a time is the leader, which holds the leader row and plans for all workers.
package fleet

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/gate"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/edge/relay"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

const (
	// operatorFeedWait is how long the store may wait for a change before it
	// answers. An answer confirms the configuration as of when its call was sent,
	// so the confirmed configuration is at most twice this old, and older by the time
	// that a large answer takes to arrive.
	operatorFeedWait = 1200 * time.Millisecond
	// maxConfirmedAge is the age of a confirmation from which the next one is asked for
	// without a wait.
	maxConfirmedAge = operatorFeedWait + 300*time.Millisecond
	// retryPause is the pause before a failed call to the store is repeated.
	retryPause = 100 * time.Millisecond
	// headerTimeout, bodyTimeout and idleTimeout limit the connections of all listeners.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// metricsPath is the path of the metrics on the peers' listener.
	metricsPath = "/metrics"
)

// Host is one entry host.
type Host struct {
	settings    setng.Fleet
	incarnation string
	log         *zerolog.Logger
	clock       func() time.Time
	// store is this host's own client of the platform's store. Whatever only the
	// leader does goes through it.
	store     *store.Client
	workers   Workers
	directory Directory
	frontend  *frontend
	registry  *registry
	relay     http.Handler
	// witness is what this host does for a leader, and witnessLinks its own links to the
	// witnesses of one, on which no store's answer delays a call.
	witness      *witness
	witnessLinks *relay.Links
	intake       *intake
	meter        *metrc.Fleet
	// sequence makes each value of the leader row unique.
	sequence atomic.Int64

	mu     sync.Mutex
	config rules.Config
	// configUnreadable is set while the operators' configuration cannot be read.
	configUnreadable bool
	outOfService     map[string]bool
	// notifyPlanner is called after each change by operators. It is nil unless this
	// host is the leader.
	notifyPlanner func()
}

// Stores are the two ways in which a host uses the platform's store.
type Stores struct {
	// Direct uses this host's own connections only.
	Direct *store.Client
	// Relayed uses a peer's when those fail. Callers' calls go through it.
	Relayed *store.Client
	// Links is told the addresses of the peers.
	Links *relay.Links
}

// NewStores returns the ways to use the store whose own connections are direct.
func NewStores(direct store.Store, log *zerolog.Logger, meter *metrc.Store) Stores {
	links := relay.NewLinks()
	return Stores{
		Direct:  store.NewClient(direct, meter),
		Relayed: store.NewClient(relay.NewStore(direct, links, log), meter),
		Links:   links,
	}
}

// New returns a host. Run starts it.
func New(settings setng.Fleet, log *zerolog.Logger, meter *metrc.Fleet, clock func() time.Time, s Stores, workers Workers, directory Directory) *Host {
	incarnation := uuid.NewString()
	self := &witness{host: settings.Host.ID, incarnation: incarnation}
	h := &Host{
		settings:     settings,
		incarnation:  incarnation,
		log:          log,
		clock:        clock,
		store:        s.Direct,
		workers:      workers,
		directory:    directory,
		frontend:     newFrontend(s.Relayed, clock, log, meter, gate.New(settings.Timing.KeyAge), settings.Limits.BodyBytes),
		relay:        relay.Handler(relay.NewServer(s.Direct, []string{tableJobs}, self, log)),
		witness:      self,
		witnessLinks: relay.NewLinks(),
		meter:        meter,
		outOfService: map[string]bool{},
	}
	if settings.Scheduling.RefuseLate {
		h.frontend.admission = newAdmission(s, settings.Host.ID, clock, log, meter)
	}
	h.registry = &registry{host: h, links: s.Links}
	h.frontend.tombstones = newTombstones(s.Relayed, clock, log, meter, settings.Bounds.KeepEnded, h.registry.count)
	h.intake = newIntake(h)
	return h
}

// Frontend returns the frontend that answers callers.
func (h *Host) Frontend() Frontend {
	return h.frontend
}

// Run serves callers, the load balancer's readiness checks and metrics until ctx
// ends, and then stops gracefully.
func (h *Host) Run(ctx context.Context, callers, ready http.Handler) error {
	listen := h.settings.Listen
	servers := []server{
		newServer(listen.Callers.String(), callers, h.intake.callers),
		newServer(listen.Ready.String(), ready, h.intake.ready),
		newServer(listen.Peers.String(), http.HandlerFunc(h.servePeers), h.intake.peers),
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		listener, err := s.listen(ctx)
		if err != nil {
			closeServers(servers)
			return err
		}
		go func() { failed <- s.Serve(listener) }()
	}
	logev.HostStarted.Log(h.log).Stringer("callers", listen.Callers).Str("incarnation", h.incarnation).Send()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	electionCtx, stopElection := context.WithCancel(workCtx)
	electionDone := make(chan struct{})
	go h.followOperatorChanges(workCtx)
	go h.registry.run(workCtx)
	go func() {
		defer close(electionDone)
		h.runElection(electionCtx)
	}()
	select {
	case err := <-failed:
		stopElection()
		closeServers(servers)
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	h.stop(servers, stopElection, electionDone)
	return nil
}

// closeServers closes the servers with their listeners at once.
func closeServers(servers []server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// servePeers serves links of peers and the host's metrics.
func (h *Host) servePeers(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case metricsPath:
		h.meter.Write(w)
	case relay.Path:
		h.relay.ServeHTTP(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// stop reports the host as not ready, gives the leadership up, and returns when
// the calls in progress have been answered or the stop grace is over. The
// listeners close only after DrainNotice, so that the load balancer notices first.
func (h *Host) stop(servers []server, stopElection func(), electionDone <-chan struct{}) {
	logev.HostStopping.Log(h.log).Send()
	h.frontend.stop()
	stopElection()
	deadline := h.clock().Add(h.settings.Bounds.StopGrace - h.settings.Timing.StopMargin)
	time.Sleep(min(h.settings.Timing.DrainNotice, h.settings.Bounds.StopGrace/2))
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(h.clock()))
	defer cancel()
	interrupted := 0
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			interrupted++
		}
	}
	select {
	case <-electionDone:
	case <-ctx.Done():
	}
	logev.HostStopped.Log(h.log).Int("listeners-cut", interrupted).Send()
}

// followOperatorChanges keeps the configuration and the list of domains that are
// out of service up to date until ctx ends.
func (h *Host) followOperatorChanges(ctx context.Context) {
	after, reachable := int64(0), true
	var confirmedAt time.Time
	for ctx.Err() == nil {
		sentAt := h.clock()
		wait := operatorFeedWait
		if !reachable || sentAt.Sub(confirmedAt) > maxConfirmedAge {
			// Without a wait the host notices soon that the store is back, and that
			// an answer that took long to arrive is still in force.
			wait = 0
		}
		changes, err := h.directory.OperatorChanges(ctx, after, wait)
		if err != nil {
			if reachable {
				logev.TableLost.Log(h.log).Int64("config-version", h.config.Version).Err(err).Send()
			}
			reachable = false
			sleep(ctx, retryPause)
			continue
		}
		if !reachable {
			logev.TableBack.Log(h.log).Int64("store-version", changes.Version).Send()
		}
		reachable = true
		after, confirmedAt = changes.Version, sentAt
		h.apply(changes, sentAt)
	}
}

// apply puts the operators' changes in force. sentAt is when the call that returned
// them was sent. A configuration that cannot be read leaves the earlier one in force,
// but not confirmed, since its keys may be revoked.
func (h *Host) apply(changes OperatorChanges, sentAt time.Time) {
	changed := len(changes.OutOfService) > 0 || len(changes.InService) > 0
	h.mu.Lock()
	if changes.Complete {
		h.outOfService = map[string]bool{}
		changed = true
	}
	for _, d := range changes.OutOfService {
		h.outOfService[d] = true
		logev.DomainInForce.Log(h.log).Str("domain", d).Bool("in-service", false).Int64("store-version", changes.Version).Send()
	}
	for _, d := range changes.InService {
		delete(h.outOfService, d)
		logev.DomainInForce.Log(h.log).Str("domain", d).Bool("in-service", true).Int64("store-version", changes.Version).Send()
	}
	changed = h.setConfig(changes) || changed
	config, confirmed, notify := h.config, !h.configUnreadable, h.notifyPlanner
	h.mu.Unlock()
	h.frontend.mu.Lock()
	if config.Version > 0 && h.frontend.gate.Set(config) {
		logev.ConfigInForce.Log(h.log).Int64("config-version", config.Version).Int64("store-version", changes.Version).Send()
	}
	if confirmed {
		h.frontend.gate.Confirm(sentAt)
	}
	h.frontend.mu.Unlock()
	if changed && notify != nil {
		notify()
	}
}

// setConfig takes over a configuration that has changed, and reports whether it is
// newer than the one in force. The caller holds h.mu.
func (h *Host) setConfig(changes OperatorChanges) bool {
	switch {
	case changes.ConfigErr != nil:
		h.configUnreadable = true
		logev.RowSkipped.Log(h.log).Str("row", "configuration").Int64("config-version", h.config.Version).
			Int64("store-version", changes.Version).Err(changes.ConfigErr).Send()
		return false
	case changes.Config == nil:
		return false
	}
	h.configUnreadable = false
	if changes.Config.Version <= h.config.Version {
		return false
	}
	h.config = *changes.Config
	for _, problem := range h.config.Problems {
		logev.ConfigValueIgnored.Log(h.log).Int64("config-version", h.config.Version).Str("problem", problem).Send()
	}
	return true
}

// sleep waits for the pause or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

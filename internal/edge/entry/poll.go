package entry

import (
	"context"
	"maps"
	"net/netip"
	"strings"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/confg"
	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// pollRows reads the shared rows at every interval, and at once when a peer
// announces a change. After each read it acquires free shards that this host
// should own.
func (h *Host) pollRows(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.Poll)
	defer ticker.Stop()
	shared := newSharedRows(h.store, h.log)
	up := true
	for ctx.Err() == nil {
		err := h.readShared(ctx, shared)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != up {
			up = err == nil
			h.logStoreState(up, err)
		}
		h.checkFreshness()
		h.acquireShards(ctx)
		h.wakeShards()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-h.pollNow:
		}
	}
}

func (h *Host) logStoreState(up bool, err error) {
	if up {
		logev.TableBack.Log(h.log).Send()
		return
	}
	logev.TableLost.Log(h.log).Err(err).Send()
}

// triggerPoll makes pollRows read the rows at once.
func (h *Host) triggerPoll() {
	select {
	case h.pollNow <- struct{}{}:
	default:
	}
}

// readShared reads the shared rows that have changed and applies them to the
// view, the router and the schedulers of owned shards.
func (h *Host) readShared(ctx context.Context, shared *sharedRows) error {
	start := time.Now()
	changed, full, err := h.follow(ctx, shared.follower)
	if err != nil {
		return err
	}
	if full {
		shared.reset()
	}
	domainsChanged, configChanged := false, false
	for _, row := range changed.Rows {
		name := row.Key.Name
		switch {
		case name == rows.ConfigCurrent:
			if value, ok := decodeOrLog[schema.ConfigVersion](h.log, row); ok {
				configChanged = h.view.updateConfig(value, row.Version)
			}
		case strings.HasPrefix(name, rows.DomainPrefix):
			if value, ok := decodeOrLog[schema.DomainStatus](h.log, row); ok {
				domainsChanged = h.updateDomain(sched.Domain{Status: value, Version: row.Version}) || domainsChanged
			}
		default:
			shared.apply(row)
		}
	}
	h.view.setRows(maps.Clone(shared.hosts), maps.Clone(shared.leases), maps.Clone(shared.drains))
	h.publishChanges(configChanged, domainsChanged)
	h.view.setReadAt(start)
	h.linkPeers(ctx)
	return nil
}

// updateDomain applies the service state of a failure domain to the view, and
// reports and logs whether it is newer than the known one.
func (h *Host) updateDomain(d sched.Domain) bool {
	if !h.view.updateDomain(d) {
		return false
	}
	logev.DomainInForce.Log(h.log).Str("failure-domain", d.Status.ID).
		Bool("in-service", d.Status.InService).Int64("epoch", d.Status.Epoch).Send()
	return true
}

// publishChanges sends the state in the view to the router and to the schedulers
// of owned shards.
func (h *Host) publishChanges(configChanged, domainsChanged bool) {
	// Reading the view and sending the state must not interleave with another
	// call, or an older state could be sent after a newer one.
	h.publishMu.Lock()
	defer h.publishMu.Unlock()
	config, rowVersion := h.view.currentConfig()
	if configChanged {
		logev.ConfigInForce.Log(h.log).Int64("config-version", config.Version).Str("by", config.By).Send()
	}
	if configChanged || domainsChanged {
		h.router.Send(route.DomainsMsg{OutOfService: h.view.outOfServiceDomains(), ConfigVersion: config.Version})
	}
	for _, o := range h.ownedShards() {
		o.scheduler.Send(sched.DomainsMsg{Domains: h.view.storedDomains()})
		o.scheduler.Send(sched.ConfigMsg{Config: config, Version: rowVersion})
		o.scheduler.Send(sched.WorkersMsg{Workers: h.view.shardWorkers(o.shard)})
	}
}

// linkPeers connects to all live hosts and tells the router how many there are.
func (h *Host) linkPeers(ctx context.Context) {
	live := h.view.livePeers(time.Now(), h.settings.Host.ID, h.settings.Timing.ClockBound)
	wanted := map[string]netip.AddrPort{}
	for _, r := range live {
		wanted[r.ID] = r.Peer
	}
	h.peers.SetPeers(ctx, wanted)
	h.router.Send(route.HostsMsg{Live: len(live) + 1})
}

// checkFreshness determines until when the configuration known here is certain
// to be in force, and tells the router. After that time this host must not make
// decisions.
func (h *Host) checkFreshness() {
	now := time.Now()
	timing := h.settings.Timing
	policy := confg.FreshnessPolicy{StaleAfter: timing.StaleAfter, OutageAfter: timing.OutageAfter}
	readAt := h.view.lastRead()
	// Whether a session is live is decided as of the time it was read: one that
	// has expired since may have been renewed without this host's knowledge.
	live := len(h.view.livePeers(readAt, h.settings.Host.ID, timing.ClockBound)) + 1
	until, reason := policy.FreshUntil(now, readAt, live, h.view.peerReports())
	if h.view.configVersion() == 0 {
		until, reason = time.Time{}, "there is no configuration yet"
	}
	fresh := now.Before(until)
	if h.view.setFresh(fresh) {
		h.logFreshness(fresh, reason)
	}
	h.router.Send(route.FreshnessMsg{FreshUntil: until, ClaimsAvailable: h.store.Health() != store.Down})
}

func (h *Host) logFreshness(fresh bool, reason string) {
	if fresh {
		logev.ConfigCurrent.Log(h.log).Send()
		return
	}
	logev.ConfigStale.Log(h.log).Str("reason", reason).Send()
}

// pollHosts reads the platform's list of workers and targets at every interval.
func (h *Host) pollHosts(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.HostListPoll)
	defer ticker.Stop()
	for {
		if list, err := h.hosts.List(ctx); err == nil {
			h.view.setHostList(list.Hosts)
			h.intake.setHosts(len(h.view.workers()), len(h.view.targets()))
			h.router.Send(route.TargetsMsg{Targets: h.view.targets()})
			for _, o := range h.ownedShards() {
				o.scheduler.Send(sched.WorkersMsg{Workers: h.view.shardWorkers(o.shard)})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// broadcastPeriodically sends this host's state to all peers at every interval.
func (h *Host) broadcastPeriodically(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.broadcast(schema.PeerMessage{})
			h.checkFreshness()
		}
	}
}

// broadcast adds this host's state to the message and sends it to all peers. A
// peer that has an older configuration is sent the current one.
func (h *Host) broadcast(msg schema.PeerMessage) {
	config, _ := h.view.currentConfig()
	msg.Sender = h.settings.Host.ID
	msg.Incarnation = h.incarnation
	msg.SentAt = time.Now()
	msg.TableSeenAt = h.view.lastRead()
	msg.ConfigVersion = config.Version
	for _, d := range h.view.domainList() {
		msg.Domains = append(msg.Domains, d.Status)
	}
	for _, id := range h.peers.Peers() {
		peerMsg := msg
		if h.view.peer(id).configVersion < config.Version {
			peerMsg.Config = config
		}
		h.peers.Send(id, peerMsg)
	}
}

// receivePeerMessage handles a message from a peer. Its configuration and failure
// domains are published before the message counts as evidence that this host's
// configuration is in force.
func (h *Host) receivePeerMessage(msg schema.PeerMessage) {
	configChanged := msg.Config.Version > 0 && h.view.updateConfig(msg.Config, 0)
	domainsChanged := false
	for _, d := range msg.Domains {
		domainsChanged = h.updateDomain(sched.Domain{Status: d}) || domainsChanged
	}
	if configChanged || domainsChanged {
		h.publishChanges(configChanged, domainsChanged)
	}
	if msg.ConfigVersion <= h.view.configVersion() {
		h.view.setPeerState(msg.Sender, peerState{
			PeerReport:    confg.PeerReport{AsOf: msg.SentAt, TableSeenAt: msg.TableSeenAt},
			incarnation:   msg.Incarnation,
			configVersion: msg.ConfigVersion,
		})
	}
	if configChanged || domainsChanged || msg.ShardChanged != "" || msg.ShardsReleased {
		h.triggerPoll()
	}
}

func (h *Host) logPeerLink(peer string, up bool) {
	if up {
		logev.PeerConnected.Log(h.log).Str("peer", peer).Send()
		return
	}
	logev.PeerLost.Log(h.log).Str("peer", peer).Send()
}

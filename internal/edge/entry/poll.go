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
// tells of a change.
func (h *Host) pollRows(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.Poll)
	defer ticker.Stop()
	shared := newShared(h.store, h.log)
	up := true
	for ctx.Err() == nil {
		err := h.readShared(ctx, shared)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != up {
			up = err == nil
			h.logTable(up, err)
		}
		h.judgeStanding()
		h.takeShards(ctx)
		h.wakeOwners()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-h.pollNow:
		}
	}
}

func (h *Host) logTable(up bool, err error) {
	if up {
		logev.TableBack.Log(h.log).Send()
		return
	}
	logev.TableLost.Log(h.log).Err(err).Send()
}

func (h *Host) nudgePoll() {
	select {
	case h.pollNow <- struct{}{}:
	default:
	}
}

// readShared takes in what has changed of the shared rows.
func (h *Host) readShared(ctx context.Context, shared *shared) error {
	begin := time.Now()
	changed, whole, err := h.follow(ctx, shared.follower)
	if err != nil {
		return err
	}
	if whole {
		shared.clear()
	}
	domainsChanged, configChanged := false, false
	for _, row := range changed.Rows {
		name := row.Key.Name
		switch {
		case name == rows.ConfigCurrent:
			if value, ok := decodeLogged[schema.ConfigVersion](h.log, row); ok {
				configChanged = h.view.learnConfig(value, row.Version)
			}
		case strings.HasPrefix(name, rows.DomainPrefix):
			if value, ok := decodeLogged[schema.DomainStatus](h.log, row); ok {
				domainsChanged = h.learnDomain(sched.Domain{Status: value, Version: row.Version}) || domainsChanged
			}
		default:
			shared.learn(row)
		}
	}
	h.view.setRows(maps.Clone(shared.hosts), maps.Clone(shared.leases), maps.Clone(shared.drains))
	h.shareChanges(configChanged, domainsChanged)
	h.view.setReadAt(begin)
	h.linkPeers(ctx)
	return nil
}

func (h *Host) learnDomain(d sched.Domain) bool {
	if !h.view.learnDomain(d) {
		return false
	}
	logev.DomainInForce.Log(h.log).Str("failure-domain", d.Status.ID).
		Bool("in-service", d.Status.InService).Int64("epoch", d.Status.Epoch).Send()
	return true
}

// shareChanges hands what was learnt to the cores.
func (h *Host) shareChanges(configChanged, domainsChanged bool) {
	// What is read of the view must reach the cores in the order in which it
	// was read, or an older state would follow a newer one.
	h.sharing.Lock()
	defer h.sharing.Unlock()
	config, row := h.view.currentConfig()
	if configChanged {
		logev.ConfigInForce.Log(h.log).Int64("config-version", config.Version).Str("by", config.By).Send()
	}
	if configChanged || domainsChanged {
		h.router.Send(route.DomainsMsg{Out: h.view.outDomains(), ConfigVersion: config.Version})
	}
	for _, o := range h.owners() {
		o.runner.Send(sched.DomainsMsg{Domains: h.view.tableDomains()})
		o.runner.Send(sched.ConfigMsg{Config: config, Version: row})
		o.runner.Send(sched.WorkersMsg{Workers: h.view.shardWorkers(o.shard)})
	}
}

// linkPeers keeps links to all live hosts and tells the router their number.
func (h *Host) linkPeers(ctx context.Context) {
	live := h.view.live(time.Now(), h.settings.Host.ID, h.settings.Timing.ClockBound)
	wanted := map[string]netip.AddrPort{}
	for _, r := range live {
		wanted[r.ID] = r.Peer
	}
	h.peers.Set(ctx, wanted)
	h.router.Send(route.HostsMsg{Live: len(live) + 1})
}

// judgeStanding decides whether this host may take decisions.
func (h *Host) judgeStanding() {
	now := time.Now()
	timing := h.settings.Timing
	rule := confg.Standing{StaleAfter: timing.StaleAfter, OutageAfter: timing.OutageAfter}
	read := h.view.lastRead()
	// Sessions are judged as of the reading they come from: one that has
	// lapsed since may have been renewed without this host's knowledge.
	live := len(h.view.live(read, h.settings.Host.ID, timing.ClockBound)) + 1
	until, reason := rule.FreshUntil(now, read, live, h.view.peerWords())
	if h.view.configVersion() == 0 {
		until, reason = time.Time{}, "there is no configuration yet"
	}
	fresh := now.Before(until)
	if h.view.setFresh(fresh, reason) {
		h.logStanding(fresh, reason)
	}
	h.router.Send(route.StandingMsg{FreshUntil: until, Claims: h.store.Health() != store.Down})
}

func (h *Host) logStanding(fresh bool, reason string) {
	if fresh {
		logev.StandingBack.Log(h.log).Send()
		return
	}
	logev.StandingLost.Log(h.log).Str("reason", reason).Send()
}

// pollHosts reads the platform's list of workers and targets.
func (h *Host) pollHosts(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.HostListPoll)
	defer ticker.Stop()
	for {
		if list, err := h.hosts.List(ctx); err == nil {
			h.view.setListed(list.Hosts)
			h.router.Send(route.TargetsMsg{Targets: h.view.targets()})
			for _, o := range h.owners() {
				o.runner.Send(sched.WorkersMsg{Workers: h.view.shardWorkers(o.shard)})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tellPeers sends this host's state to every peer at each interval.
func (h *Host) tellPeers(ctx context.Context) {
	ticker := time.NewTicker(h.settings.Timing.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.broadcast(schema.PeerMessage{})
			h.judgeStanding()
		}
	}
}

// broadcast completes the message with this host's state and sends it to all
// peers. A peer that acts under an older configuration gets the newer one.
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
		copied := msg
		if h.view.peer(id).configVersion < config.Version {
			copied.Config = config
		}
		h.peers.Send(id, copied)
	}
}

// peerSaid takes a message from a peer. What it says of the shared state
// reaches the cores before its word counts for this host's standing.
func (h *Host) peerSaid(msg schema.PeerMessage) {
	configChanged := msg.Config.Version > 0 && h.view.learnConfig(msg.Config, 0)
	domainsChanged := false
	for _, d := range msg.Domains {
		domainsChanged = h.learnDomain(sched.Domain{Status: d}) || domainsChanged
	}
	if configChanged || domainsChanged {
		h.shareChanges(configChanged, domainsChanged)
	}
	if msg.ConfigVersion <= h.view.configVersion() {
		h.view.heardPeer(msg.Sender, peerState{
			PeerWord:      confg.PeerWord{HeardAt: msg.SentAt, TableSeenAt: msg.TableSeenAt},
			incarnation:   msg.Incarnation,
			configVersion: msg.ConfigVersion,
		})
	}
	if configChanged || domainsChanged || msg.ShardChanged != "" || msg.ShardsReleased {
		h.nudgePoll()
	}
}

func (h *Host) peerLink(peer string, up bool) {
	if up {
		logev.PeerConnected.Log(h.log).Str("peer", peer).Send()
		return
	}
	logev.PeerLost.Log(h.log).Str("peer", peer).Send()
}

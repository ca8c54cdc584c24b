package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/edge/relay"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// registryInterval is the mean time between two writes of this host's row, and
	// between two reads of all rows.
	registryInterval = 20 * time.Second
	// registryRetry is the pause after a failed call.
	registryRetry = 500 * time.Millisecond
	// hostRowMaxAge is the age from which a row names no peer any more, and
	// hostRowKeep the age from which any host removes it.
	hostRowMaxAge = 4 * registryInterval
	hostRowKeep   = 10 * registryInterval
	// registryTimeout bounds one round of calls.
	registryTimeout = 3 * time.Second
)

// registry keeps the rows from which hosts learn their peers' addresses.
type registry struct {
	host  *Host
	links *relay.Links

	mu    sync.Mutex
	peers []record.Host
}

// hosts returns the peers that have refreshed their rows lately.
func (r *registry) hosts() []record.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

// count returns how many hosts there are, this one included.
func (r *registry) count() int {
	return len(r.hosts()) + 1
}

// setHosts replaces the peers.
func (r *registry) setHosts(peers []record.Host) {
	addresses := make([]netip.AddrPort, len(peers))
	for i, p := range peers {
		addresses[i] = netip.MustParseAddrPort(p.Address)
	}
	r.links.SetPeers(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = peers
}

// run refreshes this host's row and the list of peers until ctx ends. Hosts that
// start together read again soon, since not all rows are there at first.
func (r *registry) run(ctx context.Context) {
	pause := registryInterval / 10
	for ctx.Err() == nil {
		if err := r.refresh(ctx); err != nil {
			logev.RegistryFailed.Log(r.host.log).Err(err).Send()
			sleep(ctx, registryRetry)
			continue
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = registryInterval
	}
}

func (r *registry) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	h := r.host
	rows, err := h.store.ReadParts(ctx, tableHosts, []string{partHosts})
	if err != nil {
		return err
	}
	now := h.store.Clock()
	value, err := encode(record.Host{
		ID: h.settings.Host.ID, Domain: h.settings.Host.Domain, Address: h.settings.Listen.Peers.String(), RefreshedAtMs: now.UnixMilli(),
	})
	if err != nil {
		return err
	}
	peers, outdated := sortHosts(rows.Rows, h.settings.Host.ID, now)
	r.setHosts(peers)
	_, err = h.store.Transact(ctx, store.Change{
		Put: []store.Row{{Key: hostKey(h.settings.Host.ID), Value: value}}, Remove: outdated,
	})
	return err
}

// maxHostsRemoved limits the rows of lost hosts that are removed at once.
const maxHostsRemoved = 50

// sortHosts returns the peers that have refreshed their rows lately, each with a valid
// address, and the keys of rows that are to be removed. A row that cannot be read
// names no peer.
func sortHosts(rows []store.Row, self string, now time.Time) (peers []record.Host, outdated []store.Key) {
	for _, row := range rows {
		var host record.Host
		if err := decode(row.Value, &host); err != nil || row.Key.Name == self {
			continue
		}
		age := now.Sub(time.UnixMilli(host.RefreshedAtMs))
		_, err := netip.ParseAddrPort(host.Address)
		switch {
		case age > hostRowKeep && len(outdated) < maxHostsRemoved:
			outdated = append(outdated, row.Key)
		case err == nil && age <= hostRowMaxAge:
			peers = append(peers, host)
		}
	}
	return peers, outdated
}

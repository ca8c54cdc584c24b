package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/confg"
	"github.com/rattanshore/rattanshore/internal/core/membr"
	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// view is this host's copy of the state that all hosts share.
type view struct {
	mu               sync.Mutex
	config           schema.ConfigVersion
	configRowVersion int64
	domains          map[string]sched.Domain
	hosts            map[string]hostRow
	leases           map[string]membr.Lease
	drains           map[string]bool
	hostList         []plat.Host
	peers            map[string]peerState
	fresh            bool
	polled           bool
	// readAt is when the latest read of the shared rows began whose result was
	// sent to the router and the schedulers. Other calls to the store do not
	// count, since they give no evidence about these rows.
	readAt time.Time
}

// peerState is what a peer last reported.
type peerState struct {
	confg.PeerReport
	incarnation   string
	configVersion int64
}

func newView() *view {
	return &view{
		domains: map[string]sched.Domain{},
		hosts:   map[string]hostRow{},
		leases:  map[string]membr.Lease{},
		drains:  map[string]bool{},
		peers:   map[string]peerState{},
	}
}

func (v *view) configVersion() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config.Version
}

func (v *view) setReadAt(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readAt = at
}

func (v *view) lastRead() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readAt
}

// currentConfig returns the newest known configuration and the version of its
// row, which is 0 if no row has been read.
func (v *view) currentConfig() (schema.ConfigVersion, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config, v.configRowVersion
}

// updateConfig stores a configuration if it is newer than the known one, and
// reports whether it is. Row version 0 means that a peer sent the configuration
// and it was not read from the store.
func (v *view) updateConfig(config schema.ConfigVersion, row int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configRowVersion = max(v.configRowVersion, row)
	if config.Version <= v.config.Version {
		return false
	}
	v.config = config
	return true
}

// updateDomain stores the service state of a failure domain if its epoch is newer
// than the known one, or the epoch is the same and the row version is newer. It
// reports whether the epoch is newer.
func (v *view) updateDomain(d sched.Domain) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.domains[d.Status.ID]
	newer := !known || d.Status.Epoch > old.Status.Epoch
	if newer || d.Status.Epoch == old.Status.Epoch && d.Version > old.Version {
		v.domains[d.Status.ID] = d
	}
	return newer
}

func (v *view) domain(id string) sched.Domain {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.domains[id]
}

func (v *view) domainList() []sched.Domain {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]sched.Domain, 0, len(v.domains))
	for _, d := range v.domains {
		list = append(list, d)
	}
	return list
}

// storedDomains returns the service states that were read from the store and not
// only received from peers.
func (v *view) storedDomains() []sched.Domain {
	return slices.DeleteFunc(v.domainList(), func(d sched.Domain) bool { return d.Version == 0 })
}

// outOfServiceDomains returns the failure domains that are out of service.
func (v *view) outOfServiceDomains() map[string]bool {
	out := map[string]bool{}
	for _, d := range v.domainList() {
		if !d.Status.InService {
			out[d.Status.ID] = true
		}
	}
	return out
}

// workers returns the workers in the platform's list; draining ones are leaving.
func (v *view) workers() []sched.Worker {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []sched.Worker
	for _, p := range v.hostList {
		if p.Kind != plat.Worker {
			continue
		}
		list = append(list, sched.Worker{
			ID: p.ID, Domain: p.Domain, Rack: p.Rack, Accelerators: p.Accelerators,
			Address: p.Address, Leaving: p.Leaving || v.drains[p.ID],
		})
	}
	return list
}

// shardWorkers returns the workers in the failure domains of the shard.
func (v *view) shardWorkers(shard string) []sched.Worker {
	in := map[string]bool{}
	config, _ := v.currentConfig()
	for _, s := range config.Document.Shards {
		if s.Name != shard {
			continue
		}
		for _, d := range s.Domains {
			in[d] = true
		}
	}
	return slices.DeleteFunc(v.workers(), func(w sched.Worker) bool { return !in[w.Domain] })
}

func (v *view) targets() []route.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []route.Target
	for _, p := range v.hostList {
		if p.Kind == plat.Target {
			list = append(list, route.Target{ID: p.ID, Domain: p.Domain, Address: p.Address, Slots: p.Slots, Leaving: p.Leaving})
		}
	}
	return list
}

func (v *view) setHostList(hosts []plat.Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hostList = hosts
}

func (v *view) setRows(hosts map[string]hostRow, leases map[string]membr.Lease, drains map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hosts = hosts
	v.leases = leases
	v.drains = drains
	v.polled = true
}

func (v *view) hostRows() []hostRow {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]hostRow, 0, len(v.hosts))
	for _, r := range v.hosts {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b hostRow) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

func (v *view) members() []membr.Host {
	var list []membr.Host
	for _, r := range v.hostRows() {
		list = append(list, membr.Host{ID: r.ID, ExpiresAt: r.ExpiresAt, Stopping: r.Stopping})
	}
	return list
}

// lease returns the lease of a shard; the shard is free if it has no row.
func (v *view) lease(shard string) membr.Lease {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.leases[shard]
	l.Shard = shard
	return l
}

// livePeers returns the other hosts whose sessions have not expired at now.
func (v *view) livePeers(now time.Time, self string, bound time.Duration) []hostRow {
	var list []hostRow
	for _, r := range v.hostRows() {
		if r.ID != self && membr.Live(now, membr.Host{ExpiresAt: r.ExpiresAt}, bound) {
			list = append(list, r)
		}
	}
	return list
}

func (v *view) setPeerState(id string, s peerState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers[id] = s
}

func (v *view) peer(id string) peerState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peers[id]
}

func (v *view) peerReports() []confg.PeerReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	reports := make([]confg.PeerReport, 0, len(v.peers))
	for _, p := range v.peers {
		reports = append(reports, p.PeerReport)
	}
	return reports
}

// setFresh records whether the host may make decisions, and reports whether that
// changed.
func (v *view) setFresh(fresh bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.fresh != fresh
	v.fresh = fresh
	return changed
}

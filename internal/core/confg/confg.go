// Package confg validates configuration documents and jobs against the workers,
// and determines until when a host may make decisions under the configuration it
// has. It performs no I/O.
package confg

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Errors that Check returns.
var (
	// ErrInvalidDocument means that a document contradicts itself.
	ErrInvalidDocument = errors.New("configuration document is not valid")
	// ErrUnformable means that the workers cannot provide the guarantees.
	ErrUnformable = errors.New("guarantees cannot be formed")
)

// Check returns an error if a document cannot be accepted with the given
// workers. The guarantees must be formable with all failure domains in service
// and, unless the document accepts otherwise, also with any one of them out of
// service.
func Check(document schema.ConfigDocument, workers []sched.Worker) error {
	if err := CheckNames(document); err != nil {
		return err
	}
	for _, s := range document.Shards {
		if err := checkShard(document, s, workers); err != nil {
			return err
		}
	}
	return nil
}

// CheckNames returns an error that wraps ErrInvalidDocument if a document
// contradicts itself.
func CheckNames(document schema.ConfigDocument) error {
	shards := map[string]bool{}
	domains := map[string]string{}
	for _, s := range document.Shards {
		if s.Name == "" || shards[s.Name] {
			return errors.Wrapf(ErrInvalidDocument, "shard name %q is empty or not unique", s.Name)
		}
		shards[s.Name] = true
		for _, d := range s.Domains {
			if other, taken := domains[d]; taken {
				return errors.Wrapf(ErrInvalidDocument, "failure domain %q is in shards %q and %q", d, other, s.Name)
			}
			domains[d] = s.Name
		}
	}
	if len(shards) == 0 {
		return errors.Wrap(ErrInvalidDocument, "document has no shards")
	}
	return checkTeams(document, shards)
}

func checkTeams(document schema.ConfigDocument, shards map[string]bool) error {
	teams := map[string]bool{}
	for _, t := range document.Teams {
		if t.Name == "" || teams[t.Name] {
			return errors.Wrapf(ErrInvalidDocument, "team name %q is empty or not unique", t.Name)
		}
		teams[t.Name] = true
		for _, b := range t.Guarantee {
			if !shards[b.Shard] {
				return errors.Wrapf(ErrInvalidDocument, "team %q has a guarantee in unknown shard %q", t.Name, b.Shard)
			}
			if b.Count < 1 || b.Tasks < 1 || b.Accelerators < 1 || b.Accelerators > block.MaxAccelerators {
				return errors.Wrapf(ErrInvalidDocument, "team %q has an invalid guarantee of %d blocks x %d tasks x %d accelerators",
					t.Name, b.Count, b.Tasks, b.Accelerators)
			}
		}
	}
	return nil
}

func checkShard(document schema.ConfigDocument, shard schema.ShardSpec, workers []sched.Worker) error {
	pool := ShardPool(shard, workers)
	var guarantees []quota.Guarantee
	for _, t := range document.Teams {
		guarantees = append(guarantees, sched.Guarantees(t, shard.Name)...)
	}
	ledger := quota.New(pool, guarantees)
	if unformed := ledger.Reserve(pool.Totals()); len(unformed) > 0 {
		return errors.Wrapf(ErrUnformable, "shard %q cannot reserve team %q's block of %d tasks of %d accelerators",
			shard.Name, unformed[0].Team, unformed[0].Block.Tasks, unformed[0].Block.Accelerators)
	}
	if document.AcceptUnformableAfterDomainLoss {
		return nil
	}
	if missing, domain, ok := ledger.ToleratesDomainLoss(pool.Totals()); !ok {
		return errors.Wrapf(ErrUnformable, "with failure domain %q out of service, shard %q cannot reserve team %q's block of %d tasks of %d accelerators",
			domain, shard.Name, missing.Team, missing.Block.Tasks, missing.Block.Accelerators)
	}
	return nil
}

// ShardPool returns the pool of the workers in the shard's failure domains.
func ShardPool(shard schema.ShardSpec, workers []sched.Worker) *block.Pool {
	in := map[string]bool{}
	for _, d := range shard.Domains {
		in[d] = true
	}
	var list []block.Worker
	for _, w := range workers {
		if in[w.Domain] {
			list = append(list, block.Worker{ID: w.ID, Domain: w.Domain, Rack: w.Rack, Total: block.Full(w.Accelerators)})
		}
	}
	return block.NewPool(list)
}

// CheckJob returns the names of the shards that could run the job if they were
// idle, or an error if there are none.
func CheckJob(document schema.ConfigDocument, spec schema.JobSpec, workers []sched.Worker) ([]string, error) {
	shape := block.Shape{Tasks: spec.Tasks, Accelerators: spec.Accelerators, Adjacent: spec.Adjacent}
	var names []string
	for _, s := range document.Shards {
		pool := ShardPool(s, workers)
		if (block.BestFit{}).Place(pool, pool.Totals(), shape) != nil {
			names = append(names, s.Name)
		}
	}
	if len(names) == 0 {
		return nil, errors.Newf("no shard can run %d tasks of %d accelerators%s", spec.Tasks, spec.Accelerators, rackSuffix(spec))
	}
	return names, nil
}

func rackSuffix(spec schema.JobSpec) string {
	if spec.Adjacent {
		return " in one rack"
	}
	return ""
}

// PeerReport is a peer's latest report on its contact with the store.
type PeerReport struct {
	// AsOf is when the peer sent its latest message, by the peer's clock.
	AsOf time.Time
	// TableSeenAt is when the peer last had a reply from the store, by the
	// peer's clock.
	TableSeenAt time.Time
}

// FreshnessPolicy determines until when a host may make decisions under the
// configuration it has.
type FreshnessPolicy struct {
	// StaleAfter is how long a host may make decisions after its last contact
	// with the store, directly or through a peer.
	StaleAfter time.Duration
	// OutageAfter is how long hosts that can all reach each other may make
	// decisions while none of them reaches the store.
	OutageAfter time.Duration
}

// FreshUntil returns the time until which the configuration of this host is
// certain to be in force, and the reason if that time has passed. There are
// two cases. If this host or a peer had contact with the store within StaleAfter,
// the time is StaleAfter after that contact. If this host receives messages from
// all live peers and none of them reaches the store, no host can have changed the
// configuration; the time is then StaleAfter/2 from now, until the outage has
// lasted for OutageAfter.
func (f FreshnessPolicy) FreshUntil(now, tableSeenAt time.Time, live int, peers []PeerReport) (time.Time, string) {
	if now.Sub(tableSeenAt) <= f.StaleAfter {
		return tableSeenAt.Add(f.StaleAfter), ""
	}
	reachable := 0
	newest := tableSeenAt
	for _, p := range peers {
		if now.Sub(p.AsOf) > f.StaleAfter {
			continue
		}
		reachable++
		if now.Sub(p.TableSeenAt) <= f.StaleAfter {
			return p.TableSeenAt.Add(f.StaleAfter), ""
		}
		if p.TableSeenAt.After(newest) {
			newest = p.TableSeenAt
		}
	}
	if reachable < live-1 {
		return newest.Add(f.StaleAfter), fmt.Sprintf("neither the store nor %d of %d live peers can be reached", live-1-reachable, live-1)
	}
	if now.Sub(newest) > f.OutageAfter {
		return newest.Add(f.StaleAfter), "no host has reached the store for too long"
	}
	return now.Add(f.StaleAfter / 2), ""
}

package entry

import (
	"strings"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/membr"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// sharedRows holds the hosts, leases and drains read from the shared rows. The
// configuration and failure domains are kept in the view alone, since peers send
// them too.
type sharedRows struct {
	log      *zerolog.Logger
	follower *store.Follower
	hosts    map[string]hostRow
	leases   map[string]membr.Lease
	drains   map[string]bool
}

func newSharedRows(s *store.Client, log *zerolog.Logger) *sharedRows {
	r := &sharedRows{log: log, follower: store.NewFollower(s, rows.Shared, 0)}
	r.reset()
	return r
}

// reset removes everything, before all rows are read again.
func (r *sharedRows) reset() {
	r.hosts = map[string]hostRow{}
	r.leases = map[string]membr.Lease{}
	r.drains = map[string]bool{}
}

// apply applies a row that has changed.
func (r *sharedRows) apply(row store.Row) {
	name := row.Key.Name
	switch {
	case strings.HasPrefix(name, rows.HostPrefix):
		if value, ok := decodeOrLog[hostRow](r.log, row); ok {
			r.hosts[value.ID] = value
		}
	case strings.HasPrefix(name, rows.ShardPrefix):
		if value, ok := decodeOrLog[shardRow](r.log, row); ok {
			r.leases[value.Shard] = value.lease(row.Version)
		}
	case strings.HasPrefix(name, rows.DrainPrefix):
		worker := strings.TrimPrefix(name, rows.DrainPrefix)
		if row.Deleted {
			delete(r.drains, worker)
			return
		}
		r.drains[worker] = true
	}
}

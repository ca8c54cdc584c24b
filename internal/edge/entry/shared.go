package entry

import (
	"strings"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/membr"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// shared is what the shared rows say, apart from the configuration and the
// failure domains, which peers tell as well.
type shared struct {
	log      *zerolog.Logger
	follower *store.Follower
	hosts    map[string]hostRow
	leases   map[string]membr.Lease
	drains   map[string]bool
}

func newShared(s *store.Client, log *zerolog.Logger) *shared {
	r := &shared{log: log, follower: store.NewFollower(s, rows.Shared, 0)}
	r.clear()
	return r
}

// clear forgets everything, since all rows are read anew.
func (r *shared) clear() {
	r.hosts = map[string]hostRow{}
	r.leases = map[string]membr.Lease{}
	r.drains = map[string]bool{}
}

// learn takes in a row that has changed.
func (r *shared) learn(row store.Row) {
	name := row.Key.Name
	switch {
	case strings.HasPrefix(name, rows.HostPrefix):
		if value, ok := decodeLogged[hostRow](r.log, row); ok {
			r.hosts[value.ID] = value
		}
	case strings.HasPrefix(name, rows.ShardPrefix):
		if value, ok := decodeLogged[shardRow](r.log, row); ok {
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

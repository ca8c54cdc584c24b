// Package membr decides which entry host should own each shard. The result is
// only a proposal: a conditional write of the shard's lease decides who owns it.
// The package performs no I/O and reads no clock.
package membr

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is the session of an entry host, as stored in its row.
type Host struct {
	ID        string
	ExpiresAt time.Time
	// Stopping hosts acquire no shards.
	Stopping bool
}

// Lease is the lease of a shard, as stored in its row. The zero value is the
// lease of a shard that was never owned.
type Lease struct {
	Shard string
	// Owner is the identifier of the owning host, empty after a release.
	Owner string
	// Incarnation identifies the run of the owning host; it changes with each
	// start.
	Incarnation string
	// Epoch increases with each change of owner.
	Epoch     int64
	ExpiresAt time.Time
	// Version is the version of the row, 0 when there is none.
	Version int64
}

// Live reports whether the host's session has not expired, allowing for the
// maximum difference between clocks.
func Live(now time.Time, h Host, clockBound time.Duration) bool {
	return now.Before(h.ExpiresAt.Add(clockBound))
}

// PreferredOwner returns the host that should own the shard: by rendezvous
// hashing, one of the live hosts that are not stopping, or the empty string if
// there is none.
func PreferredOwner(now time.Time, shard string, hosts []Host, clockBound time.Duration) string {
	best, score := "", uint64(0)
	for _, h := range hosts {
		if h.Stopping || !Live(now, h, clockBound) {
			continue
		}
		s := xxhash.Sum64String(shard + "\x00" + h.ID)
		if best == "" || s > score || s == score && h.ID < best {
			best, score = h.ID, s
		}
	}
	return best
}

// Free reports whether the lease may be acquired: it was released, or it expired
// more than the maximum difference between clocks ago.
func Free(now time.Time, l Lease, clockBound time.Duration) bool {
	return l.Owner == "" || now.After(l.ExpiresAt.Add(clockBound))
}

// LeasesToAcquire returns the leases that the host self should try to acquire
// now.
func LeasesToAcquire(now time.Time, self string, leases []Lease, hosts []Host, clockBound time.Duration) []Lease {
	var list []Lease
	for _, l := range leases {
		if Free(now, l, clockBound) && PreferredOwner(now, l.Shard, hosts, clockBound) == self {
			list = append(list, l)
		}
	}
	return list
}

package fleet

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// storeClockMargin covers by how much this host may take the store's clock for less
// than it is: the time of the call that read it, and the drift of both clocks until the
// last lease has ended.
const storeClockMargin = leaderCallTimeout + 300*time.Millisecond

// term is one host's time as leader.
type term struct {
	epoch int64
	// withholdingSince is the first epoch of the unbroken series of leaders up to this
	// one that obey what the roster says of withheld workers. trustedSince is the same
	// for the leader before, or 0 if that one did not obey it.
	withholdingSince, trustedSince int64
	// tenure is for how long this leader and earlier ones may act.
	tenure *tenure
	// previous is the row of the leader before, at its version, and withdrawn is set if one
	// of its witnesses had withdrawn before the takeover or none vouches for it.
	previous        record.Leader
	previousVersion int64
	withdrawn       bool
}

// nextTerm returns the term after that of the previous leader, which may be of a
// version that knows no withheld workers.
func nextTerm(previous record.Leader) term {
	t := term{epoch: previous.Epoch + 1, withholdingSince: previous.WithholdingSince, trustedSince: previous.WithholdingSince}
	if t.withholdingSince == 0 {
		t.withholdingSince = t.epoch
	}
	return t
}

// readRoster converts the times in stored entries to this host's clock, which is ahead
// of the store's by the given time, and drops withholdings that a later leader may not
// have obeyed.
func (t term) readRoster(entries []record.RosterEntry, ahead time.Duration) []record.RosterEntry {
	read := slices.Clone(entries)
	for i, e := range read {
		if t.trustedSince == 0 || e.WithheldBy < t.trustedSince || e.WithheldBy >= t.epoch {
			read[i].WithheldBy, read[i].OverAtMs = 0, 0
			continue
		}
		read[i].OverAtMs += ahead.Milliseconds()
	}
	return read
}

// storedRosters converts the times in rosters from this host's clock to the store's.
func storedRosters(rosters []record.Roster, ahead time.Duration) []record.Roster {
	stored := make([]record.Roster, len(rosters))
	for i, r := range rosters {
		stored[i] = record.Roster{Part: r.Part, Workers: slices.Clone(r.Workers)}
		for k, e := range r.Workers {
			if e.WithheldBy != 0 {
				stored[i].Workers[k].OverAtMs = e.OverAtMs - ahead.Milliseconds() + storeClockMargin.Milliseconds()
			}
		}
	}
	return stored
}

// aheadOfStore returns how far this host's clock is ahead of the store's.
func (h *Host) aheadOfStore() time.Duration {
	return h.clock().Sub(h.store.Clock())
}

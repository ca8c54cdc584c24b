// Package vouch decides for how long a leader may act, and from when on its successor may
// take for certain that it acts no more. It performs no I/O and reads no clock.
//
// A leader acts for Term after it has made the row that the store has last taken from it.
// While the store is away it may go on for as long as all witnesses that this row names
// vouch for it. A host that takes the row over first has one of these witnesses
// withdraw, which then vouches for no leader of that version of the row. So the earlier
// leader is confirmed neither by the store nor by all its witnesses any more, and whoever takes over
// knows when the last confirmation ends, however long the two cannot reach each other.
//
// Runtimes of hosts call it: the leader's side is Holder, the witnesses' side is Peer, and
// ActsUntil is for the successor.
package vouch

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// Term is how long a leader may act after a confirmation, by its own clock.
	Term = 1900 * time.Millisecond
	// Margin is what a successor allows for Term, by its clock. The difference covers how
	// far two clocks drift apart meanwhile.
	Margin = 2 * time.Second
	// MaxAlone is how long a leader may act without the store, whoever vouches for it. A
	// successor that reaches no witness waits for as long.
	MaxAlone = time.Minute
	// Witnesses is how many witnesses a leader has if there are enough hosts, and maxAsked
	// how many hosts it asks at most to find them.
	Witnesses = 3
	maxAsked  = 8
)

// Holder is what a leader knows of its confirmations.
type Holder struct {
	// madeAt is when the newest row was made that the store is known to have taken.
	madeAt  time.Time
	version int64
	// stored holds the witnesses that this row names, and pending those of a row that may
	// be stored as well while sending is set.
	stored, pending []record.Witness
	sending         bool
	// vouched holds when the newest call was sent to which a witness has agreed.
	vouched map[record.Witness]time.Time
}

// Sending records that a row is about to be sent that names the witnesses. It may be
// stored from then on.
func (h *Holder) Sending(witnesses []record.Witness) {
	h.pending, h.sending = witnesses, true
}

// Stored records that the store has taken a row that names the witnesses and was made at
// the given time. How late that becomes known does not matter.
func (h *Holder) Stored(madeAt time.Time, version int64, witnesses []record.Witness) {
	h.madeAt, h.version = madeAt, version
	h.stored, h.pending, h.sending = witnesses, nil, false
	// Calls to other witnesses count no longer.
	maps.DeleteFunc(h.vouched, func(w record.Witness, _ time.Time) bool { return !slices.Contains(witnesses, w) })
}

// Vouched records that a witness has agreed to a call that was sent at the given time.
func (h *Holder) Vouched(w record.Witness, askedAt time.Time) {
	if h.vouched == nil {
		h.vouched = map[record.Witness]time.Time{}
	}
	if askedAt.After(h.vouched[w]) {
		h.vouched[w] = askedAt
	}
}

// Version is the version of the newest row that is known to be stored. Witnesses are asked
// to vouch for the leader as of that row.
func (h *Holder) Version() int64 {
	return h.version
}

// Witnesses returns all witnesses that have to vouch for the leader.
func (h *Holder) Witnesses() []record.Witness {
	all := slices.Clone(h.stored)
	for _, w := range h.pending {
		if !slices.Contains(all, w) {
			all = append(all, w)
		}
	}
	return all
}

// StoredAt is when the newest row was made that is known to be stored.
func (h *Holder) StoredAt() time.Time {
	return h.madeAt
}

// Until returns until when the leader may act: start tasks and renew leases.
func (h *Holder) Until() time.Time {
	byStore := h.madeAt.Add(Term)
	byWitnesses := h.vouchedUntil(h.stored)
	if h.sending {
		byWitnesses = earlier(byWitnesses, h.vouchedUntil(h.pending))
	}
	byWitnesses = earlier(byWitnesses, h.madeAt.Add(MaxAlone))
	if byWitnesses.After(byStore) {
		return byWitnesses
	}
	return byStore
}

// vouchedUntil returns until when all of the witnesses vouch. Without any nobody does.
func (h *Holder) vouchedUntil(witnesses []record.Witness) time.Time {
	var until time.Time
	for i, w := range witnesses {
		if at := h.vouched[w].Add(Term); i == 0 || at.Before(until) {
			until = at
		}
	}
	return until
}

// Peer is what a host knows as a witness of other hosts. It is lost with the process, and
// so are the rows' references to that one.
type Peer struct {
	withdrawn int64
}

// Vouch reports whether the host vouches for the leader that has stored the given version
// of the row.
func (p *Peer) Vouch(version int64) bool {
	return version > p.withdrawn
}

// Withdraw makes the host vouch no more for leaders that have stored no version of the row
// above the given one, which a host is about to take over from.
func (p *Peer) Withdraw(version int64) {
	p.withdrawn = max(p.withdrawn, version)
}

// Withdrawn reports whether the answer of a process shows that the witness does not vouch
// any more: the process is the witness and has withdrawn, or it came after it.
func Withdrawn(w record.Witness, host, incarnation string, withdrew bool) bool {
	return host == w.Host && (withdrew || incarnation != w.Incarnation)
}

// ActsUntil returns until when the earlier leader may act. now is after its row was read,
// and after one of its witnesses has withdrawn if withdrawn is set. A leader of a version
// that does not bound itself is allowed as much as one that no witness has left.
func ActsUntil(now time.Time, earlierLeader record.Leader, withdrawn bool) time.Time {
	if earlierLeader.Bounded && (withdrawn || len(earlierLeader.Witnesses) == 0) {
		return now.Add(Margin)
	}
	return now.Add(MaxAlone + Margin)
}

// Choose returns the hosts in the order in which a leader in the given failure domain asks
// them to be its witnesses: present witnesses first, and then one of each failure domain
// in turn, its own at the end. A successor that is cut off from some domains then
// reaches the witness of another.
func Choose(hosts []record.Host, domain string, present []record.Witness) []record.Host {
	isPresent := func(h record.Host) bool {
		return slices.ContainsFunc(present, func(w record.Witness) bool { return w.Host == h.ID && w.Address == h.Address })
	}
	var chosen []record.Host
	taken := map[string]int{}
	for _, h := range hosts {
		if isPresent(h) {
			chosen = append(chosen, h)
			taken[h.Domain]++
		}
	}
	rest := slices.DeleteFunc(slices.Clone(hosts), isPresent)
	ownDomain := len(hosts)
	cost := func(h record.Host) int {
		if h.Domain == domain {
			return taken[h.Domain] + ownDomain
		}
		return taken[h.Domain]
	}
	for len(rest) > 0 && len(chosen) < maxAsked {
		best := 0
		for i, h := range rest {
			if cost(h) < cost(rest[best]) {
				best = i
			}
		}
		chosen = append(chosen, rest[best])
		taken[rest[best].Domain]++
		rest = slices.Delete(rest, best, best+1)
	}
	return chosen
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

package fleet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/vouch"
	"github.com/rattanshore/rattanshore/internal/edge/relay"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// vouchInterval is the time between two looks whether the leader needs its witnesses, or
// whether one of the leader before can be reached.
const vouchInterval = 300 * time.Millisecond

// witness is what this host does as a witness of a leader. It implements relay.Witness.
type witness struct {
	host, incarnation string

	mu   sync.Mutex
	peer vouch.Peer
}

// Vouch implements relay.Witness.
func (w *witness) Vouch(version int64) relay.Testimony {
	w.mu.Lock()
	defer w.mu.Unlock()
	return relay.Testimony{Host: w.host, Incarnation: w.incarnation, Agreed: w.peer.Vouch(version)}
}

// Withdraw implements relay.Witness.
func (w *witness) Withdraw(version int64) relay.Testimony {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peer.Withdraw(version)
	return relay.Testimony{Host: w.host, Incarnation: w.incarnation, Agreed: true}
}

// withdrawWitness has a witness of the leader withdraw before this host takes over from
// the given version of its row. It reports whether one has. This host itself vouches for that
// leader no more in any case.
func (h *Host) withdrawWitness(ctx context.Context, leader record.Leader, version int64) bool {
	h.witness.Withdraw(version)
	for _, w := range leader.Witnesses {
		if vouch.Withdrawn(w, h.witness.host, h.witness.incarnation, true) {
			return true
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(leader.Witnesses))
	for _, w := range leader.Witnesses {
		go func() {
			t, err := h.askWitness(ctx, w, h.witnessLinks.Withdraw, version)
			answers <- err == nil && vouch.Withdrawn(w, t.Host, t.Incarnation, t.Agreed)
		}()
	}
	for range leader.Witnesses {
		if <-answers {
			return true
		}
	}
	return false
}

// seekWithdrawal has a witness of the leader before withdraw, if none could be reached
// before the takeover, and reports when one has: earlier leaders then act for no longer than
// the planner allows them from then on.
func (s *session) seekWithdrawal(ctx context.Context) {
	for ctx.Err() == nil && !s.withdrawn && s.host.clock().Before(s.tenure.allowance()) {
		if s.host.withdrawWitness(ctx, s.previous, s.previousVersion) {
			until := s.host.earlierUntil(s.previous, true)
			if until.Before(s.tenure.allowance()) {
				s.tenure.allow(until)
				s.runner.Send(plan.EarlierLeadersMsg{ActUntil: until})
			}
			logev.WitnessWithdrawn.Log(s.host.log).Int64("epoch", s.epoch).Str("before", s.previous.Host).
				Stringer("earlier-for", until.Sub(s.host.clock())).Send()
			return
		}
		sleep(ctx, vouchInterval)
	}
}

// askWitness sends a call to a witness.
func (h *Host) askWitness(ctx context.Context, w record.Witness, call func(context.Context, netip.AddrPort, int64) (relay.Testimony, error), version int64) (relay.Testimony, error) {
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return relay.Testimony{}, err
	}
	return call(ctx, address, version)
}

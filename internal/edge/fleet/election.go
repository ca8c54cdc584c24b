package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/vouch"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// leaderPoll is the mean interval between two reads of the leader row. The row
	// holds the time of its renewal, so a single read shows that the leader is
	// silent, and the first host to read the row then takes over.
	leaderPoll = time.Second
	// leaderTimeout is how old the row must be before another host takes over, if
	// the store answers at once. Safety does not depend on it: a leader that is
	// replaced too early is fenced.
	leaderTimeout = 750 * time.Millisecond
	// leaderTimeoutRoundTrips is how many round trips to the store are added to the
	// timeout, since a slow store delays the leader's renewals as well.
	leaderTimeoutRoundTrips = 6
	// preferredLeaderCores is the number of cores from which a host is a preferred
	// leader. Other hosts read the row standbyFactor times less often and use a
	// timeout standbyFactor times longer, which also reduces the load on the store.
	preferredLeaderCores = 0.3
	standbyFactor        = 8
	// leaderCallTimeout bounds one read or takeover of the leader row.
	leaderCallTimeout = 1200 * time.Millisecond
	// handOverTimeout bounds the last write of a leader that stops as planned.
	handOverTimeout = 1500 * time.Millisecond
)

// runElection polls the leader row, takes it over when its holder is silent or has
// given it up, and plans while this host holds it.
func (h *Host) runElection(ctx context.Context) {
	poll, baseTimeout := leaderPoll, leaderTimeout
	if h.settings.Cores < preferredLeaderCores {
		poll, baseTimeout = standbyFactor*poll, standbyFactor*baseTimeout
	}
	for ctx.Err() == nil {
		sentAt := h.clock()
		row, err := h.readLeaderRow(ctx)
		now := h.clock()
		if err == nil {
			leader := decodeLeader(row)
			timeout := baseTimeout + leaderTimeoutRoundTrips*now.Sub(sentAt)
			if h.leaderGone(leader) || h.leaderAge(leader) > timeout {
				if t, writer, ok := h.takeOver(ctx, row, leader); ok {
					h.plan(ctx, t, writer)
					continue
				}
			}
		}
		sleep(ctx, poll/2+rand.N(poll))
	}
}

// leaderAge returns how long ago the leader renewed its row, by the store's clock.
func (h *Host) leaderAge(leader record.Leader) time.Duration {
	return h.store.Clock().Sub(time.UnixMilli(leader.RenewedAtMs))
}

// leaderGone reports whether the holder of the leader row has certainly stopped
// planning: it has given the leadership up, or it was an earlier process of this
// host.
func (h *Host) leaderGone(leader record.Leader) bool {
	earlier := leader.Host == h.settings.Host.ID && leader.Incarnation != h.incarnation
	return leader.Host == "" || earlier
}

func (h *Host) readLeaderRow(ctx context.Context) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	return h.store.Read(ctx, leaderKey)
}

// decodeLeader decodes the leader row. A row that cannot be decoded counts as having
// no holder that renews it. Its version then serves as the epoch: it is above all earlier
// epochs, since each takeover raises the version by one or more.
func decodeLeader(row store.Row) record.Leader {
	var leader record.Leader
	if row.Version == 0 {
		return leader
	}
	if err := decode(row.Value, &leader); err != nil {
		return record.Leader{Host: unreadableHost, Epoch: row.Version}
	}
	return leader
}

// unreadableHost stands for the holder of a leader row that cannot be decoded.
const unreadableHost = "unreadable"

// takeOver writes the leader row with a new epoch, once a witness of the leader before has
// withdrawn or none can be reached. It reports whether this host has become the leader.
func (h *Host) takeOver(ctx context.Context, row store.Row, previous record.Leader) (term, *store.FencedWriter, bool) {
	t := nextTerm(previous)
	t.previous, t.previousVersion = previous, row.Version
	t.withdrawn = h.leaderGone(previous) || h.withdrawWitness(ctx, previous, row.Version)
	t.tenure = newTenure(h, t.epoch, previous.Witnesses)
	t.tenure.allow(h.earlierUntil(previous, t.withdrawn))
	writer := store.NewFencedWriter(h.store, leaderKey, row.Version)
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	if err := h.writeLeaderRow(ctx, writer, store.Change{}, t); err != nil {
		logev.TakeoverFailed.Log(h.log).Int64("epoch", t.epoch).Int64("row-version", row.Version).Err(err).Send()
		return term{}, nil, false
	}
	h.meter.Takeovers.Inc()
	logev.LeaderTaken.Log(h.log).Int64("epoch", t.epoch).Str("before", previous.Host).
		Stringer("silent-for", h.leaderAge(previous)).Int64("row-version", row.Version).
		Bool("witness-withdrawn", t.withdrawn).Stringer("earlier-for", t.tenure.allowance().Sub(h.clock())).Send()
	return t, writer, true
}

// earlierUntil returns until when the leader before, and those before it, may act. One that
// is gone acts no more, whatever its version.
func (h *Host) earlierUntil(previous record.Leader, withdrawn bool) time.Time {
	previous.Bounded = previous.Bounded || h.leaderGone(previous)
	until := vouch.ActsUntil(h.clock(), previous, withdrawn)
	if previous.EarlierUntilMs == 0 {
		return until
	}
	before := time.UnixMilli(previous.EarlierUntilMs).Add(h.aheadOfStore())
	if before.After(until) {
		return before
	}
	return until
}

// writeLeaderRow makes a change together with a renewal of the leader row, which confirms
// the leader's tenure.
func (h *Host) writeLeaderRow(ctx context.Context, writer *store.FencedWriter, change store.Change, t term) error {
	witnesses := t.tenure.sending()
	outcome, err := writer.Apply(ctx, change, func() []byte {
		madeAt := h.clock()
		value := h.leaderRowValue(h.settings.Host.ID, t, witnesses)
		t.tenure.made(value, madeAt)
		return value
	})
	if err == nil && outcome.Applied {
		t.tenure.stored(outcome.FenceValue, outcome.Version, witnesses)
	}
	return err
}

// leaderRowValue returns the value of the leader row with the present time. No two
// values are equal. An empty holder gives the leadership up.
func (h *Host) leaderRowValue(holder string, t term, witnesses []record.Witness) []byte {
	leader := record.Leader{
		Host: holder, Incarnation: h.incarnation, Epoch: t.epoch, Sequence: h.sequence.Add(1),
		RenewedAtMs: h.store.Clock().UnixMilli(), WithholdingSince: t.withholdingSince,
		Bounded: true, Witnesses: witnesses,
	}
	if until := t.tenure.allowance(); until.After(h.clock().Add(vouch.Margin)) {
		// The next leader allows Margin in any case.
		leader.EarlierUntilMs = until.Add(storeClockMargin - h.aheadOfStore()).UnixMilli()
	}
	value, err := encode(leader)
	if err != nil {
		logev.InternalProblem.Log(h.log).Err(err).Send()
	}
	return value
}

// plan runs the planner until ctx ends or another host becomes the leader. At a
// planned stop it then gives the leadership up.
func (h *Host) plan(ctx context.Context, t term, writer *store.FencedWriter) {
	session := newSession(h, t, writer)
	err := session.run(ctx)
	logev.LeaderLost.Log(h.log).Int64("epoch", t.epoch).AnErr("reason", err).Send()
	if ctx.Err() != nil && !errors.Is(err, store.ErrFenced) {
		session.handOver()
	}
}

// timing returns the planner's timing, limited by the platform's bounds.
func (h *Host) timing() plan.Timing {
	t := plan.DefaultTiming()
	b := h.settings.Bounds
	t.LongestLease = b.LongestLease
	t.Lease = min(t.Lease, b.LongestLease)
	t.GangWait = min(t.GangWait, b.GangWait)
	t.CheckpointEvery = b.CheckpointEvery
	t.SpreadFactor = b.SpreadFactor
	t.Restore = b.Restore
	t.TaskStop = b.TaskStop
	t.Reclaim = b.Reclaim
	t.KeepEnded = b.KeepEnded + t.KeepEnded/4
	return t
}

// policy returns the planner's decisions that the settings switch on.
func (h *Host) policy() plan.Policy {
	s := h.settings.Scheduling
	return plan.Policy{
		LearnRunTimes: s.LearnRunTimes,
		WorkerRisk:    s.WorkerRisk,
		RefuseLate:    s.RefuseLate,
		Without:       s.Without,
		Value:         plan.ValuePolicy{PriorityRatio: s.PriorityRatio, LateShare: s.LateShare, LateLimit: s.LateLimit},
	}
}

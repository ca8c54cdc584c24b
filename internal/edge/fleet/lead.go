package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// leaderPoll lies between two looks at the leader's row. One look tells how
	// old the row is, so that the first of all hosts to look takes over.
	leaderPoll = time.Second
	// leaderSilence is how old the row must be before another host takes over,
	// if the store answers at once. Safety does not rest on it: a leader that was
	// taken over too early is fenced like any other.
	leaderSilence = 750 * time.Millisecond
	// silenceRounds is how many round trips to the store come on top, since a
	// slow store delays the leader's renewals as well.
	silenceRounds = 6
	// leadCores is the part of a core from which on a host is a first choice for
	// the lead. Others look at the row reserveFactor times less often, and wait
	// reserveFactor times longer, which also spares the store.
	leadCores     = 0.3
	reserveFactor = 8
	// leaderCall bounds one call about the leader's row.
	leaderCall = 1200 * time.Millisecond
	// handOverTimeout bounds the last write of a leader that stops.
	handOverTimeout = 1500 * time.Millisecond
)

// lead watches the leader's row, takes it over when its holder is silent or
// has handed it over, and plans while it is held.
func (h *Host) lead(ctx context.Context) {
	poll, silence := leaderPoll, leaderSilence
	if h.settings.Cores < leadCores {
		poll, silence = reserveFactor*poll, reserveFactor*silence
	}
	for ctx.Err() == nil {
		sentAt := h.clock()
		row, err := h.leaderRow(ctx)
		now := h.clock()
		if err == nil {
			leader := decodeLeader(row)
			patience := silence + silenceRounds*now.Sub(sentAt)
			if h.vacant(leader) || h.silentFor(leader) > patience {
				if epoch, lane, ok := h.takeOver(ctx, row, leader); ok {
					h.plan(ctx, epoch, lane)
					continue
				}
			}
		}
		sleep(ctx, poll/2+rand.N(poll))
	}
}

// silentFor returns how long ago the leader sent its row.
func (h *Host) silentFor(leader record.Leader) time.Duration {
	return h.store.Clock().Sub(time.UnixMilli(leader.RenewedAtMs))
}

// vacant reports whether the row's holder certainly plans no more: it has
// handed the lead over, or was an earlier process of this very host.
func (h *Host) vacant(leader record.Leader) bool {
	earlier := leader.Host == h.settings.Host.ID && leader.Incarnation != h.incarnation
	return leader.Host == "" || earlier
}

func (h *Host) leaderRow(ctx context.Context) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderCall)
	defer cancel()
	return h.store.Read(ctx, leaderKey)
}

// decodeLeader reads the leader's row. One that cannot be read has no holder;
// its version is an epoch above all earlier ones, since each takeover raises the
// version by one or more.
func decodeLeader(row store.Row) record.Leader {
	var leader record.Leader
	if row.Version == 0 {
		return leader
	}
	if err := decode(row.Value, &leader); err != nil {
		return record.Leader{Epoch: row.Version}
	}
	return leader
}

// takeOver writes the leader's row under a new epoch.
func (h *Host) takeOver(ctx context.Context, row store.Row, before record.Leader) (int64, *store.Lane, bool) {
	lane := store.NewLane(h.store, leaderKey, row.Version)
	epoch := before.Epoch + 1
	value := func() []byte { return h.leaderRowValue(h.settings.Host.ID, epoch) }
	ctx, cancel := context.WithTimeout(ctx, leaderCall)
	defer cancel()
	if _, err := lane.Apply(ctx, store.Change{}, value); err != nil {
		logev.TakeoverFailed.Log(h.log).Int64("epoch", epoch).Int64("row-version", row.Version).Err(err).Send()
		return 0, nil, false
	}
	h.meter.Takeovers.Inc()
	logev.LeaderTaken.Log(h.log).Int64("epoch", epoch).Str("before", before.Host).
		Stringer("silent-for", h.silentFor(before)).Int64("row-version", row.Version).Send()
	return epoch, lane, true
}

// leaderRowValue returns the leader's row as it is sent now, never twice the
// same. An empty holder gives the lead up.
func (h *Host) leaderRowValue(holder string, epoch int64) []byte {
	value, err := encode(record.Leader{
		Host: holder, Incarnation: h.incarnation, Epoch: epoch, Sequence: h.sequence.Add(1),
		RenewedAtMs: h.store.Clock().UnixMilli(),
	})
	if err != nil {
		logev.InternalProblem.Log(h.log).Err(err).Send()
	}
	return value
}

// plan runs the planner until ctx ends or another host leads.
func (h *Host) plan(ctx context.Context, epoch int64, lane *store.Lane) {
	session := newSession(h, epoch, lane)
	err := session.run(ctx)
	logev.LeaderLost.Log(h.log).Int64("epoch", epoch).AnErr("reason", err).Send()
	if ctx.Err() != nil && !errors.Is(err, store.ErrFenced) {
		session.handOver()
	}
}

// timing returns the planner's timing under the platform's bounds.
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

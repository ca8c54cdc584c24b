package fleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/admit"
	"github.com/rattanshore/rattanshore/internal/core/limit"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// leastTombstoneLife is the least time for which a tombstone is kept after an answer that
	// relies on it: far longer than the store delays a write.
	leastTombstoneLife = time.Minute
	// renewalPart is the part of its life after which a tombstone is renewed before an answer
	// relies on it.
	renewalPart = 4
	// maxTombstoneBytes is more than an encoded tombstone takes, and less than a job does.
	maxTombstoneBytes = 64
	// maxTombstoneTries limits how often a tombstone is tried to be left whose row changes
	// meanwhile.
	maxTombstoneTries = 3
)

// reasonCancels is why a cancellation has to come back.
const reasonCancels admit.Reason = "too many cancellations of unknown jobs"

// CancelledError means that a job was cancelled before it was submitted. It is not stored.
type CancelledError struct {
	// ComeBackAt is when the identifier can be used again.
	ComeBackAt time.Time
}

// Error implements error.
func (e *CancelledError) Error() string {
	return "job was cancelled before it was stored"
}

// Unwrap returns ErrNotStored.
func (e *CancelledError) Unwrap() error {
	return ErrNotStored
}

// RetryAt returns when the caller may come back.
func (e *CancelledError) RetryAt() time.Time {
	return e.ComeBackAt
}

// tombstones leaves tombstones: rows that take the place of the row of a job that is
// cancelled while it is not stored. A submission inserts the job's row, which must not exist
// yet. So whichever of its writes are late or repeated, by whatever host or peer, none
// stores the job once its tombstone is there.
type tombstones struct {
	store *store.Client
	clock func() time.Time
	log   *zerolog.Logger
	meter *metrc.Fleet
	// life is for how long a tombstone is kept after each answer that relies on it.
	life   time.Duration
	limits *limit.Cancels
	// hosts returns how many hosts record cancellations.
	hosts func() int
}

// newTombstones returns tombstones that are kept as long as ended jobs.
func newTombstones(s *store.Client, clock func() time.Time, log *zerolog.Logger, meter *metrc.Fleet, keepEnded time.Duration, hosts func() int) *tombstones {
	return &tombstones{
		store: s, clock: clock, log: log, meter: meter,
		life: tombstoneLife(keepEnded), limits: limit.NewCancels(), hosts: hosts,
	}
}

// tombstoneLife returns for how long a tombstone is kept after each answer that relies on it.
func tombstoneLife(keepEnded time.Duration) time.Duration {
	return max(keepEnded, leastTombstoneLife)
}

// keptUntil returns when a tombstone may be removed, by the store's clock: its life after the
// last answer that may rely on it.
func keptUntil(t record.Tombstone, life time.Duration) time.Time {
	return time.UnixMilli(t.RecordedAtMs).Add(life/renewalPart + life)
}

// tombstoneOf returns the tombstone that a row of tableJobs holds, and whether it holds one.
func tombstoneOf(row store.Row) (record.Tombstone, bool) {
	var t record.Tombstone
	if row.Version == 0 || row.Deleted || len(row.Value) > maxTombstoneBytes {
		return t, false
	}
	err := decode(row.Value, &t)
	return t, err == nil && t.Cancelled
}

// leave has a tombstone in the place of a job's row, which is missing or an older tombstone.
// It returns ErrUnknownJob once there is one, and nil if the job itself has been stored
// meanwhile.
func (t *tombstones) leave(ctx context.Context, team string, row store.Row) error {
	for range maxTombstoneTries {
		present, cancelled := tombstoneOf(row)
		switch {
		case row.Version > 0 && !cancelled:
			return nil
		case cancelled && t.isFresh(present):
			logev.TombstoneLeft.Log(t.log).Str("job", row.Key.Name).Int64("row-version", row.Version).Send()
			return ErrUnknownJob
		}
		if err := t.waitTurn(ctx, team); err != nil {
			return err
		}
		var err error
		if row, err = t.write(ctx, row); err != nil {
			return err
		}
	}
	return ErrNotStored
}

// isFresh reports whether an answer may rely on a tombstone as it is.
func (t *tombstones) isFresh(present record.Tombstone) bool {
	return t.store.Clock().Sub(time.UnixMilli(present.RecordedAtMs)) < t.life/renewalPart
}

// write writes a tombstone in the place of a row of the same version, and returns the row
// that is stored then.
func (t *tombstones) write(ctx context.Context, row store.Row) (store.Row, error) {
	value, err := encode(record.Tombstone{Cancelled: true, RecordedAtMs: t.store.Clock().UnixMilli()})
	if err != nil {
		return store.Row{}, err
	}
	row.Value = value
	row, err = t.store.Replace(ctx, row, refusalTimeout)
	if err != nil {
		return store.Row{}, writeError(err)
	}
	t.meter.Tombstones.Inc()
	return row, nil
}

// waitTurn waits until the team's cancellation may be written. It returns an OverloadError
// at once if that takes too long.
func (t *tombstones) waitTurn(ctx context.Context, team string) error {
	now := t.clock()
	at, admitted := t.limits.Admit(now, team, t.hosts())
	deadline, bounded := ctx.Deadline()
	if !admitted || bounded && time.Until(deadline) < at.Sub(now) {
		t.meter.CancelsRefused.Inc()
		return &OverloadError{Reason: reasonCancels, ComeBackAt: at}
	}
	sleep(ctx, at.Sub(now))
	return nil
}

// refusal returns why a job with a tombstone is not accepted.
func (t *tombstones) refusal(present record.Tombstone) error {
	left := keptUntil(present, t.life).Sub(t.store.Clock())
	return &CancelledError{ComeBackAt: t.clock().Add(left)}
}

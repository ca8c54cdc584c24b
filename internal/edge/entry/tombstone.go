package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// submissionTimeout is how long the host tries to commit a submission, whose caller has
	// been told long before that the outcome is unknown.
	submissionTimeout = 30 * time.Second
	// tombstoneLife is how long a tombstone is kept after each answer that relies on it. It
	// is longer than submissionTimeout and what the store delays a write.
	tombstoneLife = 2 * time.Minute
	// tombstoneRenewal is the age from which a tombstone is renewed before an answer relies
	// on it.
	tombstoneRenewal = tombstoneLife / 4
	// maxTombstoneTries limits how often a tombstone is tried to be left whose row changes
	// meanwhile.
	maxTombstoneTries = 3
	// sweepInterval is the mean time between two removals of tombstones that are over.
	sweepInterval = time.Minute
	// maxSwept limits the tombstones that one change removes, each of which takes two
	// entries.
	maxSwept = 40
)

// tombstoneRow keeps a job that was cancelled while it was not recorded from being recorded.
type tombstoneRow struct {
	// RecordedAt is when the job was last cancelled, by the store's clock.
	RecordedAt time.Time `json:"recorded-at"`
}

// cancelUnrecorded cancels a job of which there are no rows. A submission expects that there
// is no tombstone of its job, so none that is under way or repeated is recorded after this
// one has been left.
func (a callerAPI) cancelUnrecorded(ctx iris.Context, id string) {
	if !validID(id) {
		a.failRead(ctx, errNoJob)
		return
	}
	for range maxTombstoneTries {
		known, err := a.readRow(ctx.Request().Context(), rows.Tombstone(id))
		if err != nil {
			a.failRead(ctx, err)
			return
		}
		if a.isFresh(known) {
			logev.TombstoneLeft.Log(a.log).Str("job", id).Int64("row-version", known.Version).Send()
			a.failRead(ctx, errNoJob)
			return
		}
		if at, admitted := a.awaitCancelTurn(ctx.Request().Context()); !admitted {
			a.fail(ctx, retryAt(schema.Unavailable, "too many cancellations of unknown jobs; nothing was recorded", at))
			return
		}
		if a.leaveTombstone(ctx, id, known.Version) {
			return
		}
	}
	a.fail(ctx, retryAt(schema.Unavailable, "the job's rows keep changing; nothing was recorded", time.Now().Add(unavailableRetryDelay)))
}

// isFresh reports whether an answer may rely on a tombstone as it is.
func (h *Host) isFresh(row store.Row) bool {
	if row.Version == 0 {
		return false
	}
	t, ok := decodeOrLog[tombstoneRow](h.log, row)
	return ok && h.store.Clock().Sub(t.RecordedAt) < tombstoneRenewal
}

// awaitCancelTurn waits until a cancellation of an unknown job may be recorded. If that takes
// too long it returns when to come back.
func (h *Host) awaitCancelTurn(ctx context.Context) (at time.Time, admitted bool) {
	now := time.Now()
	at, admitted = h.cancels.Admit(now, "", len(h.view.hostRows()))
	if !admitted {
		return at, false
	}
	select {
	case <-ctx.Done():
	case <-time.After(at.Sub(now)):
	}
	return at, true
}

// leaveTombstone tries to write a tombstone whose row has the given version, and reports
// whether the call has been answered. If the job has been recorded meanwhile it is cancelled.
func (a callerAPI) leaveTombstone(ctx iris.Context, id string, version int64) bool {
	outcome, err := a.write(ctx, store.Change{
		Expect: []store.Row{expected(rows.JobShard(id), 0), expected(rows.Tombstone(id), version)},
		Put:    []store.Row{rowOf(rows.Tombstone(id), tombstoneRow{RecordedAt: a.store.Clock()})},
	})
	if err != nil {
		a.failCancel(ctx)
		return true
	}
	if outcome.Applied {
		logev.TombstoneLeft.Log(a.log).Str("job", id).Int64("row-version", outcome.Version).Send()
		a.failRead(ctx, errNoJob)
		return true
	}
	pointer, status, err := a.findJob(ctx.Request().Context(), id)
	if err != nil {
		return false
	}
	a.cancelRecorded(ctx, pointer, status)
	return true
}

// failCancelledBefore replies to a submission that was not recorded since its job has a
// tombstone, or else that there is no such job.
func (a callerAPI) failCancelledBefore(ctx iris.Context, id string) {
	row, err := a.readRow(ctx.Request().Context(), rows.Tombstone(id))
	if err != nil || row.Version == 0 {
		a.failRead(ctx, errNoJob)
		return
	}
	t, _ := decodeOrLog[tombstoneRow](a.log, row)
	left := t.RecordedAt.Add(tombstoneLife + tombstoneRenewal).Sub(a.store.Clock())
	a.fail(ctx, retryAt(schema.NotRun, "the job was cancelled before it was recorded; it does not run", time.Now().Add(left)))
}

// sweepTombstones removes the tombstones that are over until ctx ends. Every host does; what
// fails is tried again.
func (h *Host) sweepTombstones(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval/2 + rand.N(sweepInterval)):
		}
		stored, err := h.readRows(ctx, rows.Tombstones, rows.TombstonePrefix)
		if err != nil {
			continue
		}
		over := overTombstones(stored, h.store.Clock())
		for len(over) > 0 && h.removeTombstones(ctx, over[:min(len(over), maxSwept)]) {
			over = over[min(len(over), maxSwept):]
		}
	}
}

// overTombstones returns the rows of tombstones that are over by the store's clock. One that
// cannot be read is over.
func overTombstones(stored []store.Row, now time.Time) []store.Row {
	var over []store.Row
	for _, row := range stored {
		t, err := decode[tombstoneRow](row)
		if err != nil || now.Sub(t.RecordedAt) >= tombstoneLife+tombstoneRenewal {
			over = append(over, store.Row{Key: row.Key, Version: row.Version})
		}
	}
	return over
}

// removeTombstones removes tombstones unless one of them has been renewed or removed, and
// reports whether the store has answered.
func (h *Host) removeTombstones(ctx context.Context, over []store.Row) bool {
	change := store.Change{Expect: over}
	for _, row := range over {
		change.Remove = append(change.Remove, row.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	outcome, err := h.batcher.ApplyUntil(ctx, change, time.Now().Add(writeTimeout))
	if err == nil && outcome.Applied {
		logev.TombstonesRemoved.Log(h.log).Int("rows", len(over)).Send()
	}
	return err == nil
}

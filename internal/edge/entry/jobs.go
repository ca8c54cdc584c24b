package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/core/confg"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// pointerRow names the shard that a job belongs to. Content is a digest of the
// job's specification, which distinguishes a repeated submission from another
// job with the same identifier.
type pointerRow struct {
	Shard   string `json:"shard"`
	Content string `json:"content"`
}

// SubmitJob validates a job and records it in a shard that can run it.
func (a callerAPI) SubmitJob(ctx iris.Context) {
	spec, ok := readBody[schema.JobSpec](a.Host, ctx, guard.TextBytes)
	if !ok {
		return
	}
	if a.refuseIfUnavailable(ctx) {
		return
	}
	config, _ := a.view.currentConfig()
	shards, apiErr := checkJob(spec, config.Document, a.view.workers(), time.Now())
	if apiErr != nil {
		logev.JobRefused.Log(a.log).Str("job", logev.Clip(spec.ID)).Str("code", string(apiErr.Code)).Str("message", logev.Clip(apiErr.Message)).
			Int64("config-version", config.Version).Send()
		a.fail(ctx, *apiErr)
		return
	}
	a.recordJob(ctx, spec, chooseShard(spec, config.Document, shards), config.Version)
}

// refuseIfUnavailable refuses a call that needs a write while no write is
// possible, and reports whether it did.
func (h *Host) refuseIfUnavailable(ctx iris.Context) bool {
	now := time.Now()
	switch {
	case h.isStopping():
		h.fail(ctx, retryAt(schema.NotRun, "this host is stopping; nothing was recorded", now.Add(time.Second)))
	case h.store.Health() == store.Down:
		h.fail(ctx, retryAt(schema.Unavailable, "the store is down; nothing was recorded", now.Add(unavailableRetryDelay)))
	case h.view.configVersion() == 0:
		h.fail(ctx, retryAt(schema.Unavailable, "there is no configuration yet; nothing was recorded", now.Add(unavailableRetryDelay)))
	default:
		return false
	}
	return true
}

// checkJob returns the shards that can run the job, or the error to refuse it
// with.
func checkJob(spec schema.JobSpec, document schema.ConfigDocument, workers []sched.Worker, now time.Time) ([]string, *schema.Error) {
	switch {
	case !validID(spec.ID):
		return nil, invalid(schema.BadRequest, "id should be 1 to %d letters, digits, dots, dashes or underscores", maxIDLength)
	case spec.Kind == "":
		return nil, invalid(schema.BadRequest, "kind is missing")
	case !spec.Class.Valid():
		return nil, invalid(schema.BadRequest, "class %q should be urgent or patient", spec.Class)
	case !slices.ContainsFunc(document.Teams, func(t schema.TeamStatus) bool { return t.Name == spec.Team }):
		return nil, invalid(schema.BadRequest, "there is no team %q", spec.Team)
	case spec.Tasks < 1 || spec.Accelerators < 1:
		return nil, invalid(schema.ImpossibleShape, "tasks and accelerators should be 1 or more")
	case !spec.StartBy.IsZero() && now.After(spec.StartBy):
		return nil, invalid(schema.PastDeadline, "start-by %s has passed", spec.StartBy.Format(time.RFC3339Nano))
	}
	shards, err := confg.CheckJob(document, spec, workers)
	if err != nil {
		return nil, invalid(schema.ImpossibleShape, "%v", err)
	}
	return shards, nil
}

// chooseShard returns one of the shards in which the job's team has a guarantee,
// or of all given shards if it has none. The hash of the job's identifier decides
// which one, so that the jobs of a team are spread over them.
func chooseShard(spec schema.JobSpec, document schema.ConfigDocument, shards []string) string {
	guaranteed := slices.DeleteFunc(slices.Clone(shards), func(shard string) bool {
		return !slices.ContainsFunc(document.Teams, func(t schema.TeamStatus) bool {
			return t.Name == spec.Team && len(sched.Guarantees(t, shard)) > 0
		})
	})
	if len(guaranteed) == 0 {
		guaranteed = shards
	}
	return guaranteed[xxhash.Sum64String(spec.ID)%uint64(len(guaranteed))]
}

// specDigest returns a digest of the specification.
func specDigest(spec schema.JobSpec) string {
	data, err := json.Marshal(spec)
	if err != nil {
		return ""
	}
	return string(encode(xxhash.Sum64(data)))
}

// recordJob writes the rows of a new job and replies with its status.
func (a callerAPI) recordJob(ctx iris.Context, spec schema.JobSpec, shard string, version int64) {
	status := schema.JobStatus{
		Spec: spec, Shard: shard, State: schema.Waiting,
		SubmittedAt: time.Now(), ConfigVersion: version,
	}
	pointer := pointerRow{Shard: shard, Content: specDigest(spec)}
	name := rows.JobShard(spec.ID)
	outcome, err := a.writeUntil(ctx, store.Change{
		Expect: []store.Row{expected(name, 0), expected(rows.Tombstone(spec.ID), 0)},
		Put:    []store.Row{rowOf(name, pointer), rowOf(rows.Job(shard, spec.ID), status)},
	}, time.Now().Add(submissionTimeout))
	switch {
	case err != nil:
		a.fail(ctx, newError(schema.OutcomeUnknown, "the job may have been recorded; submit it again with the same id to check"))
	case !outcome.Applied:
		a.replyResubmission(ctx, spec, pointer.Content)
	default:
		logev.JobRecorded.Log(a.log).Str("job", spec.ID).Str("team", spec.Team).Str("shard", shard).
			Int64("config-version", version).Send()
		a.notifyOwner(shard)
		a.reply(ctx, status)
	}
}

// write commits a change and waits at most writeTimeout for the outcome.
func (h *Host) write(ctx iris.Context, change store.Change) (store.Outcome, error) {
	return h.writeUntil(ctx, change, time.Time{})
}

// writeUntil is write for a change that is given up if it is not committed by then; zero
// means never.
func (h *Host) writeUntil(ctx iris.Context, change store.Change, until time.Time) (store.Outcome, error) {
	writeCtx, cancel := context.WithTimeout(ctx.Request().Context(), writeTimeout)
	defer cancel()
	return h.batcher.ApplyUntil(writeCtx, change, until)
}

// notifyOwner tells the owner of a shard, on this host or a peer, to read its
// rows.
func (h *Host) notifyOwner(shard string) {
	if o := h.findOwned(shard); o != nil {
		o.wake()
		return
	}
	h.broadcast(schema.PeerMessage{ShardChanged: shard})
}

// replyResubmission replies to a submission whose identifier is already in use:
// with the status of the job if it is the same one, otherwise with an error, also if the
// job was cancelled before it was recorded.
func (a callerAPI) replyResubmission(ctx iris.Context, spec schema.JobSpec, digest string) {
	pointer, status, err := a.findJob(ctx.Request().Context(), spec.ID)
	switch {
	case errors.Is(err, errNoJob):
		a.failCancelledBefore(ctx, spec.ID)
	case err != nil:
		a.failRead(ctx, err)
	case pointer.Content != digest:
		a.fail(ctx, newError(schema.DuplicateID, "id %q is already used by a job with a different specification", spec.ID))
	default:
		a.reply(ctx, status)
	}
}

// errNoJob is returned when no job has the identifier.
var errNoJob = errors.New("there is no such job")

func (h *Host) findJob(ctx context.Context, id string) (pointerRow, schema.JobStatus, error) {
	var status schema.JobStatus
	row, err := h.readRow(ctx, rows.JobShard(id))
	if err != nil {
		return pointerRow{}, status, err
	}
	if row.Version == 0 {
		return pointerRow{}, status, errNoJob
	}
	pointer, err := decode[pointerRow](row)
	if err != nil {
		return pointerRow{}, status, err
	}
	row, err = h.jobRow(ctx, pointer.Shard, id)
	if err != nil {
		return pointer, status, err
	}
	status, err = decode[schema.JobStatus](row)
	return pointer, status, err
}

// jobRow reads the row of a job. When the job ends, its row moves to the table
// of ended jobs.
func (h *Host) jobRow(ctx context.Context, shard, id string) (store.Row, error) {
	for _, name := range []string{rows.Job(shard, id), rows.EndedJob(shard, id)} {
		row, err := h.readRow(ctx, name)
		if err != nil || row.Version > 0 {
			return row, err
		}
	}
	return store.Row{}, errNoJob
}

// failRead replies to a call whose rows could not be read or do not exist.
func (h *Host) failRead(ctx iris.Context, err error) {
	if errors.Is(err, errNoJob) {
		h.fail(ctx, newError(schema.NotFound, "there is no such job"))
		return
	}
	h.fail(ctx, retryAt(schema.Unavailable, "the store does not answer", time.Now().Add(unavailableRetryDelay)))
}

// GetJob replies with the status of one job.
func (a callerAPI) GetJob(ctx iris.Context, id string) {
	_, status, err := a.findJob(ctx.Request().Context(), id)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	a.reply(ctx, status)
}

// jobRows reads the rows of all jobs. A job that ends between the two reads is
// found in both; its row among the ended jobs is kept.
func (h *Host) jobRows(ctx context.Context) ([]store.Row, error) {
	activeRows, err := h.readRows(ctx, rows.ShardJobs, rows.JobPrefix)
	if err != nil {
		return nil, err
	}
	endedRows, err := h.readRows(ctx, rows.EndedJobs, rows.EndedJobPrefix)
	if err != nil {
		return nil, err
	}
	ended := map[string]bool{}
	for _, row := range endedRows {
		ended[strings.TrimPrefix(row.Key.Name, rows.EndedJobPrefix)] = true
	}
	activeRows = slices.DeleteFunc(activeRows, func(row store.Row) bool {
		return ended[strings.TrimPrefix(row.Key.Name, rows.JobPrefix)]
	})
	return append(activeRows, endedRows...), nil
}

// CancelJob records the cancellation of a job that has not ended.
func (a callerAPI) CancelJob(ctx iris.Context, id string) {
	if a.refuseIfUnavailable(ctx) {
		return
	}
	pointer, status, err := a.findJob(ctx.Request().Context(), id)
	switch {
	case errors.Is(err, errNoJob) && pointer.Shard == "":
		a.cancelUnrecorded(ctx, id)
	case err != nil:
		a.failRead(ctx, err)
	default:
		a.cancelRecorded(ctx, pointer, status)
	}
}

// cancelRecorded records the cancellation of a recorded job, unless the job has ended.
func (a callerAPI) cancelRecorded(ctx iris.Context, pointer pointerRow, status schema.JobStatus) {
	if status.State != schema.Waiting && status.State != schema.Running {
		a.reply(ctx, status)
		return
	}
	id := status.Spec.ID
	_, err := a.write(ctx, store.Change{Put: []store.Row{rowOf(rows.Cancel(pointer.Shard, id), time.Now())}})
	if err != nil {
		a.failCancel(ctx)
		return
	}
	logev.CancelRecorded.Log(a.log).Str("job", id).Str("shard", pointer.Shard).Send()
	a.notifyOwner(pointer.Shard)
	a.reply(ctx, status)
}

// failCancel replies that the outcome of a cancellation is unknown.
func (a callerAPI) failCancel(ctx iris.Context) {
	a.fail(ctx, newError(schema.OutcomeUnknown, "the cancellation may have been recorded; cancel again to be sure"))
}

// ExplainJob explains why a job waits, or why it was placed where it is. Only
// the owner of the shard can explain a decision, so another host forwards the
// call. If the owner does not answer, the explanation comes from the job's row.
func (a callerAPI) ExplainJob(ctx iris.Context, id string) {
	pointer, status, err := a.findJob(ctx.Request().Context(), id)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	if o := a.findOwned(pointer.Shard); o != nil {
		a.reply(ctx, o.explain(ctx.Request().Context(), status))
		return
	}
	if ctx.GetHeader(forwardedHeader) == "" {
		if explanation, err := a.askShardOwner(ctx.Request().Context(), pointer.Shard, id); err == nil {
			a.reply(ctx, explanation)
			return
		}
	}
	a.reply(ctx, explainRow(status))
}

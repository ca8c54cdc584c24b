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
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// pointerRow says in which shard a job lies, and tells jobs with the same
// identifier apart.
type pointerRow struct {
	Shard   string `json:"shard"`
	Content string `json:"content"`
}

// SubmitJob records a job.
func (a callerAPI) SubmitJob(ctx iris.Context) {
	spec, ok := readBody[schema.JobSpec](a.Host, ctx)
	if !ok {
		return
	}
	if a.unavailable(ctx) {
		return
	}
	config, _ := a.view.currentConfig()
	shards, p := checkJob(spec, config.Document, a.view.workers(), time.Now())
	if p != nil {
		logev.JobRefused.Log(a.log).Str("job", spec.ID).Str("code", string(p.Code)).Str("message", p.Message).
			Int64("config-version", config.Version).Send()
		a.fail(ctx, *p)
		return
	}
	a.record(ctx, spec, chooseShard(spec, config.Document, shards), config.Version)
}

// unavailable refuses a call that needs a write while none can be done.
func (h *Host) unavailable(ctx iris.Context) bool {
	now := time.Now()
	switch {
	case h.isStopping():
		h.fail(ctx, comeBack(schema.NotRun, "this host is stopping; nothing was recorded", now.Add(time.Second)))
	case h.store.Health() == store.Down:
		h.fail(ctx, comeBack(schema.Unavailable, "the table service is down; nothing was recorded", now.Add(comeBackPause)))
	case h.view.configVersion() == 0:
		h.fail(ctx, comeBack(schema.Unavailable, "there is no configuration yet; nothing was recorded", now.Add(comeBackPause)))
	default:
		return false
	}
	return true
}

func checkJob(spec schema.JobSpec, document schema.ConfigDocument, workers []sched.Worker, now time.Time) ([]string, *schema.Error) {
	switch {
	case !validID(spec.ID):
		return nil, problem(schema.BadRequest, "id should be 1 to %d letters, digits, dots, dashes or underscores", maxIDLength)
	case spec.Kind == "":
		return nil, problem(schema.BadRequest, "kind is missing")
	case !spec.Class.Valid():
		return nil, problem(schema.BadRequest, "class %q should be urgent or patient", spec.Class)
	case !slices.ContainsFunc(document.Teams, func(t schema.TeamStatus) bool { return t.Name == spec.Team }):
		return nil, problem(schema.BadRequest, "there is no team %q", spec.Team)
	case spec.Tasks < 1 || spec.Accelerators < 1:
		return nil, problem(schema.ImpossibleShape, "tasks and accelerators should be 1 or more")
	case !spec.StartBy.IsZero() && now.After(spec.StartBy):
		return nil, problem(schema.PastDeadline, "start-by %s has passed", spec.StartBy.Format(time.RFC3339Nano))
	}
	shards, err := confg.CheckJob(document, spec, workers)
	if err != nil {
		return nil, problem(schema.ImpossibleShape, "%v", err)
	}
	return shards, nil
}

// chooseShard takes a shard in which the job's team has a guarantee, if there
// is one, and spreads the jobs of a team over those by their identifiers.
func chooseShard(spec schema.JobSpec, document schema.ConfigDocument, shards []string) string {
	home := slices.DeleteFunc(slices.Clone(shards), func(shard string) bool {
		return !slices.ContainsFunc(document.Teams, func(t schema.TeamStatus) bool {
			return t.Name == spec.Team && len(sched.Guarantees(t, shard)) > 0
		})
	})
	if len(home) == 0 {
		home = shards
	}
	return home[xxhash.Sum64String(spec.ID)%uint64(len(home))]
}

func contentOf(spec schema.JobSpec) string {
	data, err := json.Marshal(spec)
	if err != nil {
		return ""
	}
	return string(encode(xxhash.Sum64(data)))
}

func (a callerAPI) record(ctx iris.Context, spec schema.JobSpec, shard string, version int64) {
	status := schema.JobStatus{
		Spec: spec, Shard: shard, State: schema.Waiting,
		SubmittedAt: time.Now(), ConfigVersion: version,
	}
	pointer := pointerRow{Shard: shard, Content: contentOf(spec)}
	name := rows.Pointer(spec.ID)
	outcome, err := a.write(ctx, store.Change{
		Expect: []store.Row{expected(name, 0)},
		Put:    []store.Row{rowOf(name, pointer), rowOf(rows.Job(shard, spec.ID), status)},
	})
	switch {
	case err != nil:
		a.fail(ctx, failure(schema.OutcomeUnknown, "the job may have been recorded; submit it again with the same id to learn"))
	case !outcome.Made:
		a.repeatSubmit(ctx, spec, pointer.Content)
	default:
		logev.JobRecorded.Log(a.log).Str("job", spec.ID).Str("team", spec.Team).Str("shard", shard).
			Int64("config-version", version).Send()
		a.announce(shard)
		a.reply(ctx, status)
	}
}

// write commits a change and waits a limited time for it.
func (h *Host) write(ctx iris.Context, change store.Change) (store.Outcome, error) {
	limited, cancel := context.WithTimeout(ctx.Request().Context(), writeTimeout)
	defer cancel()
	return h.group.Apply(limited, change)
}

// announce wakes the owner of a shard, here or at a peer.
func (h *Host) announce(shard string) {
	if o := h.ownerOf(shard); o != nil {
		o.wake()
		return
	}
	h.broadcast(schema.PeerMessage{ShardChanged: shard})
}

func (a callerAPI) repeatSubmit(ctx iris.Context, spec schema.JobSpec, content string) {
	pointer, status, err := a.findJob(ctx.Request().Context(), spec.ID)
	switch {
	case err != nil:
		a.failRead(ctx, err)
	case pointer.Content != content:
		a.fail(ctx, failure(schema.DuplicateID, "id %q belongs to a job with another content", spec.ID))
	default:
		a.reply(ctx, status)
	}
}

// errNoJob says that no job has the identifier.
var errNoJob = errors.New("there is no such job")

func (h *Host) findJob(ctx context.Context, id string) (pointerRow, schema.JobStatus, error) {
	var status schema.JobStatus
	row, err := h.readRow(ctx, rows.Pointer(id))
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

// jobRow reads the row of a job, which moves to the past jobs when it ends.
func (h *Host) jobRow(ctx context.Context, shard, id string) (store.Row, error) {
	for _, name := range []string{rows.Job(shard, id), rows.Past(shard, id)} {
		row, err := h.readRow(ctx, name)
		if err != nil || row.Version > 0 {
			return row, err
		}
	}
	return store.Row{}, errNoJob
}

func (h *Host) failRead(ctx iris.Context, err error) {
	if errors.Is(err, errNoJob) {
		h.fail(ctx, failure(schema.NotFound, "there is no such job"))
		return
	}
	h.fail(ctx, comeBack(schema.Unavailable, "the table service does not answer", time.Now().Add(comeBackPause)))
}

// GetJob shows one job.
func (a callerAPI) GetJob(ctx iris.Context, id string) {
	_, status, err := a.findJob(ctx.Request().Context(), id)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	a.reply(ctx, status)
}

// ListJobs shows the jobs of all shards.
func (a callerAPI) ListJobs(ctx iris.Context, params schema.ListJobsParams) {
	found, err := a.jobRows(ctx.Request().Context())
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	list := schema.JobList{Jobs: []schema.JobStatus{}}
	for _, row := range found {
		job, ok := decodeLogged[schema.JobStatus](a.log, row)
		if !ok {
			continue
		}
		if params.Team != "" && params.Team != job.Spec.Team || params.State != "" && params.State != string(job.State) {
			continue
		}
		list.Jobs = append(list.Jobs, job)
	}
	slices.SortFunc(list.Jobs, func(a, b schema.JobStatus) int { return a.SubmittedAt.Compare(b.SubmittedAt) })
	a.reply(ctx, list)
}

// jobRows reads the rows of all jobs. One that ends between the two readings is
// in both; what it ended as comes last.
func (h *Host) jobRows(ctx context.Context) ([]store.Row, error) {
	alive, err := h.readRows(ctx, rows.ShardJobs, rows.JobPrefix)
	if err != nil {
		return nil, err
	}
	past, err := h.readRows(ctx, rows.PastJobs, rows.PastPrefix)
	if err != nil {
		return nil, err
	}
	ended := map[string]bool{}
	for _, row := range past {
		ended[strings.TrimPrefix(row.Key.Name, rows.PastPrefix)] = true
	}
	alive = slices.DeleteFunc(alive, func(row store.Row) bool {
		return ended[strings.TrimPrefix(row.Key.Name, rows.JobPrefix)]
	})
	return append(alive, past...), nil
}

// CancelJob records a cancellation.
func (a callerAPI) CancelJob(ctx iris.Context, id string) {
	if a.unavailable(ctx) {
		return
	}
	pointer, status, err := a.findJob(ctx.Request().Context(), id)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	if status.State != schema.Waiting && status.State != schema.Running {
		a.reply(ctx, status)
		return
	}
	_, err = a.write(ctx, store.Change{Put: []store.Row{rowOf(rows.Cancel(pointer.Shard, id), time.Now())}})
	if err != nil {
		a.fail(ctx, failure(schema.OutcomeUnknown, "the cancellation may have been recorded; cancel again to be sure"))
		return
	}
	logev.CancelRecorded.Log(a.log).Str("job", id).Str("shard", pointer.Shard).Send()
	a.announce(pointer.Shard)
	a.reply(ctx, status)
}

// ExplainJob says why a job waits, or why it is where it is.
func (a callerAPI) ExplainJob(ctx iris.Context, id string) {
	pointer, status, err := a.findJob(ctx.Request().Context(), id)
	if err != nil {
		a.failRead(ctx, err)
		return
	}
	if o := a.ownerOf(pointer.Shard); o != nil {
		a.reply(ctx, o.explain(ctx.Request().Context(), status))
		return
	}
	if ctx.GetHeader(forwardedHeader) == "" {
		if explanation, err := a.askOwner(ctx.Request().Context(), pointer.Shard, id); err == nil {
			a.reply(ctx, explanation)
			return
		}
	}
	a.reply(ctx, recorded(status))
}

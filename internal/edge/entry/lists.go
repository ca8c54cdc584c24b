package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// listTimeout is how long a call waits for the lists that are being read.
const listTimeout = time.Second

// listing lets one list at a time be read from the store, whose size is known only
// afterwards.
type listing chan struct{}

func newListing() listing { return make(listing, 1) }

// read reads the rows of a list and takes their memory from the budget of the call. If that
// fails, it replies with the error and returns false.
func (l listing) read(h *Host, ctx iris.Context, rows func(context.Context) ([]store.Row, error)) ([]store.Row, bool) {
	request := ctx.Request().Context()
	wait := time.NewTimer(listTimeout)
	defer wait.Stop()
	select {
	case l <- struct{}{}:
		defer func() { <-l }()
	case <-wait.C:
		h.fail(ctx, retryAt(schema.Unavailable, "other lists are being read", time.Now().Add(unavailableRetryDelay)))
		return nil, false
	case <-request.Done():
		return nil, false
	}
	found, err := rows(request)
	if err != nil {
		h.failRead(ctx, err)
		return nil, false
	}
	if err := guard.Take(request, bytesOf(found)); err != nil {
		h.failFull(ctx, err)
		return nil, false
	}
	return found, true
}

// bytesOf returns the size of the rows' values.
func bytesOf(found []store.Row) int64 {
	total := int64(0)
	for _, row := range found {
		total += int64(len(row.Value))
	}
	return total
}

// failFull replies to a call that reads only and whose answer the budget does not allow.
func (h *Host) failFull(ctx iris.Context, err error) {
	if errors.Is(err, guard.ErrTooLarge) {
		h.replyError(ctx, newError(schema.BodyTooLarge, "the answer is larger than this host may hold for callers"))
		return
	}
	h.replyError(ctx, retryAt(schema.Unavailable, "the memory for callers is in use", time.Now().Add(guard.RetryAfter)))
}

// listedJob is a job of a list, which is decoded again when it is written.
type listedJob struct {
	row         store.Row
	submittedAt time.Time
}

// ListJobs replies with the jobs of all shards, oldest first.
func (a callerAPI) ListJobs(ctx iris.Context, params schema.ListJobsParams) {
	found, ok := a.listing.read(a.Host, ctx, a.jobRows)
	if !ok {
		return
	}
	var list []listedJob
	for _, row := range found {
		job, ok := decodeOrLog[schema.JobStatus](a.log, row)
		if !ok {
			continue
		}
		if params.Team != "" && params.Team != job.Spec.Team || params.State != "" && params.State != string(job.State) {
			continue
		}
		list = append(list, listedJob{row: row, submittedAt: job.SubmittedAt})
	}
	slices.SortFunc(list, func(a, b listedJob) int { return a.submittedAt.Compare(b.submittedAt) })
	a.writeJobs(ctx, list)
}

// writeJobs writes a list of jobs one by one, so that the whole answer is never in memory.
func (h *Host) writeJobs(ctx iris.Context, list []listedJob) {
	ctx.ContentType("application/json")
	write := func(data []byte) bool {
		_, err := ctx.Write(data)
		return err == nil
	}
	if !write([]byte(`{"jobs":[`)) {
		return
	}
	for i, l := range list {
		job, err := decode[schema.JobStatus](l.row)
		if err != nil {
			continue
		}
		data, err := json.Marshal(job)
		if err != nil {
			logev.InternalProblem.Log(h.log).Err(err).Send()
			panic(http.ErrAbortHandler)
		}
		if i > 0 {
			data = append([]byte(","), data...)
		}
		if !write(data) {
			return
		}
	}
	write([]byte("]}"))
}

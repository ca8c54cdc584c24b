package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/admit"
	"github.com/rattanshore/rattanshore/internal/core/gate"
	"github.com/rattanshore/rattanshore/internal/core/jobs"
	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// refusalTimeout is how long a write that the store refuses is retried before
	// the caller is refused.
	refusalTimeout = 300 * time.Millisecond
	// queueLengthsMaxAge is how long the queue lengths are cached.
	queueLengthsMaxAge = 500 * time.Millisecond
)

// frontend implements Frontend on the store.
type frontend struct {
	store *store.Client
	clock func() time.Time
	log   *zerolog.Logger
	meter *metrc.Fleet
	// admission is nil if no job is refused for load.
	admission *admission
	// tombstones are left for jobs that are cancelled while they are not stored.
	tombstones *tombstones
	// bodyBytes is the largest body while the configuration does not say.
	bodyBytes int64

	mu           sync.Mutex
	gate         *gate.Gate
	stopping     bool
	queueLengths record.Waiting
	// queueLengthsExpireAt is when the queue lengths must be read again.
	queueLengthsExpireAt time.Time
}

func newFrontend(s *store.Client, clock func() time.Time, log *zerolog.Logger, meter *metrc.Fleet, g *gate.Gate, bodyBytes int64) *frontend {
	return &frontend{store: s, clock: clock, log: log, meter: meter, gate: g, bodyBytes: bodyBytes}
}

// Resolve implements Frontend.
func (f *frontend) Resolve(caller Caller) (Route, error) {
	f.mu.Lock()
	queue, team, rest, err := f.gate.Admit(f.clock(), caller.Host, caller.Path, caller.Key)
	version := f.gate.Version()
	f.mu.Unlock()
	if err == nil {
		return Route{Queue: queue, Team: team, JobID: rest}, nil
	}
	logev.CallRefused.Log(f.log).Str("path", logev.Clip(caller.Path)).Int64("config-version", version).Err(err).Send()
	switch {
	case errors.Is(err, gate.ErrUnknownQueue):
		return Route{}, errors.Mark(err, ErrUnknownQueue)
	case errors.Is(err, gate.ErrUnauthorized):
		return Route{}, errors.Mark(err, ErrUnauthorized)
	default:
		return Route{}, errors.Mark(err, ErrNotReady)
	}
}

// MaxBody implements Frontend.
func (f *frontend) MaxBody() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if most := f.gate.RequestLimits().BodyBytes; most > 0 {
		return most
	}
	return f.bodyBytes
}

// requestLimits returns what the configuration allows for a request before its body.
func (f *frontend) requestLimits() guard.RequestLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := f.gate.RequestLimits()
	return guard.RequestLimits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// Ready implements Frontend.
func (f *frontend) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stopping && f.gate.Accepts(f.clock())
}

// Stopping implements Frontend.
func (f *frontend) Stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

func (f *frontend) stop() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
}

// Submit implements Frontend.
func (f *frontend) Submit(ctx context.Context, route Route, job record.Job) error {
	begin := time.Now()
	err := f.submit(ctx, route, job)
	switch {
	case err == nil:
		f.meter.Accepted.Inc()
	case errors.Is(err, ErrOutcomeUnknown):
		f.meter.Unknown.Inc()
	default:
		f.meter.Refused.Inc()
	}
	f.meter.SubmitLatency.UpdateDuration(begin)
	return err
}

func (f *frontend) submit(ctx context.Context, route Route, job record.Job) error {
	if err := jobs.Check(job); err != nil {
		logev.JobRefused.Log(f.log).Str("job", logev.Clip(job.ID)).Str("queue", job.Queue).Err(err).Send()
		return errors.Mark(err, ErrInvalid)
	}
	if err := jobs.CheckSupported(job, route.Queue); err != nil {
		logev.JobRefused.Log(f.log).Str("job", job.ID).Str("queue", job.Queue).Err(err).Send()
		return errors.Mark(err, ErrNotStored)
	}
	if err := jobs.CheckLimit(job, f.limit(job.Team)); err != nil {
		logev.JobRefused.Log(f.log).Str("job", job.ID).Str("queue", job.Queue).Str("team", job.Team).Err(err).Send()
		return errors.Mark(err, ErrNotStored)
	}
	var reason admit.Reason
	if f.admission != nil {
		var err error
		if reason, err = f.admission.check(ctx, route, job); err != nil {
			return err
		}
	}
	value, err := encodeJob(job)
	if err != nil {
		logev.JobRefused.Log(f.log).Str("job", job.ID).Str("queue", job.Queue).Err(err).Send()
		return errors.Mark(err, ErrInvalid)
	}
	row, err := f.store.Insert(ctx, store.Row{Key: jobKey(job.ID), Value: value}, refusalTimeout)
	tombstone, cancelled := tombstoneOf(row)
	switch {
	case err == nil && cancelled:
		err := f.tombstones.refusal(tombstone)
		logev.JobRefused.Log(f.log).Str("job", job.ID).Str("outcome", "cancelled before").
			Int64("row-version", row.Version).Err(err).Send()
		return err
	case err == nil:
		line := logev.JobRecorded.Log(f.log).Str("job", job.ID).Str("queue", job.Queue).Str("team", job.Team).
			Int64("row-version", row.Version)
		if f.admission != nil {
			line = line.Str("admission", string(reason))
		}
		line.Send()
		return nil
	case errors.Is(err, store.ErrUnanswered):
		logev.JobRefused.Log(f.log).Str("job", job.ID).Str("outcome", "open").Err(err).Send()
		return errors.Mark(err, ErrOutcomeUnknown)
	default:
		logev.JobRefused.Log(f.log).Str("job", job.ID).Str("outcome", "not stored").Err(err).Send()
		return errors.Mark(err, ErrNotStored)
	}
}

// limit returns what the team may have running.
func (f *frontend) limit(team string) record.Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Limit(team)
}

// State implements Frontend.
func (f *frontend) State(ctx context.Context, _ Route, id string) (record.JobState, error) {
	row, err := f.store.Read(ctx, progressKey(id))
	if err != nil {
		return "", errors.Mark(err, ErrNotReady)
	}
	if row.Version > 0 {
		var p record.Progress
		if err := decode(row.Value, &p); err != nil {
			return "", errors.Mark(err, ErrNotReady)
		}
		return p.State, nil
	}
	row, err = f.store.Read(ctx, jobKey(id))
	if err != nil {
		return "", errors.Mark(err, ErrNotReady)
	}
	if _, cancelled := tombstoneOf(row); row.Version == 0 || cancelled {
		return "", ErrUnknownJob
	}
	return record.Queued, nil
}

// Cancel implements Frontend.
func (f *frontend) Cancel(ctx context.Context, route Route, id string) error {
	if !jobs.ValidID(id) {
		return ErrUnknownJob
	}
	row, err := f.store.Read(ctx, jobKey(id))
	if err != nil {
		return errors.Mark(err, ErrNotReady)
	}
	if _, cancelled := tombstoneOf(row); row.Version == 0 || cancelled {
		err = f.tombstones.leave(ctx, route.Team, row)
	}
	if err != nil {
		return err
	}
	return f.recordCancel(ctx, id)
}

// recordCancel stores the cancellation of a stored job.
func (f *frontend) recordCancel(ctx context.Context, id string) error {
	value, err := encode(f.clock())
	if err != nil {
		return err
	}
	_, err = f.store.Insert(ctx, store.Row{Key: cancelKey(id), Value: value}, refusalTimeout)
	if err != nil {
		return writeError(err)
	}
	f.meter.Cancelled.Inc()
	logev.CancelRecorded.Log(f.log).Str("job", id).Send()
	return nil
}

// writeError marks the error of a write with what is known of its outcome.
func writeError(err error) error {
	if errors.Is(err, store.ErrUnanswered) {
		return errors.Mark(err, ErrOutcomeUnknown)
	}
	return errors.Mark(err, ErrNotStored)
}

// Waiting implements Frontend.
func (f *frontend) Waiting(ctx context.Context, route Route) (int, error) {
	f.mu.Lock()
	queueLengths, fresh := f.queueLengths, f.clock().Before(f.queueLengthsExpireAt)
	f.mu.Unlock()
	if !fresh {
		sentAt := f.clock()
		row, err := f.store.Read(ctx, waitingKey)
		if err != nil {
			return 0, errors.Mark(err, ErrNotReady)
		}
		queueLengths = record.Waiting{}
		if row.Version > 0 {
			if err := decode(row.Value, &queueLengths); err != nil {
				return 0, errors.Mark(err, ErrNotReady)
			}
		}
		f.mu.Lock()
		f.queueLengths, f.queueLengthsExpireAt = queueLengths, sentAt.Add(queueLengthsMaxAge)
		f.mu.Unlock()
	}
	for _, q := range queueLengths.Queues {
		if q.Queue == route.Queue.Name {
			return q.Jobs, nil
		}
	}
	return 0, nil
}

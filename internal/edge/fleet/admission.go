package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/admit"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// refreshInterval is the least time between two reads of the digest.
	refreshInterval = time.Second
	// refreshTimeout bounds the calls of one refresh.
	refreshTimeout = time.Second
	// knownTimeout bounds the read that tells whether a job to be refused is stored.
	knownTimeout = 300 * time.Millisecond
)

// Reasons for which a job is accepted that only the host knows.
const (
	reasonSeen    admit.Reason = "seen here before"
	reasonStored  admit.Reason = "stored before"
	reasonUnsure  admit.Reason = "may be stored before"
	reasonCrowded admit.Reason = "too many are refused already"
)

// OverloadError means that a job or a cancellation was refused for load. Nothing was
// stored, and its caller is to come back.
type OverloadError struct {
	Reason     admit.Reason
	ComeBackAt time.Time
}

// Error implements error.
func (e *OverloadError) Error() string {
	return "refused for load: " + string(e.Reason)
}

// Unwrap returns ErrNotStored.
func (e *OverloadError) Unwrap() error {
	return ErrNotStored
}

// RetryAt returns when the caller may come back.
func (e *OverloadError) RetryAt() time.Time {
	return e.ComeBackAt
}

// admission decides on submissions by the leader's digest of the load, which it reads
// in the background while there are submissions.
type admission struct {
	// store uses peers as well, direct this host's own connections only.
	store, direct *store.Client

	host  string
	clock func() time.Time
	log   *zerolog.Logger
	meter *metrc.Fleet

	mu     sync.Mutex
	digest *admit.Digest
	// version is that of the newest row read.
	version int64
	// current is set while decisions have a digest that is not too old.
	current bool
	// refreshing is set while a refresh is in progress or due.
	refreshing  bool
	nextRefresh time.Time
	// refreshedAt is when the newest refresh ended.
	refreshedAt time.Time
	seen        recentIDs
	refusals    refusals
}

func newAdmission(s Stores, host string, clock func() time.Time, log *zerolog.Logger, meter *metrc.Fleet) *admission {
	return &admission{
		store: s.Relayed, direct: s.Direct, host: host, clock: clock, log: log, meter: meter, current: true, refusals: newRefusals(),
	}
}

// check returns why a job is accepted, or an OverloadError if it is refused. A job that
// may be stored is not refused, so a refusal reads the job's row in place of the
// insertion.
func (a *admission) check(ctx context.Context, route Route, job record.Job) (admit.Reason, error) {
	a.wake()
	answer := a.decide(route, job)
	if answer.Accept {
		return answer.Reason, nil
	}
	if reason := a.mayBeStored(ctx, job.ID); reason != "" {
		a.markSeen(job.ID)
		return reason, nil
	}
	if reason := a.remember(job.ID, answer); reason != "" {
		return reason, nil
	}
	if answer.Reason == admit.AboveShare {
		a.meter.RefusedShare.Inc()
	} else {
		a.meter.RefusedLate.Inc()
	}
	a.wake()
	in := answer.ComeBackAt.Sub(a.store.Clock())
	logev.LoadRefused.Log(a.log).Str("job", job.ID).Str("queue", job.Queue).Str("team", job.Team).
		Str("reason", string(answer.Reason)).Dur("delay-ms", answer.Delay).Dur("come-back-in-ms", in).Send()
	return "", &OverloadError{Reason: answer.Reason, ComeBackAt: a.clock().Add(in)}
}

// decide decides by the digest, and marks a job as seen if it is accepted.
func (a *admission) decide(route Route, job record.Job) admit.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen.has(job.ID) {
		return admit.Answer{Accept: true, Reason: reasonSeen}
	}
	now := a.store.Clock()
	request := admit.Request{Digest: a.digest, Job: job, Queue: route.Queue, Now: now, Earlier: a.refusals.of(job.ID)}
	if a.digest != nil {
		request.Age = now.Sub(a.digest.ComputedAt)
	}
	answer := admit.Decide(request)
	a.noteDigest(answer.Reason, request.Age)
	if answer.Accept {
		a.seen.add(now, job.ID)
	}
	return answer
}

// noteDigest logs when decisions begin to lack a current digest though it was read lately,
// and when they have one again. The caller holds a.mu.
func (a *admission) noteDigest(reason admit.Reason, age time.Duration) {
	current := reason != admit.NoDigest && reason != admit.OldDigest
	if !current {
		a.meter.WithoutDigest.Inc()
	}
	if current == a.current || !current && a.clock().Sub(a.refreshedAt) > 2*refreshInterval {
		return
	}
	a.current = current
	if current {
		logev.DigestBack.Log(a.log).Int64("epoch", a.digest.Epoch).Dur("age-ms", age).Send()
	} else {
		logev.DigestLost.Log(a.log).Str("reason", string(reason)).Dur("age-ms", age).Send()
	}
}

// mayBeStored returns why a job may be stored, or nothing if it is certainly not.
func (a *admission) mayBeStored(ctx context.Context, id string) admit.Reason {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	row, err := a.store.Read(ctx, jobKey(id))
	switch {
	case err != nil:
		return reasonUnsure
	case row.Version > 0:
		return reasonStored
	default:
		return ""
	}
}

func (a *admission) markSeen(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen.add(a.store.Clock(), id)
}

// remember records a refusal, so that its caller is not refused again once it comes
// back as told. It returns why the job is accepted all the same if another call has
// submitted it meanwhile, or if no more refusals can be recorded.
func (a *admission) remember(id string, answer admit.Answer) admit.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.store.Clock()
	if a.seen.has(id) {
		return reasonSeen
	}
	if !a.refusals.add(now, id, answer) {
		a.seen.add(now, id)
		return reasonCrowded
	}
	return ""
}

// wake starts a refresh, unless one is in progress, due or younger than the interval.
// After a refusal that other hosts are not told of yet, one is due in any case.
func (a *admission) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	wait := a.nextRefresh.Sub(now)
	if a.refreshing || wait > 0 && !a.refusals.changed {
		return
	}
	a.refreshing = true
	go func() {
		time.Sleep(max(0, wait))
		a.refresh()
	}()
}

// refresh reads the digest, and exchanges refusals with the other hosts.
func (a *admission) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	a.mu.Lock()
	a.nextRefresh = a.clock().Add(refreshInterval)
	a.mu.Unlock()
	row, err := a.store.Read(ctx, waitingKey)
	if err == nil {
		a.setDigest(row)
		a.exchange(ctx)
	}
	a.mu.Lock()
	a.refreshing, a.refreshedAt = false, a.clock()
	a.mu.Unlock()
}

// setDigest takes over the digest in a row. An answer that is older than one that was
// read before is ignored. A row that cannot be read leaves no digest, and is logged once.
func (a *admission) setDigest(row store.Row) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if row.Version <= a.version {
		if row.Version == 0 {
			a.digest = nil
		}
		return
	}
	a.version = row.Version
	var waiting record.Waiting
	err := decode(row.Value, &waiting)
	if err == nil {
		a.digest, err = admit.NewDigest(waiting)
	}
	if err == nil {
		return
	}
	a.digest = nil
	if !errors.Is(err, admit.ErrNone) {
		logev.RowSkipped.Log(a.log).Str("table", row.Key.Table).Str("row", row.Key.Name).Err(err).Send()
	}
}

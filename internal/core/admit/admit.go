// Package admit decides whether a host accepts a job while the platform is overloaded,
// or refuses it and tells its caller when to come back. It answers overload in which
// jobs are stored that end after they have lost their value, and one team that submits
// far more than its share beside others that wait. Each host's frontend calls it for
// each submission, with the digest that the leader writes; it performs no I/O.
//
// A wrong refusal costs more than a job that is stored and comes too late. So whatever
// is not known counts in the job's favour.
package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// MaxDigestAge is the age from which a digest is not used any more.
	MaxDigestAge = 3 * time.Second
	// MinComeBack is the shortest time for which a caller is sent away. In less, the
	// other hosts may not have learned of the refusal.
	MinComeBack = 3 * time.Second
	// MaxComeBack is the longest time for which a caller is sent away.
	MaxComeBack = 30 * time.Second
	// clockBound is how far two hosts' readings of the store's clock may differ.
	clockBound = 100 * time.Millisecond
	// spreadShare and minSpread are the part of that time, and the least time, over
	// which callers are spread.
	spreadShare = 0.25
	minSpread   = time.Second
	// partialFactor is the ratio of the time in which a job has a part of its value to
	// that in which it has all of it. The planner leaves jobs beyond it until last.
	partialFactor = 3
	// estimateError is the part of its estimate by which a run may be shorter.
	estimateError = 0.9
	// forecastMargin is the part of the time allowed by which a job must be too late:
	// the forecast rests on estimates, and small jobs fit where it sees no room.
	forecastMargin = 0.5
)

// Reason says why a job is accepted or refused.
type Reason string

// The reasons for which a job is accepted.
const (
	NoDigest  Reason = "no digest"
	OldDigest Reason = "digest is old"
	// Unbounded jobs have no time by which they must end, or none that they can meet.
	Unbounded Reason = "no time limit"
	// StartsNow jobs find free capacity.
	StartsNow  Reason = "capacity is free"
	Guaranteed Reason = "within the guarantee"
	// InTime jobs may end while they have value.
	InTime Reason = "may end in time"
	// CameBack jobs were refused before and came back as told.
	CameBack Reason = "came back as told"
)

// The reasons for which a job is refused.
const (
	// TooLate jobs would end after they have lost all value.
	TooLate Reason = "would end too late"
	// AboveShare jobs would end late and belong to a team above its share or rate.
	AboveShare Reason = "team is above its share"
)

// Refusal is an earlier refusal of the same job.
type Refusal struct {
	Reason     Reason
	ComeBackAt time.Time
}

// Request is a submission and what is known when it arrives.
type Request struct {
	// Digest is nil if none is known.
	Digest *Digest
	// Age is that of the digest.
	Age   time.Duration
	Job   record.Job
	Queue rules.Queue
	Now   time.Time
	// Earlier holds the newest refusal of the job for each reason.
	Earlier []Refusal
}

// Answer is the decision on a submission.
type Answer struct {
	Accept bool
	Reason Reason
	// Delay is the least time until the job is expected to start.
	Delay time.Duration
	// ComeBackAt is when capacity is expected for a job that is refused.
	ComeBackAt time.Time
}

// Decide decides on a submission.
func Decide(r Request) Answer {
	switch {
	case r.Digest == nil:
		return accept(NoDigest)
	case r.Age.Abs() > MaxDigestAge:
		return accept(OldDigest)
	}
	load := r.Digest.queues[r.Queue.Name]
	wait := delay(load, firstNeeds(r.Job)) - max(0, r.Age)
	switch {
	case len(load.Starts) == 0, wait <= 0:
		return accept(StartsNow)
	case r.Queue.Priority == 0 && !r.Digest.beyondGuarantee[r.Job.Team]:
		return accept(Guaranteed)
	}
	t := timesOf(r.Job, r.Queue, load.RunPercent)
	var reason Reason
	switch {
	case !t.bounded, t.run > t.useful:
		return accept(Unbounded)
	case wait+t.run > t.useful:
		reason = TooLate
	case r.Digest.aboveShare[r.Job.Team] && wait+t.run > t.full:
		reason = AboveShare
	default:
		return accept(InTime)
	}
	return refuse(r, reason, wait)
}

func accept(reason Reason) Answer {
	return Answer{Accept: true, Reason: reason}
}

// refuse refuses a job, unless its caller has come back as told after a refusal for the
// same reason. A caller who comes back early is told the same time again.
func refuse(r Request, reason Reason, wait time.Duration) Answer {
	at := r.Now.Add(comeBackAfter(r.Job.ID, wait))
	for _, e := range r.Earlier {
		switch {
		case e.Reason != reason:
		case !r.Now.Before(e.ComeBackAt.Add(-clockBound)):
			return accept(CameBack)
		default:
			at = e.ComeBackAt
		}
	}
	return Answer{Reason: reason, Delay: wait, ComeBackAt: at}
}

// comeBackAfter returns for how long a caller is sent away: until capacity is expected,
// and a part of that longer, which depends on the job's identifier alone, so that
// callers do not come back together.
func comeBackAfter(id string, wait time.Duration) time.Duration {
	wait = min(wait, MaxComeBack)
	spread := minSpread + time.Duration(spreadShare*float64(wait))
	base := min(max(wait, MinComeBack), MaxComeBack-spread)
	const parts = 1000
	return base + spread*time.Duration(xxhash.Sum64String(id)%parts)/parts
}

// firstNeeds returns what each first start of the job takes that may come first.
func firstNeeds(job record.Job) []record.Amount {
	var needs []record.Amount
	for i := range job.Steps {
		s := &job.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		tasks := 1
		if s.Gang {
			tasks = s.Tasks
		}
		needs = append(needs, amount.Times(s.Need, tasks))
	}
	return needs
}

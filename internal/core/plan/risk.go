package plan

import (
	"math/bits"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/trust"
)

const (
	// maxHeldBack is the share of a target's capacity that is kept from work, because
	// its workers are avoided or on trial, while work waits.
	maxHeldBack = 0.25
	// maxTrialWork is the longest expected duration of a task that tries a worker, so
	// that the result is known soon.
	maxTrialWork = 5 * time.Second
	// firstAvoidanceShare is the length of a worker's first avoidance as a share of
	// that of a quarantine. A trial costs one attempt of a task that has others left,
	// so it can come earlier than the end of a quarantine.
	firstAvoidanceShare = 0.5
	// settleTime is how long after a job's failure a fault of many workers has mostly
	// shown itself by the failures of other jobs.
	settleTime = time.Second
	// reviewInterval is the least time between two reviews if no run has failed, since
	// passes may follow each other within milliseconds.
	reviewInterval = 50 * time.Millisecond
)

// riskState is what the planner knows about the risk of workers. The ledger is nil
// while the policy is off; then no decision depends on the rest.
type riskState struct {
	ledger *trust.Ledger
	wave   bool
	// unsteady is set while some worker leaves again and again.
	unsteady bool
	// reviewedAt is when the newest review was, and nextReview the earliest time of the
	// next one.
	reviewedAt, nextReview time.Time
	// gang is the gang to which limits apply, as of the time.
	gang   *gang
	at     time.Time
	limits riskLimits
	// heldAttempts holds the gangs that were kept waiting in this pass to spare their last
	// attempt, and heldBefore those of the pass before.
	heldAttempts, heldBefore map[*gang]bool
	// fitsSteady caches whether the gangs of a step fit on workers that stay.
	fitsSteady map[rankKey]bool
}

// riskLimits holds what decides which workers are too risky for a gang. It is a part
// of the key of gangs that are placed alike.
type riskLimits struct {
	// lastAttempt is set for a gang that spares its last attempt, and provenOnly if the
	// gang waits for workers on which runs have succeeded in a wave of failures.
	lastAttempt, provenOnly bool
	// trial is set for a gang that may try a worker.
	trial bool
	// duration is the expected duration, rounded up, of a gang that must not be placed on
	// workers that will leave before its end; otherwise 0.
	duration time.Duration
}

func newRiskState(timing Timing, policy Policy) riskState {
	if !policy.WorkerRisk {
		return riskState{}
	}
	pause := time.Duration(firstAvoidanceShare * float64(timing.Quarantine))
	return riskState{ledger: trust.New(pause)}
}

// add adds the end of a run. A failure is reviewed before anything else is placed.
func (s *riskState) add(e trust.Event) {
	s.ledger.Add(e)
	if e.Kind == trust.Failed {
		s.nextReview = time.Time{}
	}
}

// reviewRisk updates the standing of all workers before a placement pass.
func (m *Model) reviewRisk(now time.Time) {
	s := &m.risk
	if s.ledger == nil {
		return
	}
	s.gang, s.fitsSteady = nil, map[rankKey]bool{}
	s.heldAttempts, s.heldBefore = map[*gang]bool{}, s.heldAttempts
	if now.Before(s.nextReview) {
		return
	}
	s.nextReview = now.Add(reviewInterval)
	s.unsteady = false
	s.ledger.Review(now)
	standings := make([]trust.Standing, len(m.sortedWorkers))
	for i, w := range m.sortedWorkers {
		standings[i] = s.ledger.Standing(now, w.ID)
		s.unsteady = s.unsteady || standings[i].Stay > 0
		s.wave = standings[i].Wave
	}
	heldBack := m.heldBack(standings)
	s.reviewedAt = now
	for i, w := range m.sortedWorkers {
		m.reportStanding(w, standings[i])
		w.standing, w.judged = standings[i], standings[i].Class
		if !heldBack[w.ID] {
			w.standing.Class = trust.Sound
		}
	}
}

// heldBack returns the workers that are kept from work among those that are avoided or
// on trial: all of a target on which no gang waits since an earlier review, and a part of
// the capacity of any other.
func (m *Model) heldBack(standings []trust.Standing) map[string]bool {
	suspects := map[string][]trust.Suspect{}
	sizes := map[string]float64{}
	for i, w := range m.sortedWorkers {
		if !w.listed || w.Draining || m.outOfService[w.Domain] {
			continue
		}
		size := amount.CoreEquivalents(w.Capacity)
		sizes[w.Target] += size
		if st := standings[i]; st.Class != trust.Sound {
			suspects[w.Target] = append(suspects[w.Target], trust.Suspect{Worker: w.ID, Suspicion: st.Suspicion, Size: size})
		}
	}
	waits := map[string]bool{}
	for _, g := range m.queue {
		if g.readyAt.Before(m.risk.reviewedAt) {
			waits[g.job.queue.Target] = true
		}
	}
	held := map[string]bool{}
	for target, of := range suspects {
		limit := sizes[target]
		if waits[target] {
			limit *= maxHeldBack
		}
		for id := range trust.Limit(of, limit) {
			held[id] = true
		}
	}
	return held
}

// reportStanding reports what changes with a worker's new standing.
func (m *Model) reportStanding(w *worker, s trust.Standing) {
	before := &w.standing
	switch {
	case s.Class == trust.Avoided && w.judged != trust.Avoided:
		m.reportDecision(WorkerAvoided, nil, w, "until "+s.Until.UTC().Format(time.RFC3339Nano))
	case s.Class == trust.OnTrial && w.judged != trust.OnTrial:
		m.reportDecision(WorkerTried, nil, w, "one short task at a time")
	case s.Class == trust.Sound && w.judged != trust.Sound:
		m.reportDecision(WorkerTrusted, nil, w, "")
	}
	switch {
	case s.Stay > 0 && before.Stay == 0:
		m.reportDecision(WorkerUnsteady, nil, w, "it leaves about each "+s.Stay.String())
	case s.Stay == 0 && before.Stay > 0:
		m.reportDecision(WorkerUnsteady, nil, w, "it stays again")
	}
}

// noteHeldAttempt reports once that a gang waits to spare its last attempt.
func (m *Model) noteHeldAttempt(g *gang, reason string) {
	if !m.risk.heldBefore[g] && !m.risk.heldAttempts[g] {
		m.reportDecision(AttemptHeld, g, nil, reason)
	}
	m.risk.heldAttempts[g] = true
}

// noteLimits reports once that a gang which could not be placed waits for workers on
// which runs have succeeded.
func (m *Model) noteLimits(g *gang, limits riskLimits) {
	if limits.provenOnly {
		m.noteHeldAttempt(g, "many workers fail, and one attempt is left")
	}
}

// riskLimitsOf returns the limits for a gang. They are computed once for each search.
func (m *Model) riskLimitsOf(now time.Time, g *gang) riskLimits {
	s := &m.risk
	if s.ledger == nil {
		return riskLimits{}
	}
	if s.gang == g && s.at.Equal(now) {
		return s.limits
	}
	s.gang, s.at = g, now
	s.limits = riskLimits{trial: m.mayTry(g)}
	if m.sparesAttempt(now, g) {
		s.limits.lastAttempt, s.limits.provenOnly = true, s.wave
	}
	if s.unsteady && !g.spec().SavesProgress {
		s.limits.duration = roundUp(m.expectedDuration(g))
	}
	return s.limits
}

// roundUp rounds a length of time up to a power of two, so that gangs of similar length
// are treated alike.
func roundUp(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(1) << bits.Len64(uint64(d-1))
}

// lastAttempt reports whether the next failure of the gang ends its job.
func (g *gang) lastAttempt() bool {
	limit := g.job.queue.MaxAttempts
	return limit > 0 && len(g.failedAttempts)+1 >= limit && !g.spec().Perpetual
}

// sparesAttempt reports whether the gang has one attempt left and may wait for workers
// that are not suspect. Urgent work may end no later than for its full value, and must
// start in time within its team's guarantee; other work keeps a part of its value, which
// is more than it has if it fails.
func (m *Model) sparesAttempt(now time.Time, g *gang) bool {
	if !g.lastAttempt() {
		return false
	}
	urgent := g.job.queue.Priority == 0
	if urgent && m.mustReclaim(now, g) {
		return false
	}
	full, partial := m.deadlines(g.job)
	if urgent {
		partial = full
	}
	return now.Before(partial.Add(-m.expectedDuration(g)))
}

// awaitsWave reports whether a gang with one attempt left has failed so recently that
// the failures of other jobs may still follow. It waits for them only as long as that
// doesn't make it late.
func (m *Model) awaitsWave(now time.Time, g *gang) bool {
	s := &m.risk
	if s.ledger == nil || s.wave || len(g.failedAttempts) == 0 || !m.sparesAttempt(now, g) {
		return false
	}
	full, _ := m.deadlines(g.job)
	if now.Sub(s.ledger.LastFailure(g.job.spec.ID)) >= settleTime || !now.Before(full.Add(-m.expectedDuration(g))) {
		return false
	}
	m.noteHeldAttempt(g, "its failure is recent, and one attempt is left")
	return true
}

// mayTry reports whether the gang may try a worker on which tasks have failed: a short
// task that is not urgent, has not failed yet and may fail once without harm.
func (m *Model) mayTry(g *gang) bool {
	return g.size == 1 && g.job.queue.Priority != 0 && !g.spec().Perpetual &&
		len(g.failedAttempts) == 0 && !g.lastAttempt() && m.expectedDuration(g) <= maxTrialWork
}

// limitByRisk returns how many of the slots of a worker a gang may use.
func (m *Model) limitByRisk(now time.Time, g *gang, w *worker, slots int) int {
	if m.risk.ledger == nil || slots == 0 || g.lastResort {
		return slots
	}
	limits, s := m.riskLimitsOf(now, g), &w.standing
	switch {
	case s.Class == trust.Avoided,
		s.Class == trust.OnTrial && (!limits.trial || w.onTrial()),
		limits.lastAttempt && s.Suspicion > 0,
		limits.provenOnly && !s.Proven,
		limits.duration > 0 && m.tooShortStay(now, g, w, limits.duration):
		return 0
	case s.Class == trust.OnTrial:
		return 1
	default:
		return slots
	}
}

// onTrial reports whether the worker has a run that began since its trial did.
func (w *worker) onTrial() bool {
	for _, r := range w.runs {
		if !r.sentAt.Before(w.standing.Until) {
			return true
		}
	}
	return false
}

// tooShortStay reports whether the worker leaves too often for the gang, and others
// can hold it.
func (m *Model) tooShortStay(now time.Time, g *gang, w *worker, work time.Duration) bool {
	if !g.spec().Perpetual && w.standing.Outlasts(now, work) || w.standing.Stay == 0 {
		return false
	}
	key := rankKey{g.job, g.step}
	fits, known := m.risk.fitsSteady[key]
	if !known {
		slots := 0
		for _, o := range m.view.usable[g.job.queue.Target] {
			if o.standing.Stay == 0 && m.eligible(g, o) {
				slots += g.slotsOnEmpty(o)
			}
		}
		fits = slots >= g.size
		m.risk.fitsSteady[key] = fits
	}
	return fits
}

// compareRisk orders workers for a gang: those on trial first, since only the tasks
// that try them get there, then those that stay, then, if a failure would be costly,
// those on which runs have succeeded, then by suspicion. Without the policy all are
// equal.
func compareRisk(g *gang, a, b *worker) int {
	s, o := &a.standing, &b.standing
	if s.Class != o.Class {
		return falseFirst(s.Class != trust.OnTrial, o.Class != trust.OnTrial)
	}
	if (s.Stay > 0) != (o.Stay > 0) {
		return falseFirst(s.Stay > 0, o.Stay > 0)
	}
	costly := g.lastAttempt() || s.Wave && g.size > 1
	if costly && s.Proven != o.Proven {
		return falseFirst(!s.Proven, !o.Proven)
	}
	switch {
	case s.Suspicion < o.Suspicion:
		return -1
	case s.Suspicion > o.Suspicion:
		return 1
	default:
		return 0
	}
}

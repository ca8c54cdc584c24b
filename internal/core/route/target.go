package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// failuresBeforeEjection is the number of consecutive failed dispatches
	// after which a target is ejected.
	failuresBeforeEjection = 3
	// busyPause is how long a target gets no requests after it refused one.
	busyPause = 20 * time.Millisecond
	// initialServiceTime is the mean service time before the first reply.
	initialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight is the weight of the latest service time in the
	// exponentially weighted mean.
	serviceTimeWeight = 0.1
	// maxRetryBudget is the initial and maximum retry budget: a burst of this
	// many retries is allowed beyond Limits.RetryShare.
	maxRetryBudget = 10
)

// Instance is a target with its load and health as seen by this host.
type Instance struct {
	Target
	// InFlight is the number of requests that this host has sent to the target
	// and that have no reply yet.
	InFlight int
	// Busy is the number of slots in use, as last reported by the target.
	Busy                int
	consecutiveFailures int
	// ejections is the number of ejections since the last complete reply.
	ejections int
	// pausedUntil is the end of the pause after a refusal or an ejection.
	pausedUntil time.Time
	// probing limits a target to one request at a time, from its ejection to
	// its next complete reply.
	probing bool
	// listed is false once the target is missing from the host list. It is
	// kept until its requests in flight have ended.
	listed bool
}

// LeastOfTwo chooses the less loaded of two random candidates.
type LeastOfTwo struct{}

// Choose implements Chooser.
func (LeastOfTwo) Choose(candidates []*Instance, random *rand.Rand) *Instance {
	a := candidates[random.IntN(len(candidates))]
	b := candidates[random.IntN(len(candidates))]
	if b.load() < a.load() {
		return b
	}
	return a
}

// Random chooses any candidate. It is the baseline for benchmarks.
type Random struct{}

// Choose implements Chooser.
func (Random) Choose(candidates []*Instance, random *rand.Rand) *Instance {
	return candidates[random.IntN(len(candidates))]
}

// LeastLoaded chooses the least loaded of all candidates. The search starts at
// a random candidate, so that hosts don't all prefer the same one on a tie.
type LeastLoaded struct{}

// Choose implements Chooser.
func (LeastLoaded) Choose(candidates []*Instance, random *rand.Rand) *Instance {
	first := random.IntN(len(candidates))
	best := candidates[first]
	for i := range candidates {
		c := candidates[(first+i)%len(candidates)]
		if c.load() < best.load() {
			best = c
		}
	}
	return best
}

// load returns the larger of this host's requests in flight and the slots that
// the target last reported as in use.
func (i *Instance) load() int {
	return max(i.InFlight, i.Busy)
}

// setTargets replaces the list of targets. A target that left the list stays
// while it has requests in flight.
func (m *Model[C]) setTargets(targets []Target) {
	for _, i := range m.targets {
		i.listed = false
	}
	for _, t := range targets {
		i, ok := m.targets[t.ID]
		if !ok {
			i = &Instance{}
			m.targets[t.ID] = i
		}
		i.Target = t
		i.listed = true
	}
	m.sortedTargets = m.sortedTargets[:0]
	for id, i := range m.targets {
		if !i.listed && i.InFlight == 0 {
			delete(m.targets, id)
			continue
		}
		m.sortedTargets = append(m.sortedTargets, i)
	}
	slices.SortFunc(m.sortedTargets, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// eligible reports whether the target is in service, regardless of its load and
// health.
func (m *Model[C]) eligible(i *Instance) bool {
	return i.listed && !i.Leaving && !m.outOfService[i.Domain]
}

// slotShare returns the number of the target's slots that this host may use.
func (m *Model[C]) slotShare(i *Instance) int {
	if i.probing {
		return 1
	}
	return max(1, (i.Slots+m.liveHosts-1)/m.liveHosts)
}

// totalSlots returns the number of slots that this host may use on all targets.
func (m *Model[C]) totalSlots() int {
	total := 0
	for _, i := range m.sortedTargets {
		if m.eligible(i) {
			total += m.slotShare(i)
		}
	}
	return total
}

// dispatch sends queued requests in order, while targets have free slots.
func (m *Model[C]) dispatch(now time.Time) {
	if len(m.queue) == 0 || !m.mayDecide(now) {
		return
	}
	free := m.candidates(now)
	rest := m.queue[:0]
	for n, r := range m.queue {
		if len(free) == 0 {
			rest = append(rest, m.queue[n:]...)
			break
		}
		i := m.chooser.Choose(preferUntried(free, r), m.random)
		m.send(r, i)
		if i.InFlight >= m.slotShare(i) {
			free = slices.DeleteFunc(free, func(c *Instance) bool { return c == i })
		}
	}
	m.queue = rest
}

// candidates returns the targets that may get a request now.
func (m *Model[C]) candidates(now time.Time) []*Instance {
	free := make([]*Instance, 0, len(m.sortedTargets))
	for _, i := range m.sortedTargets {
		if !m.eligible(i) || now.Before(i.pausedUntil) || i.InFlight >= m.slotShare(i) {
			continue
		}
		free = append(free, i)
	}
	return free
}

// preferUntried returns the targets that the request has not been sent to, or
// all if it has been sent to each of them.
func preferUntried(free []*Instance, r *request) []*Instance {
	if len(r.tried) == 0 {
		return free
	}
	untried := make([]*Instance, 0, len(free))
	for _, i := range free {
		if !r.tried[i.ID] {
			untried = append(untried, i)
		}
	}
	if len(untried) == 0 {
		return free
	}
	return untried
}

func (m *Model[C]) send(r *request, i *Instance) {
	r.phase = dispatched
	r.attempts++
	r.tried[i.ID] = true
	i.InFlight++
	rule := RuleChoose
	if r.attempts > 1 {
		rule = RuleRetry
	} else {
		m.retryBudget = min(m.retryBudget+m.limits.RetryShare, maxRetryBudget)
	}
	m.emitDecision(r, rule, i.ID, "")
	m.emit(DispatchCmd{
		Ticket: r.ticket, Target: i.ID, Address: i.Address, Call: r.call,
		SendBy: earlier(r.call.Deadline, m.freshness.FreshUntil),
	})
}

// handleReply handles the result of a dispatch. A request that certainly did
// not run is queued again, whether it is idempotent or not.
func (m *Model[C]) handleReply(now time.Time, msg ReplyMsg) {
	if i, ok := m.targets[msg.Target]; ok {
		i.InFlight--
		m.updateHealth(now, i, msg)
	}
	r, ok := m.requests[msg.Ticket]
	if !ok || r.phase != dispatched {
		return
	}
	switch msg.Result {
	case ReplyComplete:
		m.meanServiceTime += time.Duration(serviceTimeWeight * float64(msg.Took-m.meanServiceTime))
		m.finish(now, r, Answer{Outcome: Answered, Reply: msg.Reply})
	case ReplyRefused, ReplyNotSent:
		m.enqueue(r)
	case ReplyUnknown:
		m.handleUnknownOutcome(now, r, msg.Detail)
	}
}

// handleUnknownOutcome retries an idempotent request if attempts, budget and
// time are left. Otherwise the caller is answered that the outcome is unknown.
func (m *Model[C]) handleUnknownOutcome(now time.Time, r *request, detail string) {
	mayRetry := !r.call.NonIdempotent && r.attempts < m.limits.Attempts && m.retryBudget >= 1
	if mayRetry && now.Before(r.call.Deadline) {
		m.retryBudget--
		m.enqueue(r)
		return
	}
	m.emitDecision(r, RuleUnknown, "", detail)
	m.finish(now, r, Answer{Outcome: Unknown, Reason: detail})
}

// updateHealth pauses a target that is full and ejects one that keeps failing.
func (m *Model[C]) updateHealth(now time.Time, i *Instance, msg ReplyMsg) {
	switch msg.Result {
	case ReplyComplete:
		i.Busy = msg.Busy
		i.consecutiveFailures, i.ejections, i.probing = 0, 0, false
	case ReplyRefused:
		i.Busy = msg.Busy
		i.pausedUntil = now.Add(busyPause)
	case ReplyNotSent, ReplyUnknown:
		i.consecutiveFailures++
		if i.consecutiveFailures >= failuresBeforeEjection || i.probing {
			m.eject(now, i)
		}
	}
}

// eject pauses a target, for twice as long with each ejection in a row, and
// limits it to one probing request afterwards.
func (m *Model[C]) eject(now time.Time, i *Instance) {
	pause := min(m.limits.BaseEjectionTime<<min(i.ejections, 10), m.limits.MaxEjectionTime)
	i.ejections++
	i.consecutiveFailures = 0
	i.probing = true
	i.pausedUntil = now.Add(pause)
}

package route

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/claim"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// The rules behind routing decisions, as written to the log and, for refusals,
// to the caller.
const (
	RuleAdmit     = "admit"
	RuleChoose    = "choose"
	RuleRetry     = "retry"
	RuleStale     = "configuration-not-current"
	RuleStopping  = "stopping"
	RuleNoClaims  = "claims-unavailable"
	RuleQueueFull = "queue-full"
	RuleTooLate   = "deadline-cannot-be-met"
	RuleNoTarget  = "no-target-in-service"
	RuleEvicted   = "evicted-by-earlier-deadline"
	RuleRepeat    = "recorded-outcome"
	RuleUnknown   = "outcome-unknown"
	RuleDuplicate = "identifier-in-use"
)

// admit accepts a request or refuses it at once. An idempotent request is
// queued; any other is claimed first.
func (m *Model[C]) admit(now time.Time, msg RequestMsg) {
	r := &request{ticket: msg.Ticket, call: msg.Call, arrivedAt: now, tried: map[string]bool{}}
	if r.call.NonIdempotent && m.joinRepeat(r) {
		return
	}
	if rule := m.refusalRule(now, r); rule != "" {
		m.refuse(now, r, rule)
		return
	}
	m.requests[r.ticket] = r
	m.emitDecision(r, RuleAdmit, "", "")
	if !r.call.NonIdempotent {
		m.enqueue(r)
		return
	}
	r.phase = claiming
	r.claimDeadline = earlier(r.call.Deadline, now.Add(m.limits.ClaimWait))
	m.claims[r.call.ID] = r
	m.emit(ClaimCmd{Ticket: r.ticket, Call: r.call})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// joinRepeat attaches a repeat of a request in progress on this host to that
// request, so that both callers get the same answer. It reports whether the
// repeat needs no further handling.
func (m *Model[C]) joinRepeat(r *request) bool {
	first, ok := m.claims[r.call.ID]
	if !ok || first.phase == abandoned {
		return false
	}
	if claim.Digest(first.call) != claim.Digest(r.call) {
		m.emitDecision(r, RuleDuplicate, "", "")
		m.emit(AnswerCmd{Ticket: r.ticket, Answer: Answer{Outcome: Duplicate, Reason: "the identifier belongs to another request"}})
		return true
	}
	first.repeatTickets = append(first.repeatTickets, r.ticket)
	m.emitDecision(r, RuleRepeat, "", "joined the request in progress")
	return true
}

// refusalRule returns the rule by which a new request is refused, or the empty
// string. It may evict a queued request from a full queue.
func (m *Model[C]) refusalRule(now time.Time, r *request) string {
	switch {
	case m.draining:
		return RuleStopping
	case !m.mayDecide(now):
		return RuleStale
	case r.call.NonIdempotent && !m.freshness.ClaimsAvailable:
		return RuleNoClaims
	case !now.Before(m.dispatchDeadline(r)):
		return RuleTooLate
	case m.totalSlots() == 0:
		return RuleNoTarget
	case now.Add(m.expectedWait(r)).After(r.call.Deadline):
		return RuleTooLate
	case len(m.queue) >= m.limits.Queue && !m.evictLessUrgent(now, r):
		return RuleQueueFull
	default:
		return ""
	}
}

// expectedWait estimates the time that a request queued now waits for a slot.
func (m *Model[C]) expectedWait(r *request) time.Duration {
	ahead, _ := slices.BinarySearchFunc(m.queue, r, byUrgency)
	if ahead == 0 {
		return 0
	}
	return m.meanServiceTime * time.Duration(ahead) / time.Duration(max(1, m.totalSlots()))
}

// evictLessUrgent evicts the last request of a full queue if r is more urgent,
// and reports whether it did.
func (m *Model[C]) evictLessUrgent(now time.Time, r *request) bool {
	last := m.queue[len(m.queue)-1]
	if byUrgency(r, last) >= 0 {
		return false
	}
	m.queue = m.queue[:len(m.queue)-1]
	m.giveUp(now, last, RuleEvicted)
	return true
}

// byUrgency orders requests by class, then by deadline, then by arrival.
func byUrgency(a, b *request) int {
	if a.call.Class != b.call.Class {
		if a.call.Class == schema.Patient {
			return 1
		}
		if b.call.Class == schema.Patient {
			return -1
		}
	}
	if c := a.call.Deadline.Compare(b.call.Deadline); c != 0 {
		return c
	}
	return int(a.ticket - b.ticket)
}

func (m *Model[C]) enqueue(r *request) {
	r.phase = queued
	i, _ := slices.BinarySearchFunc(m.queue, r, byUrgency)
	m.queue = slices.Insert(m.queue, i, r)
}

// refuse answers a request that was not accepted.
func (m *Model[C]) refuse(now time.Time, r *request, rule string) {
	m.emitDecision(r, rule, "", "")
	m.emit(AnswerCmd{Ticket: r.ticket, Answer: m.refusal(now, r, rule)})
}

// refusal returns the answer to a request that this host did not dispatch, or
// that each target refused. If an earlier call with the identifier may have run
// elsewhere, the outcome is Unknown rather than NotRun.
func (m *Model[C]) refusal(now time.Time, r *request, rule string) Answer {
	answer := m.notRun(now, rule)
	if r.call.NonIdempotent && !r.claimed && (r.heldElsewhere || r.call.Repeat) {
		answer.Outcome = Unknown
		answer.Reason = "an earlier request with this identifier may have run; " + rule
	}
	return answer
}

// notRun returns an answer that asks the caller to retry once the queue is
// likely to have drained.
func (m *Model[C]) notRun(now time.Time, rule string) Answer {
	wait := m.limits.RetryAfter
	if slots := m.totalSlots(); slots > 0 {
		wait += m.meanServiceTime * time.Duration(len(m.queue)) / time.Duration(slots)
	}
	return Answer{Outcome: NotRun, Reason: rule, RetryAt: now.Add(wait)}
}

// giveUp ends an accepted request that was not dispatched, or that each target
// refused.
func (m *Model[C]) giveUp(now time.Time, r *request, rule string) {
	m.emitDecision(r, rule, "", "")
	m.finish(now, r, m.refusal(now, r, rule))
}

// finish answers a request and its repeats, and settles its claim.
func (m *Model[C]) finish(now time.Time, r *request, answer Answer) {
	m.emit(AnswerCmd{Ticket: r.ticket, Answer: answer, Took: now.Sub(r.arrivedAt)})
	repeat := answer
	repeat.Reply.Repeated = answer.Outcome == Answered
	for _, t := range r.repeatTickets {
		m.emit(AnswerCmd{Ticket: t, Answer: repeat, Took: now.Sub(r.arrivedAt)})
	}
	r.repeatTickets = nil
	if r.claimed {
		m.emit(RecordCmd{Call: r.call, Answer: answer})
	}
	if r.phase == claiming {
		r.phase = abandoned
		return
	}
	m.removeRequest(r)
}

func (m *Model[C]) removeRequest(r *request) {
	delete(m.requests, r.ticket)
	if m.claims[r.call.ID] == r {
		delete(m.claims, r.call.ID)
	}
}

// handleClaimed continues a request with the result of its claim. A claim that
// is won after the request was given up is released.
func (m *Model[C]) handleClaimed(now time.Time, msg ClaimedMsg) {
	r, ok := m.requests[msg.Ticket]
	if !ok {
		return
	}
	if r.phase == abandoned {
		if msg.Result == ClaimHeld {
			return
		}
		if msg.Result == ClaimWon {
			m.emit(RecordCmd{Call: r.call, Answer: Answer{Outcome: NotRun, Reason: RuleNoClaims}})
		}
		m.removeRequest(r)
		return
	}
	if msg.Result == ClaimHeld {
		r.heldElsewhere = true
		return
	}
	r.phase = queued
	switch msg.Result {
	case ClaimWon:
		r.claimed = true
		m.enqueue(r)
	case ClaimRepeat:
		m.emitDecision(r, RuleRepeat, "", "")
		reply := msg.Reply
		reply.Repeated = true
		m.finish(now, r, Answer{Outcome: Answered, Reply: reply})
	case ClaimUnknown:
		m.emitDecision(r, RuleUnknown, "", "an earlier request with this identifier")
		m.finish(now, r, Answer{Outcome: Unknown, Reason: "an earlier request with this identifier may have run"})
	case ClaimMismatch:
		m.emitDecision(r, RuleDuplicate, "", "")
		m.finish(now, r, Answer{Outcome: Duplicate, Reason: "the identifier belongs to another request"})
	case ClaimFailed:
		m.giveUp(now, r, RuleNoClaims)
	case ClaimHeld:
	}
}

// minRunTime is the minimum time reserved for a target to run a request.
const minRunTime = 20 * time.Millisecond

// dispatchDeadline returns the time by which a request must be dispatched so
// that it is likely to be answered before its deadline. The outcome of one that
// is dispatched later would be unknown. The mean service time is a poor
// estimate for a single request, so at most a quarter of the time that the
// caller allowed is reserved for it.
func (m *Model[C]) dispatchDeadline(r *request) time.Time {
	reserved := min(max(minRunTime, m.meanServiceTime), r.call.Deadline.Sub(r.arrivedAt)/4)
	return r.call.Deadline.Add(-reserved)
}

// expire gives up queued requests past their dispatch deadline and requests
// whose claim takes too long.
func (m *Model[C]) expire(now time.Time) {
	m.queue = slices.DeleteFunc(m.queue, func(r *request) bool {
		if now.Before(m.dispatchDeadline(r)) {
			return false
		}
		m.giveUp(now, r, RuleTooLate)
		return true
	})
	for _, r := range m.claims {
		if r.phase == claiming && !now.Before(r.claimDeadline) {
			m.giveUp(now, r, RuleNoClaims)
		}
	}
}

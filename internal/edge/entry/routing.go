package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/claim"
	"github.com/rattanshore/rattanshore/internal/core/membr"
	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// claimPollInterval is the time between two reads of a claim that another host
// holds.
const claimPollInterval = 100 * time.Millisecond

// routeRequest passes a request to the router and waits for its result. It
// returns false if ctx ends or the router stops first.
func (h *Host) routeRequest(ctx context.Context, request schema.CallRequest) (route.Answer, bool) {
	result := make(chan route.Answer, 1)
	h.mu.Lock()
	h.lastTicket++
	ticket := h.lastTicket
	h.pendingRequests[ticket] = result
	h.mu.Unlock()
	h.router.Send(route.RequestMsg{Ticket: ticket, Call: request})
	select {
	case r := <-result:
		return r, true
	case <-h.router.Done():
		return route.Answer{}, false
	case <-ctx.Done():
		return route.Answer{}, false
	}
}

// executeRouterCmd executes one command of the router.
func (h *Host) executeRouterCmd(ctx context.Context, cmd route.Cmd) {
	switch cmd := cmd.(type) {
	case route.ClaimCmd:
		h.spawn(func() { h.claim(ctx, cmd) })
	case route.RecordCmd:
		h.pendingRecords.Add(1)
		h.spawn(func() {
			defer h.pendingRecords.Done()
			h.recordClaim(ctx, cmd)
		})
	case route.DispatchCmd:
		h.metrics.Route.Dispatched.Inc()
		h.spawn(func() { h.dispatch(ctx, cmd) })
	case route.AnswerCmd:
		h.answer(cmd)
	case route.DecisionCmd:
		h.logRouting(cmd)
	}
}

// answer passes the result of a request to the goroutine that waits for it.
func (h *Host) answer(cmd route.AnswerCmd) {
	h.mu.Lock()
	result, ok := h.pendingRequests[cmd.Ticket]
	delete(h.pendingRequests, cmd.Ticket)
	h.mu.Unlock()
	if !ok {
		return
	}
	counters := &h.metrics.Route
	switch cmd.Answer.Outcome {
	case route.Answered:
		counters.Answered.Inc()
		counters.Latency.Update(cmd.Took.Seconds())
	case route.NotRun:
		counters.NotRun.Inc()
	case route.Unknown:
		counters.Unknown.Inc()
	case route.Duplicate:
	}
	if cmd.Answer.Reply.Repeated {
		counters.Repeated.Inc()
	}
	result <- cmd.Answer
}

func (h *Host) logRouting(d route.DecisionCmd) {
	event := logev.RequestRefused
	if d.Target != "" {
		event = logev.RequestRouted
	}
	if d.Rule == route.RuleRetry {
		h.metrics.Route.Retried.Inc()
	}
	event.Log(h.log).Str("request", d.Request).Str("rule", d.Rule).Str("target", d.Target).
		Str("detail", d.Detail).Int64("config-version", d.ConfigVersion).Send()
}

func (h *Host) dispatch(ctx context.Context, cmd route.DispatchCmd) {
	start := time.Now()
	result := h.targets.Send(ctx, cmd.Target, cmd.Address, cmd.Call, cmd.SendBy)
	h.router.Send(route.ReplyMsg{
		Ticket: cmd.Ticket, Target: cmd.Target, Result: result.Result,
		Reply: result.Reply, Detail: result.Detail, Busy: result.Busy, Took: time.Since(start),
	})
}

// claim writes the claim of a non-idempotent request. If the request was claimed
// before, it reports the outcome of the earlier claim instead, or takes the
// claim over if it was released.
func (h *Host) claim(ctx context.Context, cmd route.ClaimCmd) {
	digest := claim.Digest(cmd.Call)
	version := int64(0)
	for {
		won, err := h.tryClaim(ctx, cmd.Call, digest, version)
		if err != nil {
			h.router.Send(route.ClaimedMsg{Ticket: cmd.Ticket, Result: route.ClaimFailed})
			return
		}
		if won {
			h.router.Send(route.ClaimedMsg{Ticket: cmd.Ticket, Result: route.ClaimWon})
			return
		}
		decision, row, err := h.resolveClaim(ctx, cmd, digest)
		if err != nil {
			h.router.Send(route.ClaimedMsg{Ticket: cmd.Ticket, Result: route.ClaimUnknown})
			return
		}
		if decision != claim.Acquire {
			h.router.Send(claimedMsg(cmd.Ticket, decision, row.value))
			return
		}
		version = row.version
	}
}

func claimedMsg(ticket int64, decision claim.Decision, row claim.Row) route.ClaimedMsg {
	switch decision {
	case claim.Repeat:
		return route.ClaimedMsg{Ticket: ticket, Result: route.ClaimRepeat, Reply: row.Reply}
	case claim.Mismatch:
		return route.ClaimedMsg{Ticket: ticket, Result: route.ClaimMismatch}
	case claim.Acquire, claim.Wait, claim.Lost:
	}
	return route.ClaimedMsg{Ticket: ticket, Result: route.ClaimUnknown}
}

// tryClaim writes the claim's row if it is still at the given version; 0 means
// that the row must not exist. It reports whether the row was written.
func (h *Host) tryClaim(ctx context.Context, call schema.CallRequest, digest string, version int64) (bool, error) {
	name := rows.Request(call.ID)
	row := claim.Row{
		State: claim.Claimed, Digest: digest,
		Host: h.settings.Host.ID, Incarnation: h.incarnation, ClaimedAt: time.Now(),
	}
	outcome, err := h.batcher.Apply(ctx, store.Change{
		Expect: []store.Row{expected(name, version)},
		Put:    []store.Row{rowOf(name, row)},
	})
	return outcome.Applied, err
}

// versionedClaim is the value of a claim's row together with the row's version.
type versionedClaim struct {
	value   claim.Row
	version int64
}

// resolveClaim reads an existing claim until its outcome is known or can no
// longer become known, or until the request's deadline passes.
func (h *Host) resolveClaim(ctx context.Context, cmd route.ClaimCmd, digest string) (claim.Decision, versionedClaim, error) {
	ctx, cancel := context.WithDeadline(ctx, cmd.Call.Deadline)
	defer cancel()
	for {
		row, err := h.readRow(ctx, rows.Request(cmd.Call.ID))
		if err != nil {
			return 0, versionedClaim{}, err
		}
		value, err := decode[claim.Row](row)
		if err != nil {
			return 0, versionedClaim{}, err
		}
		decision := claim.Decide(value, digest, h.sessionOf(value.Host))
		if decision != claim.Wait {
			return decision, versionedClaim{value: value, version: row.Version}, nil
		}
		h.router.Send(route.ClaimedMsg{Ticket: cmd.Ticket, Result: route.ClaimHeld})
		select {
		case <-ctx.Done():
			return claim.Lost, versionedClaim{value: value, version: row.Version}, nil
		case <-time.After(claimPollInterval):
		}
	}
}

// sessionOf returns what is known of the session of a host; the zero value if
// the host is unknown.
func (h *Host) sessionOf(host string) claim.Session {
	now := time.Now()
	for _, r := range h.view.hostRows() {
		if r.ID != host {
			continue
		}
		live := membr.Live(now, membr.Host{ExpiresAt: r.ExpiresAt}, h.settings.Timing.ClockBound)
		return claim.Session{Incarnation: r.Incarnation, Live: live}
	}
	return claim.Session{}
}

// recordClaim stores the outcome of a claimed request, which decides how repeats
// of the request are answered.
func (h *Host) recordClaim(ctx context.Context, cmd route.RecordCmd) {
	row := claim.Row{
		Digest: claim.Digest(cmd.Call), Host: h.settings.Host.ID,
		Incarnation: h.incarnation, ClaimedAt: time.Now(), Reply: cmd.Answer.Reply,
	}
	switch cmd.Answer.Outcome {
	case route.Answered:
		row.State = claim.Answered
	case route.NotRun:
		row.State = claim.Released
	case route.Unknown, route.Duplicate:
		row.State = claim.Unknown
	}
	outcome, err := h.batcher.Apply(ctx, store.Change{Put: []store.Row{rowOf(rows.Request(cmd.Call.ID), row)}})
	if err != nil && !errors.Is(err, context.Canceled) || err == nil && !outcome.Applied {
		logev.InternalProblem.Log(h.log).Str("request", cmd.Call.ID).Err(err).Msg("outcome of a claimed request was not recorded")
		return
	}
	logev.ClaimRecorded.Log(h.log).Str("request", cmd.Call.ID).Str("state", string(row.State)).Send()
}

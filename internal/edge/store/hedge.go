package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// minHedgeDelay and maxHedgeDelay bound how long an attempt may go unanswered
	// before the next one is sent concurrently.
	minHedgeDelay = 40 * time.Millisecond
	maxHedgeDelay = 1500 * time.Millisecond
	// hedgeLatencyFactor is that delay as a multiple of the mean latency. The
	// answer may be lost, or it may only be late.
	hedgeLatencyFactor = 4
	// attemptTimeout is how long an attempt may make no progress.
	attemptTimeout = 1500 * time.Millisecond
	// hedgeDelayGrowth multiplies the delay after each attempt. It is small because
	// the store may lose most writes for a while.
	hedgeDelayGrowth = 1.5
	// maxAttemptsInFlight limits the concurrent attempts of one call.
	maxAttemptsInFlight = 8
	// maxBrokenAnswers is how many large answers may end early before the call fails.
	// Each one extends the time that the call has.
	maxBrokenAnswers = 3
	// minBackoff and maxBackoff bound the pause after a refused attempt.
	minBackoff = 15 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// errUnchanged means that a probe found the change of a call not committed so far.
var errUnchanged = errors.New("change is not committed so far")

// attemptResult is the result of one attempt of a call, or of one probe.
type attemptResult[T any] struct {
	value T
	err   error
	probe bool
	// prompt is set if a probe was answered in a time in which a change would have been.
	prompt bool
}

// hedgedCall sends further attempts of a call while earlier ones are late and still
// under way. With a slow store the call ends with the answer to an early attempt
// instead of starting over, and a lost answer delays it only until the next attempt.
// The first answer counts. All attempts have the same effect, and at most one of
// them takes effect. While a large answer arrives no other attempt is sent, which would
// take its share of the network.
//
// A call with a probe reads what became of a late attempt before it sends another. The
// store carries out the changes of one part one after the other, so repeats of a change
// that waits there delay it and all that follow. An answer to the probe that is late as
// well shows that the store is slow, and that the attempt is still waited for.
type hedgedCall[T any] struct {
	// newAttempt prepares an attempt.
	newAttempt func() func(context.Context) (T, error)
	// probe returns the outcome of the call if an attempt has taken effect, and
	// errUnchanged if none has so far; nil if attempts are repeated without a probe.
	probe func(context.Context) (T, error)
	// refusalDeadline is when a call that the store refuses is given up; zero means
	// never.
	refusalDeadline time.Time
	// repeats counts the attempts after the first.
	repeats *metrics.Counter

	// sent is the number of attempts so far.
	sent                int
	hedgeDelay, backoff time.Duration
	inFlight, probes    int
	// mayHaveApplied is set once an attempt got no answer and so may have taken
	// effect.
	mayHaveApplied bool
	results        chan attemptResult[T]
	transfers      transfers
}

// newHedgedCall returns a call that sends its second attempt after delay, within
// minHedgeDelay and maxHedgeDelay, and counts its repeats.
func newHedgedCall[T any](delay time.Duration, repeats *metrics.Counter, newAttempt func() func(context.Context) (T, error)) *hedgedCall[T] {
	return &hedgedCall[T]{
		newAttempt: newAttempt,
		repeats:    repeats,
		hedgeDelay: max(minHedgeDelay, min(delay, maxHedgeDelay)),
		backoff:    minBackoff,
		results:    make(chan attemptResult[T], 2*maxAttemptsInFlight),
	}
}

// run returns the first answer. Without one it returns ErrUnanswered if an attempt
// may have taken effect, else the last refusal.
func (h *hedgedCall[T]) run(ctx context.Context) (T, error) {
	defer h.transfers.end()
	h.send(ctx)
	timer := time.NewTimer(h.hedgeDelay)
	defer timer.Stop()
	var err error
	var zero T
	for {
		select {
		case <-ctx.Done():
			return zero, h.failure(err, context.Cause(ctx))
		case <-timer.C:
			if left := time.Until(h.transfers.stalledAt(time.Now())); left > 0 {
				timer.Reset(left)
				continue
			}
			if err != nil && h.refused(time.Now()) {
				if h.inFlight == 0 {
					return zero, h.failure(err, nil)
				}
				continue
			}
			h.sendNext(ctx)
			h.hedgeDelay = min(time.Duration(hedgeDelayGrowth*float64(h.hedgeDelay)), maxHedgeDelay)
			timer.Reset(h.hedgeDelay)
		case r := <-h.results:
			if r.probe {
				if h.probed(ctx, r, err) {
					return r.value, nil
				}
				continue
			}
			h.inFlight--
			if IsFinal(r.err) {
				return r.value, r.err
			}
			err = r.err
			pause, failed := h.attemptFailed(err)
			if failed {
				return r.value, h.failure(err, nil)
			}
			if pause > 0 {
				timer.Reset(pause)
			}
		}
	}
}

// IsFinal reports whether the store answered and a repeat would change nothing.
func IsFinal(err error) bool {
	return err == nil || errors.Is(err, ErrInvalid) || errors.Is(err, ErrHistoryGone)
}

// refused reports whether the refusal deadline is over by now for a call that the
// store has refused so far. No attempt is sent after that, so that the attempts
// under way decide the outcome.
func (h *hedgedCall[T]) refused(now time.Time) bool {
	return !h.mayHaveApplied && !h.refusalDeadline.IsZero() && now.After(h.refusalDeadline)
}

// failure returns the error of a call without an answer. last is the error of the
// last attempt, ctxErr that of the context.
func (h *hedgedCall[T]) failure(last, ctxErr error) error {
	if h.mayHaveApplied || h.inFlight > 0 || last == nil {
		return errors.Mark(errors.CombineErrors(last, ctxErr), ErrUnanswered)
	}
	return last
}

// send starts an attempt unless maxAttemptsInFlight are under way. An attempt may
// outlive the call, since cancelling it would close its connection, which could then
// not be reused. It is cancelled only if a large answer is arriving that is not needed.
func (h *hedgedCall[T]) send(ctx context.Context) {
	if h.inFlight >= maxAttemptsInFlight {
		return
	}
	h.inFlight++
	if h.sent++; h.sent > 1 {
		h.repeats.Inc()
	}
	attempt, results, answer := h.newAttempt(), h.results, &transfer{}
	go func() {
		limited, cancel := WithIdleTimeout(context.WithoutCancel(ctx), attemptTimeout)
		defer cancel()
		arriving := OnArrival(limited, func() {
			if !h.transfers.claim(answer, time.Now()) {
				cancel()
			}
		})
		value, err := attempt(OnDecode(arriving, func() func() {
			h.transfers.arrivedWhole(answer)
			return func() {}
		}))
		h.transfers.attemptEnded(answer, err)
		results <- attemptResult[T]{value: value, err: err}
	}()
}

// sendNext sends what the call does next while an attempt is late: a probe if it has one
// and an attempt is under way, else another attempt.
func (h *hedgedCall[T]) sendNext(ctx context.Context) {
	if h.probe == nil || h.inFlight == 0 {
		h.send(ctx)
		return
	}
	if h.probes >= maxAttemptsInFlight {
		return
	}
	h.probes++
	probe, results, prompt := h.probe, h.results, h.hedgeDelay
	go func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
		defer cancel()
		sentAt := time.Now()
		value, err := probe(limited)
		results <- attemptResult[T]{value: value, err: err, probe: true, prompt: time.Since(sentAt) < prompt}
	}()
}

// attemptFailed handles an attempt without a final answer. It returns the pause until the
// next attempt, 0 while others are under way, or that the call has failed.
func (h *hedgedCall[T]) attemptFailed(err error) (pause time.Duration, failed bool) {
	h.mayHaveApplied = h.mayHaveApplied || !errors.Is(err, ErrRefused)
	if h.transfers.brokenAnswers() >= maxBrokenAnswers {
		return 0, true
	}
	if h.inFlight > 0 {
		return 0, false
	}
	pause = h.nextBackoff()
	return pause, h.refused(time.Now().Add(pause))
}

// probed handles the end of a probe and reports whether it tells the outcome. last is the
// error of the last attempt, if any. A prompt answer that nothing was committed leads to
// another attempt.
func (h *hedgedCall[T]) probed(ctx context.Context, r attemptResult[T], last error) bool {
	h.probes--
	if r.err == nil {
		return true
	}
	refused := last != nil && h.refused(time.Now())
	if r.prompt && errors.Is(r.err, errUnchanged) && h.inFlight > 0 && !refused {
		h.send(ctx)
	}
	return false
}

// nextBackoff returns the pause after a refused attempt: exponential, with jitter.
func (h *hedgedCall[T]) nextBackoff() time.Duration {
	pause := h.backoff/2 + rand.N(h.backoff)
	h.backoff = min(2*h.backoff, maxBackoff)
	return pause
}

package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// leastWait and lastWait bound how long a try may go unanswered before the
	// next one is sent beside it.
	leastWait = 40 * time.Millisecond
	lastWait  = 1500 * time.Millisecond
	// waitRounds is that time in usual times of a call: an answer may be lost
	// for good, or only be late.
	waitRounds = 4
	// tryTimeout bounds one try.
	tryTimeout = 1500 * time.Millisecond
	// waitGrowth is how much longer each try waits for the one before. Most
	// writes may be lost for a while, so it grows slowly.
	waitGrowth = 1.5
	// maxTries is how many tries of one call may be under way.
	maxTries = 8
	// firstPause and lastPause lie between a refused try and the next.
	firstPause = 15 * time.Millisecond
	lastPause  = 250 * time.Millisecond
)

// ended is how one try of a call ended.
type ended[T any] struct {
	value T
	err   error
}

// hedge is a call of which further tries are sent beside those that are late,
// so that a slow store is not asked for ever and a lost answer is not waited
// for. The first answer counts; every try has the same effect, if any.
type hedge[T any] struct {
	// next prepares a try.
	next func() func(context.Context) (T, error)
	// giveUp is when a call that the store has refused is given up; zero is
	// never.
	giveUp time.Time

	wait, pause time.Duration
	underWay    int
	// open is set once a try had no answer, so that it may have had its effect.
	open bool
	ends chan ended[T]
}

// newHedge returns a call that sends its second try after wait.
func newHedge[T any](wait time.Duration, next func() func(context.Context) (T, error)) *hedge[T] {
	return &hedge[T]{
		next:  next,
		wait:  max(leastWait, min(wait, lastWait)),
		pause: firstPause,
		ends:  make(chan ended[T], maxTries),
	}
}

// run returns the first answer. Without one it returns ErrUnanswered if a try
// may have had an effect, else the last refusal.
func (h *hedge[T]) run(ctx context.Context) (T, error) {
	h.send(ctx)
	timer := time.NewTimer(h.wait)
	defer timer.Stop()
	err := error(nil)
	for {
		select {
		case <-ctx.Done():
			var none T
			return none, h.failure(err, ctx.Err())
		case <-timer.C:
			h.send(ctx)
			h.wait = min(time.Duration(waitGrowth*float64(h.wait)), lastWait)
			timer.Reset(h.wait)
		case e := <-h.ends:
			h.underWay--
			if final(e.err) {
				return e.value, e.err
			}
			err = e.err
			h.open = h.open || !errors.Is(err, ErrRefused)
			if h.over(time.Now()) {
				return e.value, h.failure(err, nil)
			}
			if h.underWay == 0 {
				timer.Reset(h.rest())
			}
		}
	}
}

// final reports whether a try was answered for good.
func final(err error) bool {
	return err == nil || errors.Is(err, ErrRejected) || errors.Is(err, ErrHistoryGone)
}

// over reports whether the call is given up after a refusal.
func (h *hedge[T]) over(now time.Time) bool {
	return h.underWay == 0 && !h.open && !h.giveUp.IsZero() && now.After(h.giveUp)
}

// failure returns the error of a call without an answer.
func (h *hedge[T]) failure(last, ended error) error {
	if h.open || h.underWay > 0 || last == nil {
		return errors.Mark(errors.CombineErrors(last, ended), ErrUnanswered)
	}
	return last
}

// send starts a try unless enough are under way. A try outlives the call, so
// that its connection can be used again.
func (h *hedge[T]) send(ctx context.Context) {
	if h.underWay >= maxTries {
		return
	}
	h.underWay++
	try, ends := h.next(), h.ends
	go func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), tryTimeout)
		defer cancel()
		value, err := try(limited)
		ends <- ended[T]{value, err}
	}()
}

// rest returns the pause before the next try of a call that was refused.
func (h *hedge[T]) rest() time.Duration {
	pause := h.pause/2 + rand.N(h.pause)
	h.pause = min(2*h.pause, lastPause)
	return pause
}

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

// race is one call that is tried until a try is answered. Late tries go on
// beside newer ones, so that a slow store is not asked for ever and a lost
// answer is not waited for. Every try has the same effect, if any.
type race[T any] struct {
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

// newRace returns a race that sends its second try after wait.
func newRace[T any](wait time.Duration, next func() func(context.Context) (T, error)) *race[T] {
	return &race[T]{
		next:  next,
		wait:  max(leastWait, min(wait, lastWait)),
		pause: firstPause,
		ends:  make(chan ended[T], maxTries),
	}
}

// run returns the first answer. Without one it returns ErrUnanswered if a try
// may have had an effect, else the last refusal.
func (r *race[T]) run(ctx context.Context) (T, error) {
	r.send(ctx)
	timer := time.NewTimer(r.wait)
	defer timer.Stop()
	err := error(nil)
	for {
		select {
		case <-ctx.Done():
			var none T
			return none, r.failure(err, ctx.Err())
		case <-timer.C:
			r.send(ctx)
			r.wait = min(time.Duration(waitGrowth*float64(r.wait)), lastWait)
			timer.Reset(r.wait)
		case e := <-r.ends:
			r.underWay--
			if final(e.err) {
				return e.value, e.err
			}
			err = e.err
			r.open = r.open || !errors.Is(err, ErrRefused)
			if r.over(time.Now()) {
				return e.value, r.failure(err, nil)
			}
			if r.underWay == 0 {
				timer.Reset(r.rest())
			}
		}
	}
}

// final reports whether a try was answered for good.
func final(err error) bool {
	return err == nil || errors.Is(err, ErrRejected) || errors.Is(err, ErrHistoryGone)
}

// over reports whether the call is given up after a refusal.
func (r *race[T]) over(now time.Time) bool {
	return r.underWay == 0 && !r.open && !r.giveUp.IsZero() && now.After(r.giveUp)
}

// failure returns the error of a call without an answer.
func (r *race[T]) failure(last, ended error) error {
	if r.open || r.underWay > 0 || last == nil {
		return errors.Mark(errors.CombineErrors(last, ended), ErrUnanswered)
	}
	return last
}

// send starts a try unless enough are under way. A try outlives the call, so
// that its connection can be used again.
func (r *race[T]) send(ctx context.Context) {
	if r.underWay >= maxTries {
		return
	}
	r.underWay++
	try, ends := r.next(), r.ends
	go func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), tryTimeout)
		defer cancel()
		value, err := try(limited)
		ends <- ended[T]{value, err}
	}()
}

// rest returns the pause before the next try of a call that was refused.
func (r *race[T]) rest() time.Duration {
	pause := r.pause/2 + rand.N(r.pause)
	r.pause = min(2*r.pause, lastPause)
	return pause
}

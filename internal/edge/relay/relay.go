// Package relay lets an entry host that cannot reach the platform's store use it
// through a peer that can. Only single insertions and reads are relayed: a host
// that cannot reach the store itself must not lead.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	wire "github.com/rattanshore/rattanshore/internal/wire/relay"
)

const (
	// directPatience is the least time that a call waits for the store's own answer
	// before it is also sent through a peer.
	directPatience = 400 * time.Millisecond
	// patienceFactor extends that time to a multiple of the store's usual latency,
	// since a store that is slow gets no faster by more calls.
	patienceFactor = 3
	// latencyWeight is the weight of the newest answer in the usual latency.
	latencyWeight = 0.3
	// probeInterval is the least time between two calls that try the store
	// directly while calls go through peers.
	probeInterval = 300 * time.Millisecond
)

// errNotRelayed means that a change is not of the kind that peers carry out.
var errNotRelayed = errors.New("only the insertion of one row is relayed")

// errSlow means that the store has not answered for directPatience.
var errSlow = errors.New("store has not answered yet")

// Store is the platform's store, reached directly or through a peer. It implements
// store.Store.
type Store struct {
	direct store.Store
	links  *Links
	log    *zerolog.Logger

	mu sync.Mutex
	// detouring is set while the store does not answer this host directly, and
	// detourSince is when that was noticed.
	detouring   bool
	detourSince time.Time
	// latency is the moving average of the time until the store answers directly.
	latency time.Duration
	// nextProbe is when a call tries the store directly again.
	nextProbe time.Time
}

// NewStore returns a store that prefers direct and falls back to peers.
func NewStore(direct store.Store, links *Links, log *zerolog.Logger) *Store {
	return &Store{direct: direct, links: links, log: log}
}

// Transact implements store.Store. A change that is not a single insertion goes to
// the store directly only.
func (s *Store) Transact(ctx context.Context, change store.Change) (store.Outcome, error) {
	request, err := insertion(change)
	if err != nil {
		return s.direct.Transact(ctx, change)
	}
	return detour(ctx, s, s.patience(),
		func(ctx context.Context) (store.Outcome, error) { return timed(ctx, s, s.direct.Transact, change) },
		func(ctx context.Context) (store.Outcome, error) {
			response, err := s.links.call(ctx, request)
			return response.outcome(request), err
		})
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, span store.Span, limit int) (store.Rows, error) {
	request := wire.Request{
		Operation: wire.Range, Table: span.Table, Part: span.Part, From: span.From, To: span.To, Limit: limit,
	}
	read := func(ctx context.Context, span store.Span) (store.Rows, error) {
		return s.direct.Range(ctx, span, limit)
	}
	direct := func(ctx context.Context) (store.Rows, error) { return timed(ctx, s, read, span) }
	return detour(ctx, s, s.patience(), direct, func(ctx context.Context) (store.Rows, error) {
		return s.relayRead(ctx, request)
	})
}

// Changes implements store.Store. Once the wait is over, a peer is asked for the
// changes until now, without a further wait.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Rows, error) {
	request := wire.Request{Operation: wire.Changes, Table: table, After: after}
	waitUntil := time.Now().Add(wait)
	direct := func(ctx context.Context) (store.Rows, error) { return s.direct.Changes(ctx, table, after, wait) }
	return detour(ctx, s, wait+s.patience(), direct, func(ctx context.Context) (store.Rows, error) {
		request.WaitMillis = max(0, time.Until(waitUntil).Milliseconds())
		return s.relayRead(ctx, request)
	})
}

func (s *Store) relayRead(ctx context.Context, request wire.Request) (store.Rows, error) {
	response, err := s.links.call(ctx, request)
	return response.toRows(request.Table), err
}

// patience returns how long a call waits for the store's own answer.
func (s *Store) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(directPatience, patienceFactor*s.latency)
}

// timed makes a direct call and adds the time until its answer to the latency.
func timed[Q, T any](ctx context.Context, s *Store, call func(context.Context, Q) (T, error), question Q) (T, error) {
	begin := time.Now()
	value, err := call(ctx, question)
	if store.IsFinal(err) {
		took := time.Since(begin)
		s.mu.Lock()
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
		s.mu.Unlock()
	}
	return value, err
}

// insertion returns the request for a change that inserts one row, and
// errNotRelayed for any other change.
func insertion(change store.Change) (wire.Request, error) {
	single := len(change.Expect) == 1 && len(change.Put) == 1 && len(change.Remove) == 0
	if !single || change.Expect[0].Version != 0 || change.Expect[0].Key != change.Put[0].Key {
		return wire.Request{}, errNotRelayed
	}
	row := change.Put[0]
	return wire.Request{
		Operation: wire.Insert, Table: row.Key.Table, Part: row.Key.Part, Name: row.Key.Name, Value: row.Value,
	}, nil
}

// answer is the result of a call on one of the two ways.
type answer[T any] struct {
	value T
	err   error
}

// detour makes a call directly, and through a peer as soon as the store has failed,
// or no part of its answer has arrived for the time of patience. The first answer of the store
// counts. Both ways may carry the call out, so it must be one of which only the
// first has an effect. The error is ErrRefused only if neither way can have
// carried it out.
func detour[T any](ctx context.Context, s *Store, patience time.Duration, direct, relayed func(context.Context) (T, error)) (T, error) {
	answers := make(chan answer[T], 2)
	pending := 0
	send := func(ctx context.Context, call func(context.Context) (T, error), observe func(error)) {
		pending++
		go func() {
			value, err := call(ctx)
			observe(err)
			answers <- answer[T]{value, err}
		}()
	}
	begin := time.Now()
	var arrivedAt, decodes atomic.Int64
	directCtx := store.OnArrival(ctx, func() {
		arrivedAt.Store(time.Now().UnixNano())
		s.setDetouring(begin, false, nil)
	})
	directCtx = store.OnDecode(directCtx, func() func() {
		decodes.Add(1)
		return func() { decodes.Add(-1) }
	})
	tryDirect, tryRelay := s.ways(begin)
	if tryDirect {
		send(directCtx, direct, func(err error) { s.observeDirect(begin, err) })
	}
	if tryRelay {
		send(ctx, relayed, func(error) {})
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var zero T
	unanswered := false
	for {
		select {
		case <-ctx.Done():
			return zero, errors.Mark(context.Cause(ctx), store.ErrUnanswered)
		case <-timer.C:
			if decodes.Load() > 0 {
				timer.Reset(patience)
				continue
			}
			if left := time.Until(time.Unix(0, arrivedAt.Load()).Add(patience)); left > 0 {
				timer.Reset(left)
				continue
			}
			if !tryRelay {
				s.setDetouring(begin, true, errSlow)
			}
		case a := <-answers:
			pending--
			a.err = onOneWay(a.err, unanswered, pending)
			if store.IsFinal(a.err) {
				return a.value, a.err
			}
			unanswered = unanswered || !errors.Is(a.err, store.ErrRefused)
			if pending > 0 || !tryRelay {
				break
			}
			return zero, lastError(unanswered, a.err)
		}
		if !tryRelay {
			tryRelay = true
			send(ctx, relayed, func(error) {})
		}
	}
}

// lastError returns the error of a call that has failed on both ways, of which err is
// the last. If the other way is unanswered, a refusal says nothing about it.
func lastError(unanswered bool, err error) error {
	if unanswered && errors.Is(err, store.ErrRefused) {
		return errors.Mark(errors.Newf("other way unanswered: %v", err), store.ErrUnanswered)
	}
	return err
}

// onOneWay returns the error of one way for the whole call. A call that is invalid
// there is only refused while the other way may carry it out: a peer relays less than
// the store does.
func onOneWay(err error, unanswered bool, pending int) error {
	if errors.Is(err, store.ErrInvalid) && (unanswered || pending > 0) {
		return errors.Mark(errors.Newf("invalid on one way: %v", err), store.ErrRefused)
	}
	return err
}

// ways returns on which ways a call is sent at first: directly, or through a peer
// while the store does not answer directly, and now and then on both.
func (s *Store) ways(now time.Time) (direct, relayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.detouring {
		return true, false
	}
	if now.Before(s.nextProbe) {
		return false, true
	}
	s.nextProbe = now.Add(probeInterval)
	return true, true
}

// observeDirect records whether the store has answered a direct call that was sent
// at the given time. A call that was cancelled, since a peer was faster, says
// nothing.
func (s *Store) observeDirect(sentAt time.Time, err error) {
	if !errors.Is(err, context.Canceled) {
		s.setDetouring(sentAt, !store.IsFinal(err), err)
	}
}

// setDetouring sets whether calls go through peers, by a call that was sent at the
// given time, and logs a change with its reason. A late answer to a call that was sent
// before the store was found unreachable changes nothing.
func (s *Store) setDetouring(sentAt time.Time, detouring bool, reason error) {
	s.mu.Lock()
	if s.detouring && !detouring && sentAt.Before(s.detourSince) {
		s.mu.Unlock()
		return
	}
	changed := detouring != s.detouring
	s.detouring = detouring
	if changed && detouring {
		s.detourSince = time.Now()
	}
	s.mu.Unlock()
	switch {
	case !changed:
	case detouring:
		logev.StoreDetour.Log(s.log).Int("peers", s.links.known()).AnErr("reason", reason).Send()
	default:
		logev.StoreDirect.Log(s.log).Send()
	}
}

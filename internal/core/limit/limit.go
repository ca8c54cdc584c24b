// Package limit bounds how many cancellations of jobs that are not stored a host records,
// each of which costs a write and a row for some minutes. It answers the pattern of callers
// that cancel random identifiers. Hosts call it before such a write.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// perSecond is how many such cancellations all hosts together record each second: a
	// tenth of the writes of a store that takes 600 a second.
	perSecond = 60.0
	// skew is how many times its even part of perSecond a host may record, since callers are
	// spread unevenly over the hosts.
	skew = 1.5
	// teamPart is the part of a host's cancellations that one team may cause, so that the
	// others are served beside a team that sends very many.
	teamPart = 0.75
	// burst is the time whose cancellations may come at once.
	burst = 10 * time.Second
	// maxWait is how long a cancellation may wait for its turn.
	maxWait = time.Second
)

// Cancels admits the cancellations of one host.
type Cancels struct {
	mu   sync.Mutex
	host *rate.Limiter
	// teams holds a limiter for each team that the configuration has had.
	teams map[string]*rate.Limiter
}

// NewCancels returns a limiter for a host that has recorded nothing so far.
func NewCancels() *Cancels {
	return &Cancels{host: newLimiter(hostRate(1)), teams: map[string]*rate.Limiter{}}
}

// hostRate returns how many cancellations a second one of the hosts may record.
func hostRate(hosts int) rate.Limit {
	return rate.Limit(min(perSecond, perSecond*skew/float64(max(1, hosts))))
}

func newLimiter(r rate.Limit) *rate.Limiter {
	return rate.NewLimiter(r, burstOf(r))
}

// burstOf returns how many cancellations may come at once, at least one.
func burstOf(r rate.Limit) int {
	return max(1, int(float64(r)*burst.Seconds()))
}

// Admit takes the turn of a team's cancellation at a host that is one of so many. It returns
// when the turn comes, and false if that is so late that the caller has to come back then
// instead. In that case no turn is taken.
func (c *Cancels) Admit(now time.Time, team string, hosts int) (at time.Time, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := hostRate(hosts)
	if c.teams[team] == nil {
		c.teams[team] = newLimiter(most * teamPart)
	}
	hostTurn := reserve(c.host, now, most)
	teamTurn := reserve(c.teams[team], now, most*teamPart)
	at = now.Add(max(hostTurn.DelayFrom(now), teamTurn.DelayFrom(now)))
	if at.Sub(now) <= maxWait {
		return at, true
	}
	hostTurn.CancelAt(now)
	teamTurn.CancelAt(now)
	return at, false
}

// reserve takes the next turn of a limiter that may now admit most a second.
func reserve(limiter *rate.Limiter, now time.Time, most rate.Limit) *rate.Reservation {
	limiter.SetLimitAt(now, most)
	limiter.SetBurstAt(now, burstOf(most))
	return limiter.ReserveN(now, 1)
}

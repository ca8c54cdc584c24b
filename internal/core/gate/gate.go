// Package gate decides for one host which calls it may answer: whether it
// knows a configuration that is young enough, which queue a call belongs to
// and whose key it carries. It does no input or output.
package gate

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/rules"
)

// Sentinel errors of a call.
var (
	// ErrNoConfig says that no configuration is known yet.
	ErrNoConfig = errors.New("no configuration yet")
	// ErrStale says that the configuration may be older than a revocation may
	// take to be in force.
	ErrStale = errors.New("configuration may be out of date")
	// ErrUnknownQueue says that there is no such queue.
	ErrUnknownQueue = errors.New("no such queue")
	// ErrUnauthorized says that no team has the key.
	ErrUnauthorized = errors.New("unknown key")
)

// Gate is what one host knows of the operators' configuration.
type Gate struct {
	config rules.Config
	known  bool
	// freshUntil is when the configuration gets too old to accept keys.
	freshUntil time.Time
	keyAge     time.Duration
}

// New returns a gate that knows nothing and accepts keys under a
// configuration that was certainly in force keyAge ago.
func New(keyAge time.Duration) *Gate {
	return &Gate{keyAge: keyAge}
}

// Confirm takes in that the configuration known was in force at a time: when
// the call was sent that showed it.
func (g *Gate) Confirm(at time.Time) {
	if until := at.Add(g.keyAge); until.After(g.freshUntil) {
		g.freshUntil = until
	}
}

// Set takes in a configuration, unless a newer one is known. It reports
// whether it is new.
func (g *Gate) Set(config rules.Config) bool {
	if g.known && config.Version <= g.config.Version {
		return false
	}
	g.config = config
	g.known = true
	return true
}

// Version returns the version in force here.
func (g *Gate) Version() int64 {
	return g.config.Version
}

// Open reports whether the host may accept calls.
func (g *Gate) Open(now time.Time) bool {
	return g.known && now.Before(g.freshUntil)
}

// Admit finds the queue and the team of a call, and what follows the queue's
// prefix.
func (g *Gate) Admit(now time.Time, host, path, key string) (rules.Queue, string, string, error) {
	if !g.known {
		return rules.Queue{}, "", "", ErrNoConfig
	}
	if !now.Before(g.freshUntil) {
		return rules.Queue{}, "", "", ErrStale
	}
	queue, rest, ok := g.config.Route(host, path)
	if !ok {
		return rules.Queue{}, "", "", ErrUnknownQueue
	}
	team, ok := g.config.Team(key)
	if !ok && !queue.Public {
		return rules.Queue{}, "", "", ErrUnauthorized
	}
	return *queue, team, rest, nil
}

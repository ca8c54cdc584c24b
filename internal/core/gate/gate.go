// Package gate decides which calls a host may accept: whether the host's
// configuration is recent enough, which queue a call is for, and which team its
// key belongs to. It performs no I/O.
package gate

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Errors that Gate.Admit returns for a refused call.
var (
	// ErrNoConfig means that no configuration has been received yet.
	ErrNoConfig = errors.New("no configuration received yet")
	// ErrStale means that the configuration was last confirmed so long ago that
	// a key might be accepted whose revocation must already be in force.
	ErrStale = errors.New("configuration may be out of date")
	// ErrUnknownQueue means that no queue matches the call's host and path.
	ErrUnknownQueue = errors.New("no such queue")
	// ErrUnauthorized means that no team has the key.
	ErrUnauthorized = errors.New("unknown key")
)

// Gate admits calls under the newest configuration that one host has received.
type Gate struct {
	config    rules.Config
	hasConfig bool
	// freshUntil is when the configuration becomes too old to accept keys.
	freshUntil time.Time
	// maxConfigAge is how long keys are accepted after a confirmation.
	maxConfigAge time.Duration
}

// New returns a gate without a configuration. Once it has one, it accepts keys
// for maxConfigAge after each confirmation that the configuration is in force.
func New(maxConfigAge time.Duration) *Gate {
	return &Gate{maxConfigAge: maxConfigAge}
}

// Confirm records that the stored configuration was in force at the given time:
// when the request was sent whose reply confirmed it.
func (g *Gate) Confirm(at time.Time) {
	if until := at.Add(g.maxConfigAge); until.After(g.freshUntil) {
		g.freshUntil = until
	}
}

// Set stores a configuration that is newer than the stored one, and reports
// whether it is newer.
func (g *Gate) Set(config rules.Config) bool {
	if g.hasConfig && config.Version <= g.config.Version {
		return false
	}
	g.config = config
	g.hasConfig = true
	return true
}

// Version returns the version of the stored configuration, or 0 if there is none.
func (g *Gate) Version() int64 {
	return g.config.Version
}

// Accepts reports whether the host may accept calls.
func (g *Gate) Accepts(now time.Time) bool {
	return g.hasConfig && now.Before(g.freshUntil)
}

// Limit returns what the team may have running by the stored configuration.
func (g *Gate) Limit(team string) record.Amount {
	t, _ := g.config.Team(team)
	return t.Limit
}

// RequestLimits returns what the stored configuration allows for one call.
func (g *Gate) RequestLimits() rules.Limits {
	return g.config.Limits
}

// Admit returns the queue and the team of a call, and the rest of the path after
// the queue's prefix. The team is empty if a public queue is called without a
// team's key.
func (g *Gate) Admit(now time.Time, host, path, key string) (rules.Queue, string, string, error) {
	if !g.hasConfig {
		return rules.Queue{}, "", "", ErrNoConfig
	}
	if !now.Before(g.freshUntil) {
		return rules.Queue{}, "", "", ErrStale
	}
	queue, rest, ok := g.config.Route(host, path)
	if !ok {
		return rules.Queue{}, "", "", ErrUnknownQueue
	}
	team, ok := g.config.TeamByKey(key)
	if !ok && !queue.Public {
		return rules.Queue{}, "", "", ErrUnauthorized
	}
	return *queue, team, rest, nil
}

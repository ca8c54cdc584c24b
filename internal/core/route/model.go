// Package route decides, for one entry host, which target runs each request,
// in which order requests are dispatched, and how a caller is answered when no
// target can run its request. It is a pure state machine: Update takes the
// current time and a message, and returns commands.
//
//	m := route.New(route.LeastOfTwo{}, route.DefaultLimits(), rand.NewPCG(1, 2))
//	m, cmds := m.Update(now, route.RequestMsg{Ticket: 1, Call: call})
package route

import (
	"math/rand/v2"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Limits bounds the requests, dispatches and waiting times of the router.
type Limits struct {
	// Queue is the maximum number of queued requests.
	Queue int
	// Attempts is the number of dispatches after which an idempotent request
	// whose outcome is unknown is no longer retried.
	Attempts int
	// RetryShare is the number of retries per first dispatch that the retry
	// budget allows in the long run.
	RetryShare float64
	// ClaimWait is how long a claim may take before the caller is answered
	// that the request was not run.
	ClaimWait time.Duration
	// RetryAfter is the minimum time after which a refused caller is asked to
	// retry.
	RetryAfter time.Duration
	// BaseEjectionTime is how long a failing target is ejected the first time.
	// It doubles with each further ejection.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the maximum time for which a target is ejected.
	MaxEjectionTime time.Duration
}

// DefaultLimits returns the limits that hold unless the settings override them.
func DefaultLimits() Limits {
	return Limits{
		Queue:            512,
		Attempts:         3,
		RetryShare:       0.1,
		ClaimWait:        time.Second,
		RetryAfter:       250 * time.Millisecond,
		BaseEjectionTime: time.Second,
		MaxEjectionTime:  30 * time.Second,
	}
}

// Chooser selects the target of a request from the candidates, of which there
// is at least one.
type Chooser interface {
	Choose(candidates []*Instance, random *rand.Rand) *Instance
}

// Model is the router of one entry host, with the target selection policy C.
type Model[C Chooser] struct {
	chooser C
	limits  Limits
	random  *rand.Rand

	targets map[string]*Instance
	// sortedTargets holds the targets in the order of their identifiers, so
	// that equal messages give equal commands.
	sortedTargets []*Instance
	// outOfService holds the failure domains that get no new requests.
	outOfService  map[string]bool
	configVersion int64
	liveHosts     int
	freshness     FreshnessMsg
	draining      bool

	requests map[int64]*request
	// claims holds the non-idempotent requests in progress by identifier.
	claims map[string]*request
	// queue is sorted by byUrgency.
	queue []*request
	// retryBudget is the number of retries that may be sent now.
	retryBudget     float64
	meanServiceTime time.Duration
	cmds            []Cmd
}

// request is a caller's request. It is kept until the caller has its answer and
// the claim, if any, is settled.
type request struct {
	ticket        int64
	call          schema.CallRequest
	arrivedAt     time.Time
	phase         phase
	claimed       bool
	attempts      int
	tried         map[string]bool
	claimDeadline time.Time
	// heldElsewhere is set once another host is known to hold the claim.
	heldElsewhere bool
	// repeatTickets are the tickets of repeats of this non-idempotent request.
	repeatTickets []int64
}

type phase int

const (
	// claiming: the claim of a non-idempotent request is outstanding.
	claiming phase = iota
	// queued: the request waits for a target.
	queued
	// dispatched: the request was sent to a target, whose reply is outstanding.
	dispatched
	// abandoned: the caller has its answer, but the claim is still outstanding.
	abandoned
)

// New returns a router without targets. It refuses all requests until a
// FreshnessMsg with a FreshUntil in the future arrives.
func New[C Chooser](chooser C, limits Limits, source rand.Source) *Model[C] {
	return &Model[C]{
		chooser:         chooser,
		limits:          limits,
		random:          rand.New(source),
		targets:         map[string]*Instance{},
		outOfService:    map[string]bool{},
		liveHosts:       1,
		requests:        map[int64]*request{},
		claims:          map[string]*request{},
		retryBudget:     maxRetryBudget,
		meanServiceTime: initialServiceTime,
	}
}

// Update applies one message and returns the updated model and the commands to
// execute. The previous model must not be used afterwards.
func (m *Model[C]) Update(now time.Time, msg Msg) (*Model[C], []Cmd) {
	m.cmds = nil
	switch msg := msg.(type) {
	case TickMsg:
	case RequestMsg:
		m.admit(now, msg)
	case ClaimedMsg:
		m.handleClaimed(now, msg)
	case ReplyMsg:
		m.handleReply(now, msg)
	case TargetsMsg:
		m.setTargets(msg.Targets)
	case DomainsMsg:
		m.outOfService = msg.OutOfService
		m.configVersion = msg.ConfigVersion
	case HostsMsg:
		m.liveHosts = max(1, msg.Live)
	case FreshnessMsg:
		m.freshness = msg
	case DrainMsg:
		m.draining = true
	}
	m.expire(now)
	m.dispatch(now)
	return m, m.cmds
}

// mayDecide reports whether the configuration of this host is still certain to
// be in force.
func (m *Model[C]) mayDecide(now time.Time) bool {
	return now.Before(m.freshness.FreshUntil)
}

// InProgress returns the number of requests that still wait for an answer or for
// their claim to be settled.
func (m *Model[C]) InProgress() int {
	return len(m.requests)
}

func (m *Model[C]) emit(cmd Cmd) {
	m.cmds = append(m.cmds, cmd)
}

func (m *Model[C]) emitDecision(r *request, rule, target, detail string) {
	m.emit(DecisionCmd{Request: r.call.ID, Rule: rule, Target: target, Detail: detail, ConfigVersion: m.configVersion})
}

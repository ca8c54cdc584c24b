// Package sched decides for one shard which gangs run where. It is a pure
// state machine: Update takes the time and a message and returns commands.
// It does no input or output, starts no goroutine and reads no clock.
//
//	m := sched.New(sched.Shard{Name: "hall", Epoch: 3}, block.BestFit{}, sched.DefaultTiming())
//	m, cmds := m.Update(now, sched.TickMsg{})
package sched

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/quota"
	"github.com/rattanshore/rattanshore/internal/core/sets"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Timing holds the lengths of time that the scheduler adds to the present to
// get the deadlines it stores.
type Timing struct {
	// Lease is how long a task may run after the last renewal.
	Lease time.Duration
	// SyncInterval is the time between two renewals.
	SyncInterval time.Duration
	// HoldLease is how long a worker keeps a hold that is not started.
	HoldLease time.Duration
	// CallTimeout is how long the scheduler waits for a worker's answer.
	CallTimeout time.Duration
	// StartWindow is the time from a commit to the last possible start.
	StartWindow time.Duration
	// ReclaimGrace is the time a reclaimed task gets for its checkpoint.
	ReclaimGrace time.Duration
	// ClockBound is the largest difference between two clocks.
	ClockBound time.Duration
	// UrgentLead is how much older a patient job must be to go first.
	UrgentLead time.Duration
	// Patience is how long a gang waits before it may reclaim lent capacity.
	Patience time.Duration
	// SetAside is how long a worker that fails its tasks gets none.
	SetAside time.Duration
	// PassInterval is the least time between two passes over the queue.
	PassInterval time.Duration
}

// DefaultTiming returns the timing that the settings start from.
func DefaultTiming() Timing {
	return Timing{
		Lease:        6 * time.Second,
		SyncInterval: time.Second,
		HoldLease:    4 * time.Second,
		CallTimeout:  time.Second,
		StartWindow:  2 * time.Second,
		ReclaimGrace: 700 * time.Millisecond,
		ClockBound:   200 * time.Millisecond,
		UrgentLead:   time.Hour,
		Patience:     10 * time.Minute,
		SetAside:     time.Minute,
		PassInterval: 10 * time.Millisecond,
	}
}

// Shard names the shard and the epoch under which it is owned.
type Shard struct {
	Name  string
	Epoch int64
}

// Model is the scheduler of one shard, with the placement policy P.
type Model[P block.Policy] struct {
	shard   Shard
	policy  P
	timing  Timing
	options optionSet

	loaded           bool
	draining         bool
	config           schema.ConfigVersion
	configRowVersion int64
	ledger           *quota.Ledger
	// assignedFrom is what the ledger's homes were last chosen from.
	assignedFrom []block.Mask
	reserved     []block.Mask
	unformable   []quota.UnformableBlock
	domains      map[string]Domain

	nodes map[string]*node
	// sortedNodes is all nodes in order of their identifiers.
	sortedNodes []*node
	poolNodes   []*node
	pool        *block.Pool
	avail       []block.Mask

	gangs      map[string]*gang
	queue      []*gang
	active     sets.Ordered[*gang]
	passNeeded bool
	lastTick   time.Time
	lastPass   time.Time
	// nextPass is when a pass is due even if nothing has changed.
	nextPass time.Time

	commit        commitState
	cmds          []Cmd
	recentlyEnded []*gang
}

// New returns a scheduler that knows no workers, jobs or configuration.
func New[P block.Policy](shard Shard, policy P, timing Timing, options ...Option) *Model[P] {
	pool := block.NewPool(nil)
	var applied optionSet
	for _, o := range options {
		o(&applied)
	}
	return &Model[P]{
		options: applied,
		shard:   shard,
		policy:  policy,
		timing:  timing,
		domains: map[string]Domain{},
		nodes:   map[string]*node{},
		pool:    pool,
		ledger:  quota.New(pool, nil),
		gangs:   map[string]*gang{},
	}
}

// Update applies one message and returns the model and the commands that
// follow. The earlier value must not be used afterwards.
func (m *Model[P]) Update(now time.Time, msg Msg) (*Model[P], []Cmd) {
	m.cmds = nil
	switch msg := msg.(type) {
	case TickMsg:
		m.tick(now)
	case JobMsg:
		m.addJob(now, msg.Job)
	case CancelMsg:
		m.cancel(now, msg.ID)
	case LoadedMsg:
		m.loaded = true
		m.passNeeded = true
	case WorkersMsg:
		m.setWorkers(now, msg.Workers)
	case DomainsMsg:
		m.setDomains(now, msg.Domains)
	case ConfigMsg:
		m.setConfig(now, msg)
	case WorkerMsg:
		m.handleReply(now, msg)
	case CommittedMsg:
		m.handleCommitResult(now, msg)
	case DrainMsg:
		m.draining = true
	}
	m.placeAndCommit(now)
	return m, m.cmds
}

// Idle reports whether no placement is half done and every end is recorded,
// so that the shard can be handed over without losing a step.
func (m *Model[P]) Idle() bool {
	if m.commit.outstanding || len(m.commit.changed) > 0 {
		return false
	}
	for g := range m.active.All() {
		if g.phase == reclaiming || g.phase == holding || g.phase == committing || g.phase == starting {
			return false
		}
	}
	return true
}

// tick does what time alone makes due. It is the only step whose cost grows
// with all gangs and workers.
func (m *Model[P]) tick(now time.Time) {
	m.lastTick = now
	for g := range m.active.All() {
		m.expire(now, g)
	}
	m.syncWorkers(now)
	m.pruneEnded(now)
}

// placeAndCommit places and commits what the message made possible.
func (m *Model[P]) placeAndCommit(now time.Time) {
	if m.passDue(now) {
		m.pass(now)
	}
	m.flush(now)
}

func (m *Model[P]) passDue(now time.Time) bool {
	if !m.loaded || m.draining || len(m.queue) == 0 {
		return false
	}
	changed := m.passNeeded && now.Sub(m.lastPass) >= m.timing.PassInterval
	return changed || !now.Before(m.nextPass)
}

func (m *Model[P]) emit(cmd Cmd) {
	m.cmds = append(m.cmds, cmd)
}

func (m *Model[P]) emitDecision(kind DecisionKind, g *gang, detail string) {
	m.emit(DecisionCmd{
		Kind:          kind,
		Job:           g.status.Spec.ID,
		Team:          g.status.Spec.Team,
		Run:           g.status.Run,
		Rule:          g.status.Rule,
		Detail:        detail,
		Places:        g.status.Places,
		ConfigVersion: m.config.Version,
	})
}

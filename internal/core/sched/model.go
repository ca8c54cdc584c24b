// Package sched is the gang scheduler of one shard. It is a pure state machine:
// Update takes the current time and a message and returns commands. The package
// does no I/O, starts no goroutines and reads no clock.
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

// Timing holds the durations from which the scheduler computes its deadlines.
type Timing struct {
	// Lease is how long a task may run after its last renewal.
	Lease time.Duration
	// SyncInterval is the time between two renewals of a task's lease.
	SyncInterval time.Duration
	// HoldLease is how long a worker holds accelerators for a task that has not
	// been started.
	HoldLease time.Duration
	// CallTimeout is how long the scheduler waits for a worker's reply.
	CallTimeout time.Duration
	// StartWindow is how long after the commit of a start a worker may still
	// start the task.
	StartWindow time.Duration
	// ReclaimGrace is how long a reclaimed task has to save a checkpoint.
	ReclaimGrace time.Duration
	// ClockBound is the largest difference between the clocks of two hosts.
	ClockBound time.Duration
	// UrgentLead is how much earlier than an urgent job a patient job must have
	// been submitted to rank ahead of it.
	UrgentLead time.Duration
	// AgedReclaimAfter is how long after its submission a gang may reclaim
	// capacity from younger lent work.
	AgedReclaimAfter time.Duration
	// SetAside is how long a worker is first quarantined for task failures. It
	// doubles with each further quarantine in a row.
	SetAside time.Duration
	// MinPassInterval is the minimum time between two scheduling passes over the
	// queue.
	MinPassInterval time.Duration
}

// DefaultTiming returns the default durations.
func DefaultTiming() Timing {
	return Timing{
		Lease:            6 * time.Second,
		SyncInterval:     time.Second,
		HoldLease:        4 * time.Second,
		CallTimeout:      time.Second,
		StartWindow:      2 * time.Second,
		ReclaimGrace:     700 * time.Millisecond,
		ClockBound:       200 * time.Millisecond,
		UrgentLead:       time.Hour,
		AgedReclaimAfter: 10 * time.Minute,
		SetAside:         time.Minute,
		MinPassInterval:  10 * time.Millisecond,
	}
}

// Shard is the name of a shard and the epoch of its current owner.
type Shard struct {
	Name  string
	Epoch int64
}

// Model is the scheduler state of one shard. P is the placement policy.
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
	// assignedFrom holds the accelerators from which the ledger's reservations
	// were last chosen; nil forces a new assignment.
	assignedFrom []block.Mask
	// reserved holds the accelerators reserved for guarantees, by pool index.
	reserved   []block.Mask
	unformable []quota.UnformableBlock
	domains    map[string]Domain

	nodes map[string]*node
	// sortedNodes holds all nodes, ordered by ID.
	sortedNodes []*node
	// poolNodes holds the listed nodes, by pool index.
	poolNodes []*node
	pool      *block.Pool
	// avail holds the accelerators available to new placements, by pool index.
	avail []block.Mask

	gangs map[string]*gang
	// queue holds the waiting gangs, ordered by rank.
	queue []*gang
	// active holds the gangs that tick checks for deadlines.
	active sets.Ordered[*gang]
	// passNeeded is set when a change may allow a placement that was not
	// possible before.
	passNeeded bool
	lastTick   time.Time
	lastPass   time.Time
	// nextPass is when a pass is due even if nothing has changed.
	nextPass time.Time

	commit commitState
	cmds   []Cmd
	// recentlyEnded holds the ended gangs that are not pruned yet.
	recentlyEnded []*gang
}

// New returns a scheduler without workers, jobs or a configuration.
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

// Update applies one message and returns the updated model and the commands to
// carry out. The receiver must not be used afterwards.
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
	case WorkerReplyMsg:
		m.handleReply(now, msg)
	case CommitResultMsg:
		m.handleCommitResult(now, msg)
	case DrainMsg:
		m.draining = true
	}
	m.placeAndCommit(now)
	return m, m.cmds
}

// Idle reports whether no placement is in progress and every ended job is
// recorded, so that the shard can be handed over without redoing work.
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

// tick handles expired deadlines, syncs that are due and the pruning of ended
// gangs. It is the only step whose cost grows with the number of all gangs and
// workers.
func (m *Model[P]) tick(now time.Time) {
	m.lastTick = now
	for g := range m.active.All() {
		m.expire(now, g)
	}
	m.syncWorkers(now)
	m.pruneEnded(now)
}

// placeAndCommit runs a scheduling pass if one is due and commits what has
// changed.
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
	changed := m.passNeeded && now.Sub(m.lastPass) >= m.timing.MinPassInterval
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
		SubmittedAt:   g.status.SubmittedAt,
	})
}

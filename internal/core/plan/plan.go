// Package plan decides which tasks run on which of the platform's workers. It
// is a pure state machine: Update takes the time and a message and returns the
// model and commands. It does no input or output, starts no goroutine and reads
// no clock.
//
// Several planners may believe that they are the leader. Only the one with the
// highest epoch has any effect: workers refuse a lower epoch, and a transaction
// fails unless the leader's row is as this leader left it.
package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/core/sets"
	"github.com/rattanshore/rattanshore/internal/core/share"
	"github.com/rattanshore/rattanshore/internal/core/vouch"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Timing holds the durations from which the planner computes deadlines, and the
// factors that change durations.
type Timing struct {
	// Lease is how long a worker keeps its runs after the last renewal.
	Lease time.Duration
	// LongestLease is the longest lease that any leader may have granted.
	LongestLease time.Duration
	// PollWait is how long a worker may delay the answer to a poll.
	PollWait time.Duration
	// PollRetry is the pause after an unanswered poll.
	PollRetry time.Duration
	// SilenceLimit is how long a worker may leave calls unanswered before it
	// gets no new work.
	SilenceLimit time.Duration
	// StartRetry is the pause after an unanswered start.
	StartRetry time.Duration
	// GangWait is how long the members of a gang wait for each other.
	GangWait time.Duration
	// ReserveTimeout limits how long places are reserved for a gang while
	// others are being stopped for it.
	ReserveTimeout time.Duration
	// ProgressDelay limits how long progress that ends no job waits to be
	// stored.
	ProgressDelay time.Duration
	// Quarantine is how long a worker on which tasks keep failing gets no new
	// work. The time doubles with each further quarantine, up to a limit.
	Quarantine time.Duration
	// KeepEnded is how long the rows of an ended job are kept.
	KeepEnded time.Duration
	// RenewInterval is the longest time between two writes of the leader's row.
	RenewInterval time.Duration
	// WaitingInterval is the least time between two writes of queue lengths.
	WaitingInterval time.Duration
	// SpreadFactor is how many times longer a task takes away from its data, or
	// a gang takes across racks if it asks for one rack.
	SpreadFactor float64
	// CheckpointEvery is the amount of work between two checkpoints.
	CheckpointEvery time.Duration
	// Restore is how long it takes to resume from a checkpoint.
	Restore time.Duration
	// TaskStop is how long a stopped task may take to end.
	TaskStop time.Duration
	// Reclaim is the time within which urgent work within its team's guarantee
	// must start.
	Reclaim time.Duration
}

// Policy switches on decisions that a deployment has to ask for.
type Policy struct {
	// LearnRunTimes makes the planner expect run times by finished runs.
	LearnRunTimes bool
	// WorkerRisk makes the planner avoid workers by what they have done.
	WorkerRisk bool
	// Value says what work is worth; the zero value stands for DefaultValuePolicy.
	Value ValuePolicy
	// RefuseLate makes the planner compute the digest by which hosts refuse jobs under
	// overload.
	RefuseLate bool
	// Without names the mechanisms that are left out.
	Without ablate.Set
}

// DefaultTiming returns the timing before the settings are applied.
func DefaultTiming() Timing {
	return Timing{
		Lease:           5 * time.Second,
		LongestLease:    6 * time.Second,
		PollWait:        1200 * time.Millisecond,
		PollRetry:       150 * time.Millisecond,
		SilenceLimit:    2500 * time.Millisecond,
		StartRetry:      50 * time.Millisecond,
		GangWait:        2500 * time.Millisecond,
		ReserveTimeout:  3 * time.Second,
		ProgressDelay:   300 * time.Millisecond,
		Quarantine:      4 * time.Second,
		KeepEnded:       150 * time.Second,
		RenewInterval:   250 * time.Millisecond,
		WaitingInterval: 700 * time.Millisecond,
		SpreadFactor:    3,
		CheckpointEvery: 2 * time.Second,
		Restore:         300 * time.Millisecond,
		TaskStop:        500 * time.Millisecond,
		Reclaim:         2900 * time.Millisecond,
	}
}

// Model is the state of one leader's planner.
type Model struct {
	epoch  int64
	timing Timing
	policy Policy

	config rules.Config
	teams  teamRules
	// teamLedger counts what each team holds, rate the jobs that each team sends.
	teamLedger *share.Ledger
	rate       *share.Rate
	// leftovers holds jobs that earlier leaders ended.
	leftovers leftovers
	// outOfService holds the failure domains that are out of service.
	outOfService map[string]bool
	// loaded is set once every row that existed at takeover was received.
	loaded bool
	now    time.Time
	// leaderSince is when this leader took over.
	leaderSince time.Time
	// earlierUntil is until when earlier leaders may start tasks and renew leases.
	earlierUntil time.Time

	workers map[string]*worker
	// sortedWorkers holds all workers by target, failure domain, rack and
	// identifier.
	sortedWorkers []*worker
	racks         []rack

	jobs  map[string]*job
	queue []*gang
	// active holds the gangs that have runs or a reservation.
	active sets.Ordered[*gang]
	// pollSoon holds workers that may have to be polled before the next tick.
	pollSoon     []*worker
	lastTick     time.Time
	reservations sets.Ordered[*gang]
	view         passView
	// nextTeams is when the next report on teams is due.
	nextTeams time.Time
	// nextFragments is when the next report on fragmentation is due, and fragmented is
	// set if the last one names a target.
	nextFragments time.Time
	fragmented    bool
	// teamsReported is set if the newest report named teams.
	teamsReported bool
	// claims counts the gangs that hold a claim, and claimed is what their claims need
	// by target, in equivalents of cores.
	claims  int
	claimed map[string]float64
	// changed is set when a placement pass may have a new result.
	changed  bool
	nextPass time.Time
	// soonestPass is the earliest time of the next placement pass.
	soonestPass time.Time

	write     writeState
	estimator durationEstimator
	runTimes  runTimes
	// urgent is the rate at which urgent work arrives.
	urgent arrivalRate
	risk   riskState
	cmds   []Cmd
}

// New returns a planner, without any state, for the leader with the given epoch.
func New(now time.Time, epoch int64, timing Timing, policy Policy) *Model {
	if policy.Value == (ValuePolicy{}) {
		policy.Value = DefaultValuePolicy()
	}
	return &Model{
		epoch:        epoch,
		timing:       timing,
		policy:       policy,
		leaderSince:  now,
		earlierUntil: now.Add(vouch.Margin),
		teamLedger:   share.New(),
		rate:         share.NewRate(),
		leftovers:    leftovers{jobs: map[string]record.Job{}},
		outOfService: map[string]bool{},
		workers:      map[string]*worker{},
		claimed:      map[string]float64{},
		jobs:         map[string]*job{},
		write:        newWriteState(),
		estimator:    newDurationEstimator(),
		risk:         newRiskState(timing, policy),
		runTimes:     newRunTimes(now, policy),
	}
}

// Update applies a message and returns the model and the resulting commands.
// The previous model must not be used afterwards.
func (m *Model) Update(now time.Time, msg Msg) (*Model, []Cmd) {
	m.cmds = nil
	m.now = now
	switch msg := msg.(type) {
	case TickMsg:
	case JobMsg:
		m.addJob(now, msg)
	case CancelMsg:
		m.cancel(now, msg.ID)
	case EarlierLeadersMsg, RosterMsg, RunTimesMsg, LoadedMsg:
		m.load(now, msg)
	case ConfigMsg:
		m.setConfig(msg.Config)
	case DomainsMsg:
		m.setDomains(msg.OutOfService)
	case WorkersMsg:
		m.setWorkers(now, msg)
	case StartMsg:
		m.handleStart(now, msg)
	case StopMsg:
		m.handleStop(now, msg)
	case PollMsg:
		m.handlePoll(now, msg)
	case WrittenMsg:
		m.handleWritten(now, msg)
	}
	_, tick := msg.(TickMsg)
	m.applyDue(now, tick || !now.Before(m.lastTick.Add(tickInterval)))
	return m, m.cmds
}

// load handles what is read of earlier leaders, apart from jobs.
func (m *Model) load(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case EarlierLeadersMsg:
		m.setEarlierUntil(now, msg.ActUntil)
	case RosterMsg:
		m.addRoster(now, msg.Workers)
	case RunTimesMsg:
		m.restoreRunTimes(msg.Data)
	case LoadedMsg:
		m.loaded = true
		m.changed = true
	}
}

// applyDue does what the message or the passing of time has made due. Work over
// all workers and gangs is done only at ticks.
func (m *Model) applyDue(now time.Time, tick bool) {
	if tick {
		m.lastTick = now
		m.expireWorkers(now)
		m.expireGangs(now)
		m.settleLeftovers(now)
		m.pollDue(now)
	}
	m.startReserved(now)
	m.runPass(now)
	m.endFragments()
	m.reportTeams(now)
	m.pollSoonest(now)
	m.flush(now)
}

// tickInterval is the time between two ticks while gangs run or wait.
const tickInterval = 100 * time.Millisecond

// Next returns when the planner needs its next tick.
func (m *Model) Next() (time.Time, bool) {
	next := m.write.nextRenewal
	if m.active.Len() > 0 || len(m.queue) > 0 {
		next = earlier(next, m.lastTick.Add(tickInterval))
	}
	if m.changed && len(m.queue) > 0 {
		next = earlier(next, m.soonestPass)
	}
	return next, true
}

// setConfig applies a configuration unless a newer one is in force.
func (m *Model) setConfig(config rules.Config) {
	if config.Version < m.config.Version {
		return
	}
	m.config = config
	m.teams = newTeamRules(config)
	for _, j := range m.jobs {
		if q, ok := config.Queue(j.spec.Queue); ok {
			j.queue = q
		}
	}
	m.changed = true
}

func (m *Model) setDomains(out []string) {
	m.outOfService = make(map[string]bool, len(out))
	for _, d := range out {
		m.outOfService[d] = true
	}
	m.changed = true
}

func (m *Model) emit(cmd Cmd) {
	m.cmds = append(m.cmds, cmd)
}

// reportDecision emits a DecisionCmd.
func (m *Model) reportDecision(kind Decision, g *gang, w *worker, detail string) {
	d := DecisionCmd{Kind: kind, Detail: detail, ConfigVersion: m.config.Version}
	if g != nil {
		d.Job, d.Step, d.First, d.Attempt = g.job.spec.ID, g.step, g.first, g.attempt
	}
	if w != nil {
		d.Worker, d.Domain = w.ID, w.Domain
		if !w.polledAt.IsZero() {
			d.InputAge = m.now.Sub(w.polledAt)
		}
	}
	if kind == JobEnded {
		d.Team, d.Priority, d.AcceptedAt = g.job.spec.Team, g.job.queue.Priority, g.job.acceptedAt
		d.Due, _ = m.deadlines(g.job)
	}
	if kind == Placed || kind == Preempted {
		d.FreeAccelerators, d.IdleWorkers = m.view.free, m.view.idle
	}
	m.emit(d)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

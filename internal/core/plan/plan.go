// Package plan decides which tasks run on which of the platform's workers. It
// is a pure state machine: Update takes the time and a message and returns the
// model and commands. It does no input or output, starts no goroutine and reads
// no clock.
//
// Any number of planners may believe that they lead. Only the one with the
// highest epoch gets anything done: workers refuse a lower epoch, and a
// transaction fails unless the leader's row is as this leader left it.
package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/core/sets"
)

// Timing holds the lengths of time that the planner adds to the present to get
// the deadlines it stores.
type Timing struct {
	// Lease is how long a worker goes on after the last renewal.
	Lease time.Duration
	// LongestLease is the longest lease that any leader may have given.
	LongestLease time.Duration
	// LookWait is how long a worker may hold a look's answer back.
	LookWait time.Duration
	// LookRetry is the pause after a look without an answer.
	LookRetry time.Duration
	// Silence is how long after its last answer a worker still gets new work.
	Silence time.Duration
	// StartRetry is the pause after a start without an answer.
	StartRetry time.Duration
	// GangWait is how long the members of a gang wait for each other.
	GangWait time.Duration
	// Reserve is how long a place may be kept for a gang whose room is being
	// made by stopping others.
	Reserve time.Duration
	// ProgressDelay is how long progress that ends no job may stay unwritten.
	ProgressDelay time.Duration
	// Bench is how long a worker that fails its tasks gets none.
	Bench time.Duration
	// KeepEnded is how long the rows of an ended job are kept.
	KeepEnded time.Duration
	// RenewInterval is the longest time between two writes of the leader's row.
	RenewInterval time.Duration
	// WaitingInterval is the least time between two writes of queue lengths.
	WaitingInterval time.Duration
	// SpreadFactor is how many times longer a task takes away from its data or
	// a gang takes across racks that should lie in one.
	SpreadFactor float64
	// CheckpointEvery is the work between two checkpoints.
	CheckpointEvery time.Duration
	// Restore is how long it takes to go on from a checkpoint.
	Restore time.Duration
	// TaskStop is how long a stopped task may take to end.
	TaskStop time.Duration
	// Reclaim is how soon urgent work within its team's guarantee must begin.
	Reclaim time.Duration
}

// DefaultTiming returns the timing that the settings start from.
func DefaultTiming() Timing {
	return Timing{
		Lease:           5 * time.Second,
		LongestLease:    6 * time.Second,
		LookWait:        1200 * time.Millisecond,
		LookRetry:       150 * time.Millisecond,
		Silence:         2500 * time.Millisecond,
		StartRetry:      50 * time.Millisecond,
		GangWait:        2500 * time.Millisecond,
		Reserve:         3 * time.Second,
		ProgressDelay:   300 * time.Millisecond,
		Bench:           4 * time.Second,
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

// Model is the planner of one leader.
type Model struct {
	epoch  int64
	timing Timing

	config  rules.Config
	out     map[string]bool
	loaded  bool
	now     time.Time
	takenAt time.Time

	workers map[string]*worker
	// order is all workers by failure domain, rack and identifier.
	order []*worker
	racks []rack

	jobs  map[string]*job
	queue []*gang
	// active gangs have runs or a reservation.
	active sets.Ordered[*gang]
	// touched are the workers that may be due for a look at once.
	touched  []*worker
	lastTick time.Time
	reserves sets.Ordered[*gang]
	view     passView
	// claims counts the gangs for which workers are being cleared.
	claims int
	// changed is set when a pass over the queue may find something new.
	changed  bool
	nextPass time.Time
	// soonestPass is when a pass may follow even if something has changed.
	soonestPass time.Time

	write writeState
	learn learner
	// urgent is the rate at which urgent work arrives.
	urgent arrivals
	cmds   []Cmd
}

// New returns a planner that leads under the epoch and knows nothing yet.
func New(now time.Time, epoch int64, timing Timing) *Model {
	return &Model{
		epoch:   epoch,
		timing:  timing,
		takenAt: now,
		out:     map[string]bool{},
		workers: map[string]*worker{},
		jobs:    map[string]*job{},
		write:   newWriteState(),
		learn:   newLearner(),
	}
}

// Update applies one message and returns the model and the commands that
// follow. The earlier value must not be used afterwards.
func (m *Model) Update(now time.Time, msg Msg) (*Model, []Cmd) {
	m.cmds = nil
	m.now = now
	switch msg := msg.(type) {
	case TickMsg:
	case JobMsg:
		m.addJob(now, msg)
	case CancelMsg:
		m.cancel(now, msg.ID)
	case RosterMsg:
		m.setRoster(now, msg.Workers)
	case LoadedMsg:
		m.loaded = true
		m.changed = true
	case ConfigMsg:
		m.setConfig(msg.Config)
	case DomainsMsg:
		m.setDomains(msg.Out)
	case WorkersMsg:
		m.setWorkers(now, msg)
	case StartMsg:
		m.startEnded(now, msg)
	case StopMsg:
		m.stopEnded(now, msg)
	case LookMsg:
		m.lookEnded(now, msg)
	case WrittenMsg:
		m.written(now, msg)
	}
	_, tick := msg.(TickMsg)
	m.settle(now, tick || !now.Before(m.lastTick.Add(tickInterval)))
	return m, m.cmds
}

// settle does what the message and the time made due. What has to go through
// all workers and gangs is done at ticks only.
func (m *Model) settle(now time.Time, tick bool) {
	if tick {
		m.lastTick = now
		m.expireWorkers(now)
		m.expireGangs(now)
		m.lookAtWorkers(now, m.order)
	}
	m.startReserved(now)
	m.pass(now)
	m.lookAtWorkers(now, m.touched)
	m.touched = m.touched[:0]
	m.flush(now)
}

// tickInterval is the time between two ticks while something runs or waits.
const tickInterval = 100 * time.Millisecond

// Next returns when the planner wants its tick.
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

func (m *Model) setConfig(config rules.Config) {
	if config.Version < m.config.Version {
		return
	}
	m.config = config
	for _, j := range m.jobs {
		if q, ok := config.Queue(j.spec.Queue); ok {
			j.queue = q
		}
	}
	m.changed = true
}

func (m *Model) setDomains(out []string) {
	m.out = make(map[string]bool, len(out))
	for _, d := range out {
		m.out[d] = true
	}
	m.changed = true
}

func (m *Model) emit(cmd Cmd) {
	m.cmds = append(m.cmds, cmd)
}

func (m *Model) decide(kind Decision, g *gang, w *worker, detail string) {
	d := DecisionCmd{Kind: kind, Detail: detail, ConfigVersion: m.config.Version}
	if g != nil {
		d.Job, d.Step, d.First, d.Attempt = g.job.spec.ID, g.step, g.first, g.attempt
	}
	if w != nil {
		d.Worker, d.Domain = w.ID, w.Domain
		if !w.lookedAt.IsZero() {
			d.InputAge = m.now.Sub(w.lookedAt)
		}
	}
	if kind == Placed || kind == Preempted {
		d.Free, d.Whole = m.view.free, m.view.whole
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

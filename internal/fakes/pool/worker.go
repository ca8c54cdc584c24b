package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Worker is one incarnation of a worker.
type Worker struct {
	Entry plan.Worker
	// A worker that is Unreachable answers no call, a Dead one has crashed, and
	// one that is Hung makes no progress.
	Unreachable, Dead, Hung bool
	// Replaced is set when another worker answers at the address of this one, which
	// is dead.
	Replaced bool
	// Refuses is the outcome of all starts, of which the worker does nothing; zero if it
	// accepts them.
	Refuses plan.StartOutcome
	// A worker that Sheds refuses all starts and polls at once, and does nothing of them.
	Sheds bool
	// A Deaf worker leaves starts unanswered and does nothing of them. A Mute one carries
	// requests out and answers none.
	Deaf, Mute bool
	// Slowdown is the factor by which work takes longer; 0 means normal speed.
	Slowdown float64
	// PollDelay delays status polls on their way to the worker.
	PollDelay time.Duration
	// Unguarded workers start whatever they are told to, also beyond their
	// capacity.
	Unguarded bool

	// fence is the highest epoch of a call so far; calls with a lower one are
	// refused.
	fence int64
	// lease is when the worker's lease expires, by the worker's clock.
	lease          time.Time
	runs           map[plan.TaskID]*run
	highestAttempt map[plan.TaskID]int
	// ended holds the ends that are not acknowledged yet, lastEnd the number of
	// the newest end.
	ended   []plan.EndReport
	lastEnd int64
	// endTimes holds when each run ended, by the number of its end.
	endTimes map[int64]time.Time
	// leaseExpiredAt is when the lease was last found expired.
	leaseExpiredAt time.Time
	pendingPolls   []func()
	// formerCapacities holds the capacities that the worker had before.
	formerCapacities []formerCapacity
}

// run is one attempt to run a task. working reports whether it has begun to work,
// which the members of a gang do together.
type run struct {
	task     plan.TaskID
	attempt  int
	need     record.Amount
	workTime time.Duration
	begunAt  time.Time
	working  bool
	stopping bool
	// finished is set when the run has done its work; it ends only when all
	// members of its gang have.
	finished bool
}

// Running returns how many runs the worker has.
func (w *Worker) Running() int {
	return len(w.runs)
}

// Tasks returns the tasks of the worker's runs.
func (w *Worker) Tasks() []plan.TaskID {
	return slices.Collect(maps.Keys(w.runs))
}

// Unacknowledged returns how many ended runs the worker still reports.
func (w *Worker) Unacknowledged() int {
	return len(w.ended)
}

func (w *Worker) sortedRuns() []*run {
	runs := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Step, b.task.Step),
			cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.task.Occurrence, b.task.Occurrence))
	})
	return runs
}

// scaledTime returns how long work takes on this worker if it takes the given
// time on a worker of normal speed.
func (w *Worker) scaledTime(normal time.Duration) time.Duration {
	if w.Slowdown == 0 {
		return normal
	}
	return time.Duration(float64(normal) * w.Slowdown)
}

func (w *Worker) hasCapacity(need, capacity record.Amount) bool {
	free := capacity
	for _, r := range w.runs {
		free.MilliCores -= r.need.MilliCores
		free.MemoryMB -= r.need.MemoryMB
		free.Accelerators -= r.need.Accelerators
	}
	return need.MilliCores <= free.MilliCores && need.MemoryMB <= free.MemoryMB && need.Accelerators <= free.Accelerators
}

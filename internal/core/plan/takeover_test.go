package plan_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/fakes/pool"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// takeoverBound is how long after its last takeover but one an earlier leader's
	// runs may exist on a worker that is lost: the time for which it may renew leases,
	// and the longest lease by a slow clock.
	takeoverBound = 2*time.Second + 6120*time.Millisecond + 20*time.Millisecond
	// placeBound is the limit for a task to run again once no run of it can exist.
	placeBound = 3 * time.Second
	wideTasks  = 31
)

// lossWorld is a world in which a failure domain is lost while a wide step of single
// tasks runs there beside idle workers.
type lossWorld struct {
	*world
	wide   record.Job
	lostAt time.Time
}

// newLossWorld runs a wide step on workers that are sorted after a hundred idle ones of
// the same failure domain. If first is set, the step follows one that has ended.
func newLossWorld(t *testing.T, first bool) *lossWorld {
	t.Helper()
	const fillers = 100
	w := &lossWorld{world: newWorld(1, 480)}
	w.work = func(t plan.TaskID) time.Duration {
		if t.Job == w.wide.ID && t.Step == len(w.wide.Steps)-1 {
			return time.Minute
		}
		return time.Second
	}
	w.run(200 * time.Millisecond)
	for i := range fillers {
		w.submit(job(i+1, "long", step(1, 8)))
	}
	w.run(300 * time.Millisecond)
	s := step(wideTasks, 1)
	s.SpreadLimit = 1
	s.EstimateMillis = 60000
	w.wide = job(1<<20, "long", s)
	if first {
		s.After = []int{0}
		w.wide.Steps = []record.Step{step(1, 1), s}
	}
	w.submit(w.wide)
	w.run(4 * time.Second)
	if n := w.running(); n != wideTasks {
		t.Fatalf("%d tasks run before the loss, want %d", n, wideTasks)
	}
	return w
}

// running counts the tasks of the wide step that run.
func (w *lossWorld) running() int {
	n := 0
	for _, id := range w.IDs() {
		f := w.Worker(id)
		if f.Dead {
			continue
		}
		for _, task := range f.Tasks() {
			if task.Job == w.wide.ID && task.Step == len(w.wide.Steps)-1 {
				n++
			}
		}
	}
	return n
}

// lose ends every worker of a failure domain for good. The leader is told of it
// seconds later.
func (w *lossWorld) lose(domain string) {
	w.lostAt = w.now
	var gone []string
	for _, f := range w.domain(domain) {
		w.Crash(f)
		gone = append(gone, f.Entry.ID)
	}
	w.After(3*time.Second, func() { w.send(plan.WorkersMsg{Gone: gone}) })
}

// domain returns the workers of a failure domain.
func (w *lossWorld) domain(name string) []*pool.Worker {
	var workers []*pool.Worker
	for _, id := range w.IDs() {
		if f := w.Worker(id); f.Entry.Domain == name {
			workers = append(workers, f)
		}
	}
	return workers
}

// dead returns the entries of the workers that have ended for good.
func (w *lossWorld) dead() []plan.Worker {
	var entries []plan.Worker
	for _, id := range w.IDs() {
		if f := w.Worker(id); f.Dead {
			entries = append(entries, f.Entry)
		}
	}
	return entries
}

// wait runs until every task runs again, and returns the time since then.
func (w *lossWorld) wait(since time.Time) time.Duration {
	for w.running() < wideTasks && w.now.Sub(since) < time.Minute {
		w.run(20 * time.Millisecond)
	}
	return w.now.Sub(since)
}

// Guards against tasks of a wide step without a gang that have nothing running for long
// after their workers were lost with a failure domain and leaders were replaced, while
// most of the capacity is free.
func TestLostTasksRunAgainAfterTakeover(t *testing.T) {
	t.Parallel()
	for _, first := range []bool{false, true} {
		for _, terms := range [][]time.Duration{
			nil, {0}, {2 * time.Second}, {time.Second, 2 * time.Second}, {time.Second, 3 * time.Second, 4 * time.Second},
		} {
			t.Run(fmt.Sprintf("%v %v", first, terms), func(t *testing.T) {
				w := newLossWorld(t, first)
				w.lose("domain-0")
				firstTakeover := w.now
				for i, term := range terms {
					w.run(term)
					if i == 0 {
						firstTakeover = w.now
					}
					w.replaceLeader()
				}
				if took := w.wait(firstTakeover); took > takeoverBound+placeBound {
					t.Errorf("the tasks ran again after %v, want at most %v", took, takeoverBound+placeBound)
					for _, e := range w.Events() {
						if strings.Contains(e, w.wide.ID+" step") && !strings.Contains(e, "domain") {
							t.Log(e)
						}
					}
				}
				for _, p := range w.Problems() {
					t.Error(p)
				}
			})
		}
	}
}

// Guards against a chain of leaders that each wait anew for the leases of lost workers
// which stay in the list for a while.
func TestLostTasksRunAgainWhileWorkersAreListed(t *testing.T) {
	t.Parallel()
	const listed = 4500 * time.Millisecond
	w := newLossWorld(t, false)
	w.lose("domain-0")
	w.run(500 * time.Millisecond)
	firstTakeover := w.now
	for _, term := range []time.Duration{2 * time.Second, 1500 * time.Millisecond, 4 * time.Second, 0} {
		w.replaceLeader()
		if w.now.Sub(w.lostAt) < listed {
			w.send(plan.WorkersMsg{Changed: w.dead()})
		}
		w.run(term)
	}
	if took := w.wait(firstTakeover); took > takeoverBound+placeBound {
		t.Errorf("the tasks ran again after %v, want at most %v", took, takeoverBound+placeBound)
	}
	for _, p := range w.Problems() {
		t.Error(p)
	}
}

// Guards against runs that are lost, or that are started twice, because a leader has
// promised not to renew the leases of workers that were cut off for a short time.
func TestWithheldWorkersKeepTheirRuns(t *testing.T) {
	t.Parallel()
	w := newLossWorld(t, false)
	cutOff := w.domain("domain-0")
	for _, f := range cutOff {
		f.Unreachable = true
	}
	w.replaceLeader()
	w.run(2 * time.Second)
	withheld := 0
	for _, r := range w.rosters {
		for _, e := range r.Workers {
			if e.WithheldBy != 0 {
				withheld++
			}
		}
	}
	if withheld == 0 {
		t.Error("no worker is withheld in the stored roster")
	}
	w.replaceLeader()
	w.run(time.Second)
	for _, f := range cutOff {
		f.Unreachable = false
	}
	w.run(20 * time.Second)
	for _, r := range w.rosters {
		for _, e := range r.Workers {
			if e.WithheldBy != 0 {
				t.Errorf("%s is still withheld", e.ID)
			}
		}
	}
	for i := range wideTasks {
		if n := w.Starts(plan.TaskID{Job: w.wide.ID, Index: i}); n != 1 {
			t.Errorf("task %d was started %d times", i, n)
		}
	}
	for _, p := range w.Problems() {
		t.Error(p)
	}
}

// Guards against a second start of a task by a leader that believes a withheld worker's
// runs to be over, while leaders that were replaced still reach the worker and renew its
// lease for as long as they may.
func TestWithheldWorkersOfAnOutdatedLeader(t *testing.T) {
	t.Parallel()
	for _, terms := range [][]time.Duration{
		{time.Second, time.Second, 2 * time.Second}, {2 * time.Second, 4 * time.Second}, {1500 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(terms), func(t *testing.T) {
			w := newLossWorld(t, false)
			for _, f := range w.domain("domain-0") {
				w.partitioned[f.Entry.ID] = true
			}
			w.addLeader()
			outdated := w.planners[0]
			w.After(1900*time.Millisecond, func() { outdated.superseded = true })
			for _, term := range terms {
				w.run(term)
				w.planners[len(w.planners)-1].superseded = true
				w.addLeader()
			}
			w.run(20 * time.Second)
			for _, p := range w.Problems() {
				t.Error(p)
			}
			if n := w.running(); n != wideTasks {
				t.Errorf("%d tasks run", n)
			}
		})
	}
}

// Guards against a leader that renews the leases of withheld workers before it has
// stored that they are back: the next leader would start their tasks a second time.
func TestWithheldWorkersReturnWhileStoreIsAway(t *testing.T) {
	t.Parallel()
	for name, inherited := range map[string]bool{"withheld by this leader": false, "withheld by the leader before": true} {
		t.Run(name, func(t *testing.T) {
			w := newLossWorld(t, false)
			cutOff := w.domain("domain-0")
			for _, f := range cutOff {
				f.Unreachable = true
			}
			w.replaceLeader()
			w.run(2 * time.Second)
			if inherited {
				w.replaceLeader()
				w.run(100 * time.Millisecond)
			}
			w.storeDown = true
			for _, f := range cutOff {
				f.Unreachable = false
			}
			w.run(5 * time.Second)
			for _, f := range cutOff {
				w.partitioned[f.Entry.ID] = true
			}
			w.replaceLeader()
			w.storeDown = false
			w.run(20 * time.Second)
			for _, p := range w.Problems() {
				t.Error(p)
			}
			if n := w.running(); n != wideTasks {
				t.Errorf("%d tasks run", n)
			}
		})
	}
}

// Guards against a takeover that restarts the wait for leases which the leader before
// had not renewed for seconds.
func TestTakeoverKeepsEarlierWait(t *testing.T) {
	const leaseBound = 5300 * time.Millisecond
	w := newLossWorld(t, false)
	w.lose("domain-0")
	w.run(4 * time.Second)
	w.replaceLeader()
	if took := w.wait(w.lostAt); took > leaseBound+placeBound {
		t.Errorf("the tasks ran again %v after the loss, want at most %v", took, leaseBound+placeBound)
	}
	for _, p := range w.Problems() {
		t.Error(p)
	}
}

// Guards against leaders that each wait anew to learn whether a lost worker had crashed
// under a task that had crashed others before.
func TestTakeoverKeepsWaitForLostWorker(t *testing.T) {
	const lossWait = 10 * time.Second
	w := newWorld(1, 12)
	w.work = func(plan.TaskID) time.Duration { return time.Minute }
	w.run(100 * time.Millisecond)
	j := job(1, "long", step(1, 2))
	w.submit(j)
	w.run(time.Second)
	row := w.progress[j.ID]
	row.Gangs[0].Crashes = []record.Crash{{Attempt: -2}, {Attempt: -1}}
	w.replaceLeader()
	w.run(time.Second)
	task := plan.TaskID{Job: j.ID}
	for _, id := range w.IDs() {
		if f := w.Worker(id); len(f.Tasks()) > 0 {
			w.removeWorker(f)
		}
	}
	lostAt := w.now
	for w.Starts(task) == 1 && w.now.Sub(lostAt) < time.Minute {
		w.run(4 * time.Second)
		w.replaceLeader()
	}
	if took := w.now.Sub(lostAt); took > takeoverBound+lossWait+placeBound {
		t.Errorf("the task ran again %v after the loss", took)
	}
	for _, p := range w.Problems() {
		t.Error(p)
	}
}

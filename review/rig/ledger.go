package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.begin).Seconds(), who, fmt.Sprintf(format, args...))
}

// ledgerRun is one run of a task.
type ledgerRun struct {
	task, worker   string
	attempt        int
	begun, endedAt time.Time
	how            string
	acked          bool
	ackedAt        time.Time
}

// ledger holds all runs that workers have begun.
type ledger struct {
	mu     sync.Mutex
	runs   []*ledgerRun
	lapses map[string][]time.Time
}

func (l *ledger) started(task string, attempt int, worker string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &ledgerRun{task: task, worker: worker, attempt: attempt, begun: time.Now()})
	return len(l.runs) - 1
}

func (l *ledger) ended(id int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].how, l.runs[id].endedAt = how, time.Now()
}

func (l *ledger) acknowledged(id int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id].acked, l.runs[id].ackedAt = true, time.Now()
}

func (l *ledger) lapsed(worker string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapses[worker] = append(l.lapses[worker], at)
}

// of returns the runs of a job's tasks.
func (l *ledger) of(job string) []ledgerRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []ledgerRun
	for _, r := range l.runs {
		if j, _ := jobOf(r.task); j == job {
			runs = append(runs, *r)
		}
	}
	return runs
}

// lapsedBetween reports whether a worker's lease lapsed in a span. The caller holds
// l.mu.
func (l *ledger) lapsedBetween(worker string, from, to time.Time) bool {
	for _, at := range l.lapses[worker] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// twice returns the starts that break the rule TWICE: beside another run of the task,
// or after one has ended done whose end is taken note of.
func (l *ledger) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	byTask := map[string][]*ledgerRun{}
	var found []string
	for _, r := range l.runs {
		for _, e := range byTask[r.task] {
			beside := e.how == "" || e.endedAt.After(r.begun)
			noted := e.how == "done" && e.acked && !l.lapsedBetween(e.worker, e.endedAt, e.ackedAt)
			switch {
			case beside:
				found = append(found, fmt.Sprintf("%s: attempt %d starts on %s while attempt %d runs on %s", r.task, r.attempt, r.worker, e.attempt, e.worker))
			case noted:
				found = append(found, fmt.Sprintf("%s: attempt %d starts on %s %d ms after attempt %d has ended done on %s; that end is taken note of",
					r.task, r.attempt, r.worker, r.begun.Sub(e.endedAt).Milliseconds(), e.attempt, e.worker))
			}
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	return found
}

// plans holds what the tasks of jobs do.
type plans struct {
	mu   sync.Mutex
	jobs map[string][]taskPlan
}

func (p *plans) set(job string, steps ...taskPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[job] = steps
}

func (p *plans) of(task string) (taskPlan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job, step := jobOf(task)
	steps := p.jobs[job]
	if step >= len(steps) {
		return taskPlan{work: time.Second}, false
	}
	return steps[step], true
}

// saves holds the work behind each checkpoint.
type saves struct {
	mu   sync.Mutex
	done map[string]time.Duration
}

func (s *saves) add(work time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprintf("%016x", rand.Uint64())
	s.done[name] = work
	return name
}

func (s *saves) of(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done[name]
}

// count returns the number of runs.
func (l *ledger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// startsIn returns how many runs have begun in the last span.
func (l *ledger) startsIn(span time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if time.Since(r.begun) < span {
			n++
		}
	}
	return n
}

// longestIdle returns the longest part of a span in which no worker runs anything.
func (l *ledger) longestIdle(from, to time.Time) (time.Duration, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	idleFrom, longest, at := from, time.Duration(0), from
	for _, r := range l.runs {
		if r.begun.After(idleFrom) && r.begun.Sub(idleFrom) > longest {
			longest, at = r.begun.Sub(idleFrom), idleFrom
		}
		end := r.endedAt
		if r.how == "" {
			end = to
		}
		if end.After(idleFrom) {
			idleFrom = end
		}
	}
	if to.Sub(idleFrom) > longest {
		longest, at = to.Sub(idleFrom), idleFrom
	}
	return longest, at
}

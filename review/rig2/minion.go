package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the platform that minions keep.
const (
	maxHold     = 6 * time.Second
	gangWait    = 3 * time.Second
	heartbeat   = 1500 * time.Millisecond
	stopTime    = 100 * time.Millisecond
	machineTick = 10 * time.Millisecond
)

type amount struct {
	CPU    int `json:"cpu,omitempty"`
	Memory int `json:"mem_mb,omitempty"`
	GPU    int `json:"gpu,omitempty"`
}

func (a amount) plus(b amount) amount {
	return amount{a.CPU + b.CPU, a.Memory + b.Memory, a.GPU + b.GPU}
}

func (a amount) fits(b amount) bool { return a.CPU <= b.CPU && a.Memory <= b.Memory && a.GPU <= b.GPU }

// taskKind is what a minion knows of a task: what it needs, how long it works and how it
// ends. A task that lasts has no length.
type taskKind struct {
	need   amount
	length time.Duration
	how    string
	// gang is the number of its members, or 0 if it works alone.
	gang int
}

// run is one run of a task on a minion.
type run struct {
	task     string
	attempt  int
	kind     taskKind
	at       time.Time
	began    time.Time
	stopping time.Time
}

type runEnd struct {
	number  int64
	task    string
	attempt int
	how     string
}

// fleet holds all minions. One lock guards them, since the members of a gang are on
// several.
type fleet struct {
	mu      sync.Mutex
	log     *ledger
	minions []*minion
	// kindOf tells what a task is.
	kindOf func(task string, attempt int) (taskKind, bool)
	change chan struct{}
	// done holds the jobs of which a run has ended as done.
	done map[string]bool
}

// minion is a stand-in of a minion that follows the platform's protocol.
type minion struct {
	fleet    *fleet
	id       string
	addr     string
	zone     string
	labels   []string
	capacity amount
	born     time.Time

	fence    int64
	deadline time.Time
	runs     map[string]*run
	ends     []runEnd
	nextEnd  int64
	// ended holds the highest attempt of each task that was stopped or has ended.
	ended map[string]int

	// cut is set while no call reaches the minion and no answer leaves it.
	cut bool
	// down is set while the minion's process does not run.
	down bool
	// shedding is set while the minion is unhealthy and answers each start with 503.
	shedding bool
	// holdsSeen is when the newest call for its lists arrived that renewed its lease.
	holdSeen time.Time
}

func newFleet(log *ledger) *fleet {
	return &fleet{log: log, change: make(chan struct{}), done: map[string]bool{}}
}

func (f *fleet) add(m *minion) {
	m.fleet, m.born = f, time.Now()
	m.runs, m.ended, m.nextEnd = map[string]*run{}, map[string]int{}, 1
	f.minions = append(f.minions, m)
}

// notify wakes the calls that wait for an end. The caller holds f.mu.
func (f *fleet) notify() {
	close(f.change)
	f.change = make(chan struct{})
}

// work lets time pass on all minions until stop is closed.
func (f *fleet) work(stop <-chan struct{}) {
	ticker := time.NewTicker(machineTick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			f.mu.Lock()
			for _, m := range f.minions {
				m.pass(now)
			}
			f.finishGangs(now)
			f.mu.Unlock()
		}
	}
}

// pass ends what has lapsed, been stopped, waited in vain or done its work.
func (m *minion) pass(now time.Time) {
	for _, r := range m.runs {
		switch {
		case !now.Before(m.deadline):
			m.end(now, r, "lapsed")
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopTime:
			m.end(now, r, "stopped")
		case r.kind.gang > 0 && r.began.IsZero() && now.Sub(r.at) >= gangWait:
			m.end(now, r, "alone")
		case r.kind.gang == 0 && r.kind.length > 0 && now.Sub(r.at) >= r.kind.length:
			m.end(now, r, r.kind.how)
		}
	}
}

// gangName returns the task's name without its index.
func gangName(task string) string {
	return task[:strings.LastIndexByte(task, '.')]
}

// finishGangs begins the work of complete gangs and ends it. The caller holds f.mu.
func (f *fleet) finishGangs(now time.Time) {
	type key struct {
		name    string
		attempt int
	}
	members := map[key][]*run{}
	on := map[*run]*minion{}
	for _, m := range f.minions {
		for _, r := range m.runs {
			if r.kind.gang > 0 {
				k := key{gangName(r.task), r.attempt}
				members[k] = append(members[k], r)
				on[r] = m
			}
		}
	}
	for _, runs := range members {
		complete := len(runs) == runs[0].kind.gang
		for _, r := range runs {
			switch {
			case complete && r.began.IsZero():
				r.began = now
				f.log.add("gang member at work", "task", r.task, "attempt", r.attempt, "minion", on[r].id)
			case !complete && !r.began.IsZero():
				on[r].end(now, r, "broken")
			case complete && now.Sub(r.began) >= r.kind.length:
				on[r].end(now, r, r.kind.how)
			}
		}
	}
}

// end ends a run and lists the end. The caller holds the lock.
func (m *minion) end(now time.Time, r *run, how string) {
	delete(m.runs, r.task)
	m.ended[r.task] = max(m.ended[r.task], r.attempt)
	m.ends = append(m.ends, runEnd{m.nextEnd, r.task, r.attempt, how})
	m.nextEnd++
	if how == "done" {
		id, _, _ := strings.Cut(r.task, ".")
		m.fleet.done[id] = true
	}
	m.fleet.log.add("end", "task", r.task, "attempt", r.attempt, "minion", m.id, "how", how)
	m.fleet.notify()
}

// failAll ends all runs of the task with "failed".
func (f *fleet) fail(job string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		for _, r := range m.runs {
			if strings.HasPrefix(r.task, job+".") {
				m.end(time.Now(), r, "failed")
				return m.id
			}
		}
	}
	return ""
}

type minionCall struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Saved    string `json:"saved"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// clock is the minion's own steady clock, which begins with it.
func (m *minion) clock(now time.Time) int64 { return now.Sub(m.born).Milliseconds() + 1000 }

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if m.isDown() {
		panic(http.ErrAbortHandler)
	}
	m.awaitCut(r)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call minionCall
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	born := m.bornAt()
	status, answer := m.carryOut(r, call)
	m.awaitCut(r)
	if m.isDown() || !born.Equal(m.bornAt()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

func (m *minion) isDown() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.down
}

func (m *minion) bornAt() time.Time {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.born
}

// crash ends the process of the minion that runs a task of the job, and all that runs there.
func (f *fleet) crash(job string) *minion {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		for task := range m.runs {
			if strings.HasPrefix(task, job+".") {
				m.down = true
				m.runs, m.ends, m.ended = map[string]*run{}, nil, map[string]int{}
				m.nextEnd, m.fence, m.deadline = 1, 0, time.Time{}
				f.notify()
				return m
			}
		}
	}
	panic(errNotRun{"no minion runs " + job})
}

// restart starts the process of a minion again. It knows nothing of before.
func (f *fleet) restart(m *minion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.down, m.born = false, time.Now()
}

// awaitCut drops what a partition drops: the connection breaks once it is over, or its
// caller has left.
func (m *minion) awaitCut(r *http.Request) {
	m.fleet.mu.Lock()
	cut := m.cut
	m.fleet.mu.Unlock()
	if !cut {
		return
	}
	for cut {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(machineTick):
		}
		m.fleet.mu.Lock()
		cut = m.cut
		m.fleet.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

func (m *minion) carryOut(r *http.Request, call minionCall) (int, map[string]any) {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	answer := map[string]any{"clock_ms": m.clock(now)}
	path := r.URL.Path
	if strings.HasSuffix(path, "/run-start") && m.shedding {
		f.log.add("start refused", "task", call.Task, "attempt", call.Attempt, "minion", m.id, "status", 503)
		return http.StatusServiceUnavailable, answer
	}
	if call.Fence < m.fence {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	m.fence = call.Fence
	switch {
	case strings.HasSuffix(path, "/run-start"):
		return m.start(now, call, answer)
	case strings.HasSuffix(path, "/run-stop"):
		m.stop(now, call)
		return http.StatusOK, answer
	default:
		return m.hold(r, now, call)
	}
}

// lease extends the lease of all that runs here.
func (m *minion) lease(now time.Time, deadline int64) {
	if deadline == 0 {
		return
	}
	until := now.Add(min(time.Duration(deadline-m.clock(now))*time.Millisecond, maxHold))
	if until.After(m.deadline) {
		m.deadline = until
	}
}

func (m *minion) start(now time.Time, call minionCall, answer map[string]any) (int, map[string]any) {
	f := m.fleet
	refuse := func(reason string) (int, map[string]any) {
		f.log.add("start refused", "task", call.Task, "attempt", call.Attempt, "minion", m.id, "reason", reason)
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if r := m.runs[call.Task]; r != nil && r.attempt == call.Attempt {
		m.lease(now, call.Deadline)
		return http.StatusOK, answer
	}
	if call.Deadline <= m.clock(now) {
		return refuse("late")
	}
	if call.Attempt <= m.ended[call.Task] {
		m.lease(now, call.Deadline)
		return refuse("old")
	}
	kind, known := f.kindOf(call.Task, call.Attempt)
	if !known {
		f.log.add("start of what nobody sent", "task", call.Task, "minion", m.id)
		return http.StatusBadRequest, answer
	}
	used := kind.need
	for _, r := range m.runs {
		used = used.plus(r.kind.need)
	}
	if !used.fits(m.capacity) || m.runs[call.Task] != nil {
		m.lease(now, call.Deadline)
		return refuse("room")
	}
	m.runs[call.Task] = &run{task: call.Task, attempt: call.Attempt, kind: kind, at: now}
	m.lease(now, call.Deadline)
	f.log.add("start", "task", call.Task, "attempt", call.Attempt, "minion", m.id, "fence", call.Fence)
	return http.StatusOK, answer
}

func (m *minion) stop(now time.Time, call minionCall) {
	m.ended[call.Task] = max(m.ended[call.Task], call.Attempt)
	if r := m.runs[call.Task]; r != nil && r.attempt <= call.Attempt && r.stopping.IsZero() {
		r.stopping = now
	}
}

// hold lists the runs and the ends. It waits for an end while there is none to list.
// The caller holds the lock.
func (m *minion) hold(r *http.Request, now time.Time, call minionCall) (int, map[string]any) {
	f := m.fleet
	m.lease(now, call.Deadline)
	if call.Deadline > 0 {
		m.holdSeen = now
	}
	m.ends = slices.DeleteFunc(m.ends, func(e runEnd) bool { return e.number <= call.Cursor })
	until := time.After(time.Duration(min(call.Wait, 2000)) * time.Millisecond)
	for waiting := call.Wait > 0; waiting && len(m.ends) == 0; {
		change := f.change
		f.mu.Unlock()
		select {
		case <-change:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		f.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	now = time.Now()
	for _, n := range m.runs {
		running = append(running, []any{n.task, n.attempt, "", n.percent(now), n.kind.need.CPU})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{
		"clock_ms": m.clock(now), "born": m.born.UnixMilli(), "running": running, "ended": ended,
	}
}

// percent is how much of its work a run has done. A task that lasts is at work at 100.
func (r *run) percent(now time.Time) int {
	from := r.at
	if r.kind.gang > 0 {
		from = r.began
	}
	switch {
	case r.kind.length == 0:
		return 100
	case from.IsZero():
		return 0
	default:
		return int(min(99, 100*now.Sub(from)/r.kind.length))
	}
}

// running returns how many runs the job has, on all minions.
func (f *fleet) running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.minions {
		for _, r := range m.runs {
			if strings.HasPrefix(r.task, job+".") {
				n++
			}
		}
	}
	return n
}

// register writes the minion's entry as often as it has to, until stop is closed.
func (m *minion) register(s *store, stop <-chan struct{}) {
	for seq := 1; ; seq++ {
		if m.isDown() {
			// A minion that has crashed writes nothing.
			time.Sleep(machineTick)
			continue
		}
		s.put("servers", m.id, map[string]any{
			"service": "bells", "addr": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": m.bornAt().UnixMilli(), "capacity": m.capacity, "labels": m.labels,
		})
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (m *minion) String() string { return fmt.Sprintf("%s (%v)", m.id, m.labels) }

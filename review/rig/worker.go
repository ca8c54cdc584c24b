package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is how often a worker writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease.
	maxHold = 6 * time.Second
	// stopGrace is how long a stop takes at most; the stand-in takes half of it.
	stopGrace = 900 * time.Millisecond
	// maxEnds is the number of ends in one answer.
	maxEnds = 500
	// workerTick is how often a worker looks for runs that are over.
	workerTick = 5 * time.Millisecond
)

// amount is a demand or a capacity. CPU is in thousandths of a core.
type amount struct {
	CPU    int `json:"cpu,omitempty"`
	Memory int `json:"mem_mb,omitempty"`
	GPU    int `json:"gpu,omitempty"`
}

func (a amount) fits(in amount) bool {
	return a.CPU <= in.CPU && a.Memory <= in.Memory && a.GPU <= in.GPU
}

func (a amount) minus(b amount) amount {
	return amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPU - b.GPU}
}

// taskPlan is what a task does when it is run.
type taskPlan struct {
	need amount
	work time.Duration
	// saveEvery is the work between two checkpoints; 0 means that none is made.
	saveEvery time.Duration
	// fails reports whether a run fails, by the worker and the attempt.
	fails func(worker string, attempt int) bool
}

// workerRun is a run on a worker.
type workerRun struct {
	task     string
	attempt  int
	plan     taskPlan
	begun    time.Time
	doneWork time.Duration
	saved    string
	saves    int
	stopAt   time.Time
	id       int
}

// workerEnd is an entry of the list of ended runs.
type workerEnd struct {
	number  int64
	run     *workerRun
	how     string
	endedAt time.Time
}

// worker is the stand-in of one minion.
type worker struct {
	rig              *rig
	id, zone, rack   string
	kind             string
	capacity         amount
	addr             string
	server           *http.Server
	stopHeartbeats   chan struct{}
	unhealthy        bool
	sequence         int64
	mu               sync.Mutex
	up               bool
	born             time.Time
	fence            int64
	deadline         int64
	runs             map[string]*workerRun
	highest          map[string]int
	ends             []workerEnd
	endNumber, acked int64
	changed          chan struct{}
}

func (r *rig) addWorker(id, zone, rack, kind string, capacity amount) *worker {
	w := &worker{rig: r, id: id, zone: zone, rack: rack, kind: kind, capacity: capacity, addr: "127.0.0.1:0"}
	w.start()
	r.workers = append(r.workers, w)
	return w
}

// start begins an incarnation of the worker at its address.
func (w *worker) start() {
	listener, err := net.Listen("tcp", w.addr)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", w.addr)
	}
	if err != nil {
		w.rig.fatal("listen for worker: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rattanshore/run-start", w.serveStart)
	mux.HandleFunc("POST /rattanshore/run-stop", w.serveStop)
	mux.HandleFunc("POST /rattanshore/hold", w.serveHold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.mu.Lock()
	w.addr = listener.Addr().String()
	w.up, w.born = true, time.Now()
	w.fence, w.deadline, w.endNumber, w.acked = 0, 0, 0, 0
	w.runs, w.highest, w.ends, w.changed = map[string]*workerRun{}, map[string]int{}, nil, make(chan struct{})
	w.server = &http.Server{Handler: mux}
	w.stopHeartbeats = make(chan struct{})
	server, stop := w.server, w.stopHeartbeats
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.beat(stop)
	go w.work(stop)
}

// crash ends the incarnation with all its runs and connections.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for _, run := range w.runs {
		w.rig.record.add("worker", "%s crashes, run %s attempt %d is lost", w.id, run.task, run.attempt)
		w.rig.runs.ended(run.id, "crashed")
	}
	w.runs = map[string]*workerRun{}
	close(w.stopHeartbeats)
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// beat writes the worker's entry.
func (w *worker) beat(stop chan struct{}) {
	for {
		w.mu.Lock()
		w.sequence++
		entry := map[string]any{
			"service": serviceName, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": w.capacity, "labels": []string{w.kind, w.rack}, "clock_ms": w.clock(),
			"born": w.born.UnixMilli(), "seq": w.sequence,
		}
		w.mu.Unlock()
		if !w.rig.store.busy.Load() {
			w.rig.store.write("servers", w.id, entry)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// clock returns the worker's clock. The caller holds w.mu.
func (w *worker) clock() int64 {
	return time.Since(w.born).Milliseconds() + 1
}

// work ends runs that are over.
func (w *worker) work(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(workerTick):
		}
		w.mu.Lock()
		now := time.Now()
		if w.deadline > 0 && w.clock() > w.deadline && len(w.runs) > 0 {
			w.rig.runs.lapsed(w.id, now)
			for _, run := range w.sorted() {
				w.end(run, "lapsed")
			}
		}
		for _, run := range w.sorted() {
			done := run.doneWork + now.Sub(run.begun)
			if every := run.plan.saveEvery; every > 0 && int(done/every) > run.saves && done < run.plan.work {
				run.saves = int(done / every)
				run.saved = w.rig.saves.add(time.Duration(run.saves) * every)
			}
			switch {
			case !run.stopAt.IsZero() && now.After(run.stopAt):
				w.end(run, "stopped")
			case done >= run.plan.work && run.plan.fails != nil && run.plan.fails(w.id, run.attempt):
				w.end(run, "failed")
			case done >= run.plan.work:
				w.end(run, "done")
			}
		}
		w.mu.Unlock()
	}
}

// sorted returns the runs in a fixed order. The caller holds w.mu.
func (w *worker) sorted() []*workerRun {
	runs := make([]*workerRun, 0, len(w.runs))
	for _, run := range w.runs {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].id < runs[j].id })
	return runs
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(run *workerRun, how string) {
	delete(w.runs, run.task)
	w.highest[run.task] = max(w.highest[run.task], run.attempt)
	w.endNumber++
	w.ends = append(w.ends, workerEnd{w.endNumber, run, how, time.Now()})
	w.rig.runs.ended(run.id, how)
	w.rig.record.add("worker", "%s run %s attempt %d ends %s", w.id, run.task, run.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// command is a start, a stop or a hold.
type command struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Saved    string `json:"saved"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// accept decodes a command and checks its incarnation and fence. The caller must
// unlock w.mu if it returns true.
func (w *worker) accept(h http.ResponseWriter, r *http.Request) (command, bool) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		h.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		h.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	w.mu.Lock()
	if !w.up || c.Fence < w.fence {
		w.refuse(h, "fence")
		w.mu.Unlock()
		return c, false
	}
	w.fence = c.Fence
	return c, true
}

// refuse answers 409. The caller holds w.mu.
func (w *worker) refuse(h http.ResponseWriter, reason string) {
	reply(h, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// extend takes over a lease. The caller holds w.mu.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) serveStart(h http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(h, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if w.unhealthy {
		h.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if run := w.runs[c.Task]; run != nil && run.attempt == c.Attempt {
		w.extend(c.Deadline)
		reply(h, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	}
	if c.Deadline <= w.clock() {
		w.refuse(h, "late")
		return
	}
	if c.Attempt <= w.highest[c.Task] || w.runs[c.Task] != nil {
		w.extend(c.Deadline)
		w.refuse(h, "old")
		return
	}
	plan, known := w.rig.plans.of(c.Task)
	free := w.capacity
	for _, run := range w.runs {
		free = free.minus(run.plan.need)
	}
	if known && !plan.need.fits(free) {
		w.extend(c.Deadline)
		w.refuse(h, "room")
		return
	}
	w.extend(c.Deadline)
	run := &workerRun{task: c.Task, attempt: c.Attempt, plan: plan, begun: time.Now(), saved: c.Saved, doneWork: w.rig.saves.of(c.Saved)}
	if plan.saveEvery > 0 {
		run.saves = int(run.doneWork / plan.saveEvery)
	}
	run.id = w.rig.runs.started(c.Task, c.Attempt, w.id)
	w.runs[c.Task] = run
	w.rig.record.add("worker", "%s run %s attempt %d starts", w.id, c.Task, c.Attempt)
	reply(h, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) serveStop(h http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(h, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
	if run := w.runs[c.Task]; run != nil && run.attempt <= c.Attempt && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopGrace / 2)
	}
	reply(h, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) serveHold(h http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(h, r)
	if !ok {
		return
	}
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	w.acknowledge(c.Ack)
	seen, until := w.endNumber, time.After(time.Duration(c.Wait)*time.Millisecond)
	for c.Wait > 0 && w.endNumber == seen && w.up && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-until:
			expired = true
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if expired {
			break
		}
	}
	defer w.mu.Unlock()
	running, ended := []any{}, []any{}
	for _, run := range w.sorted() {
		percent := int(100 * (run.doneWork + time.Since(run.begun)) / run.plan.work)
		running = append(running, []any{run.task, run.attempt, run.saved, min(percent, 99), run.plan.need.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.attempt, e.how, ""})
	}
	reply(h, http.StatusOK, map[string]any{
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended,
	})
}

// acknowledge forgets ends up to the cursor. The caller holds w.mu.
func (w *worker) acknowledge(cursor int64) {
	for len(w.ends) > 0 && w.ends[0].number <= cursor {
		e := w.ends[0]
		w.rig.runs.acknowledged(e.run.id)
		w.ends = w.ends[1:]
	}
	w.acked = max(w.acked, cursor)
}

// jobOf returns the job of a task's name and the number of its step.
func jobOf(task string) (string, int) {
	parts := strings.Split(task, ".")
	step := 0
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &step)
	}
	return parts[0], step
}

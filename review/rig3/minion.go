package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the sheet.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 6 * time.Second
)

type amounts struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
	GPU int `json:"gpu"`
}

// task is one run of a task on a minion. Tasks here are no members of gangs. The spec says
// how long the task takes, in milliseconds; 0 stands for a task that lasts.
type task struct {
	name    string
	attempt int
	work    time.Duration
	began   time.Time
	need    amounts
}

func (t *task) percent(now time.Time) int {
	if t.work == 0 {
		return 100
	}
	return min(99, int(100*now.Sub(t.began)/t.work))
}

type ended struct {
	n       int64
	name    string
	attempt int
	how     string
}

// minion is a stand-in for one minion. It guards its capacity, holds what runs under a
// lease on its own clock, and obeys the highest fencing token that it has seen.
type minion struct {
	site     *site
	id       string
	zone     string
	labels   []string
	capacity amounts
	address  string

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	up       bool
	born     time.Time
	fence    int64
	lease    time.Time
	running  map[string]*task
	ends     []ended
	lastEnd  int64
	// stopped holds the highest attempt of each task that was stopped or has ended here.
	stopped map[string]int
	seq     int64
	wake    chan struct{}
	// unhealthy makes the minion refuse starts, as one does that is not healthy.
	unhealthy bool
	life      chan struct{}
}

// start begins a life of the minion at its address.
func (m *minion) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	var err error
	for range 50 {
		if m.listener, err = net.Listen("tcp", at); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		m.site.cannotRun("minion %s cannot listen: %v", m.id, err)
	}
	m.address = m.listener.Addr().String()
	m.up, m.born, m.fence, m.lease = true, time.Now(), 0, time.Time{}
	m.running, m.ends, m.lastEnd, m.stopped = map[string]*task{}, nil, 0, map[string]int{}
	m.wake, m.life, m.seq = make(chan struct{}), make(chan struct{}), 0
	m.server = &http.Server{Handler: m}
	go m.server.Serve(m.listener)
	go m.live(m.life)
}

// crash ends the life of the minion: all that it runs ends, and nothing is sent.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	names := []string{}
	for name, t := range m.running {
		names = append(names, fmt.Sprintf("%s run %d", name, t.attempt))
		m.site.ended(name, t.attempt, m.id, "lost with its minion")
	}
	m.running = map[string]*task{}
	close(m.life)
	server := m.server
	m.mu.Unlock()
	m.site.log("minion %s crashes; it ran: %s", m.id, strings.Join(names, ", "))
	_ = server.Close()
}

// live registers the minion and ends what is done or whose lease has lapsed.
func (m *minion) live(life chan struct{}) {
	m.register()
	beat, tick := time.NewTicker(heartbeat), time.NewTicker(10*time.Millisecond)
	defer beat.Stop()
	defer tick.Stop()
	for {
		select {
		case <-life:
			return
		case <-beat.C:
			m.register()
		case <-tick.C:
			m.tick()
		}
	}
}

func (m *minion) register() {
	m.mu.Lock()
	m.seq++
	entry := map[string]any{
		"service": service, "addr": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": m.seq, "capacity": m.capacity, "labels": m.labels, "born": m.born.UnixMilli(),
	}
	up := m.up
	m.mu.Unlock()
	if up {
		m.site.store.put("servers", m.id, entry)
	}
}

func (m *minion) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for name, t := range m.running {
		switch {
		case now.After(m.lease):
			m.end(name, "lapsed")
		case t.work > 0 && now.Sub(t.began) >= t.work:
			m.end(name, "done")
		}
	}
}

// end ends a run. The caller holds m.mu.
func (m *minion) end(name, how string) {
	t := m.running[name]
	delete(m.running, name)
	m.lastEnd++
	m.ends = append(m.ends, ended{m.lastEnd, name, t.attempt, how})
	m.stopped[name] = max(m.stopped[name], t.attempt)
	m.site.ended(name, t.attempt, m.id, how)
	close(m.wake)
	m.wake = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// extend takes a deadline over, which is never shortened and at most maxHold ahead.
func (m *minion) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := time.Now().Add(min(time.Duration(deadline-m.clock())*time.Millisecond, maxHold))
	if until.After(m.lease) {
		m.lease = until
	}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason, "born": m.born.UnixMilli()})
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < m.fence {
		m.refuse(w, "fence")
		return
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/rattanshore/run-start":
		m.serveStart(w, o)
	case "/rattanshore/run-stop":
		if t := m.running[o.Task]; t != nil && t.attempt <= o.Attempt {
			m.end(o.Task, "stopped")
		}
		m.stopped[o.Task] = max(m.stopped[o.Task], o.Attempt)
		writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
	case "/rattanshore/hold":
		m.serveHold(w, r, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) serveStart(w http.ResponseWriter, o order) {
	if m.unhealthy {
		m.site.log("minion %s is unhealthy and refuses %s run %d with 503", m.id, o.Task, o.Attempt)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	need, work := m.site.needOf(o.Task, o.Spec)
	t := m.running[o.Task]
	switch {
	case t != nil && t.attempt == o.Attempt:
	case t != nil || m.stopped[o.Task] >= o.Attempt:
		m.extend(o.Deadline)
		m.refuse(w, "old")
		return
	case o.Deadline <= m.clock():
		m.refuse(w, "late")
		return
	case !m.fits(need):
		m.extend(o.Deadline)
		m.refuse(w, "room")
		return
	default:
		m.extend(o.Deadline)
		m.running[o.Task] = &task{name: o.Task, attempt: o.Attempt, work: work, began: time.Now(), need: need}
		m.site.started(o.Task, o.Attempt, m.id)
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
}

func (m *minion) fits(need amounts) bool {
	for _, t := range m.running {
		need.CPU, need.Mem, need.GPU = need.CPU+t.need.CPU, need.Mem+t.need.Mem, need.GPU+t.need.GPU
	}
	return need.CPU <= m.capacity.CPU && need.Mem <= m.capacity.Mem && need.GPU <= m.capacity.GPU
}

// serveHold renews the lease and answers with both lists, once there is an end.
func (m *minion) serveHold(w http.ResponseWriter, r *http.Request, o order) {
	m.extend(o.Deadline)
	for len(m.ends) > 0 && m.ends[0].n <= o.Cursor {
		m.ends = m.ends[1:]
	}
	wait := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for len(m.ends) == 0 && o.Wait > 0 {
		wake, life := m.wake, m.life
		m.mu.Unlock()
		waiting := true
		select {
		case <-wake:
		case <-wait:
			waiting = false
		case <-life:
		case <-r.Context().Done():
			waiting = false
		}
		m.mu.Lock()
		if !m.up {
			panic(http.ErrAbortHandler)
		}
		if !waiting {
			break
		}
	}
	running, ends := [][]any{}, [][]any{}
	for name, t := range m.running {
		running = append(running, []any{name, t.attempt, "", t.percent(time.Now()), 0})
	}
	for _, e := range m.ends {
		ends = append(ends, []any{e.n, e.name, e.attempt, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ends,
	})
}

// workOf reads how long a task takes from its spec: "ms=NUMBER".
func workOf(spec string) time.Duration {
	_, number, _ := strings.Cut(spec, "ms=")
	n, _ := strconv.Atoi(number)
	return time.Duration(n) * time.Millisecond
}

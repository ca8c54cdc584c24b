package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cases holds each case by its name. A case returns how the rule was broken, or "".
var cases = map[string]func(*site) string{
	"silent-minion":  silentMinion,
	"lasting-tasks":  lastingTasks,
	"removed-queue":  removedQueue,
	"waiting-counts": waitingCounts,
	"near-cpu":       nearCPU,
	"two-crashes":    twoCrashes,
	"refused-starts": refusedStarts,
	"long-tasks":     longTasks,
}

// full is what a minion of the users' small deployments has.
var full = amount{CPU: 128000, Memory: 524288, GPU: 8}

// step returns a step of a job.
func step(count int, need amount, estimate int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": need.CPU, "mem_mb": need.Memory, "gpu": need.GPU, "estimate_ms": estimate}
	for name, value := range more {
		s[name] = value
	}
	return s
}

func job(steps ...map[string]any) map[string]any {
	return map[string]any{"spec": "toll", "steps": steps}
}

// kinds tells what the tasks of jobs are.
type kinds struct {
	mu sync.Mutex
	of map[string]taskKind
}

func newKinds() *kinds { return &kinds{of: map[string]taskKind{}} }

func (k *kinds) set(job string, kind taskKind) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.of[job] = kind
}

func (k *kinds) find(task string, _ int) (taskKind, bool) {
	id, _, _ := strings.Cut(task, ".")
	k.mu.Lock()
	defer k.mu.Unlock()
	kind, known := k.of[id]
	return kind, known
}

// idOf returns the identifier of the case's job with a number.
func idOf(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

// seconds returns the length of time that the environment variable gives, or the usual one.
func seconds(name string, usual float64) time.Duration {
	if x, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		usual = x
	}
	return time.Duration(usual * float64(time.Second))
}

// silentMinion cuts one of six minions off while the gang on it ends. Once it is back,
// a job that only it may run has to run.
func silentMinion(s *site) string {
	var minions []*minion
	for i := range 6 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%02d", i), zone: fmt.Sprintf("zone-%c", 'a'+i%4), capacity: full,
			labels: []string{kind, fmt.Sprintf("r1-%d", i/3)},
		})
	}
	k := newKinds()
	s.open(minions...)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1))
	s.startHosts(3)
	gang, later := idOf(1), idOf(2)
	k.set(gang, taskKind{need: full, length: 4 * time.Second, how: "done", gang: 6})
	k.set(later, taskKind{need: amount{CPU: 15000, Memory: 44000, GPU: 1}, length: 2 * time.Second, how: "done"})
	s.submit(s.hosts[0], "peal", gang, job(step(6, full, 4000, map[string]any{"gang": true})))
	s.await(8*time.Second, "the gang is at work", func() bool { return s.fleet.running(gang) == 6 })
	first := minions[0]
	// The lease was renewed up to 1.2 s ago when the cut begins.
	time.Sleep(1200 * time.Millisecond)
	s.await(4*time.Second, "a renewal of the lease", func() bool {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		since := time.Since(first.holdSeen)
		return since > 700*time.Millisecond && since < 1000*time.Millisecond
	})
	if s.trouble {
		s.setCut(first, true)
		time.Sleep(seconds("CUT_S", 5.5))
		s.setCut(first, false)
	}
	s.await(10*time.Second, "the gang's job is completed", func() bool {
		return s.state(s.hosts[1], "peal", gang) == "completed"
	})
	// All are in touch again before the next job comes.
	time.Sleep(4 * time.Second)
	s.submit(s.hosts[1], "peal", later, job(step(1, amount{CPU: 15000, Memory: 44000, GPU: 1}, 2000, map[string]any{"required_label": "b"})))
	if s.within(20*time.Second, func() bool { return s.fleet.running(later) > 0 || s.ended(later) }) {
		return ""
	}
	s.state(s.hosts[2], "peal", later)
	return "LOST: 20 s after its acknowledgement the job " + later + " has not begun, though " + first.id +
		", the one minion with its label, has run nothing since it came back"
}

func (s *site) setCut(m *minion, cut bool) {
	s.fleet.mu.Lock()
	m.cut = cut
	s.fleet.mu.Unlock()
	s.log.add("minion cut off from all machines", "minion", m.id, "cut", cut)
}

// ended reports whether a run of the job has ended.
func (s *site) ended(job string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, m := range s.fleet.minions {
		for task := range m.ended {
			if strings.HasPrefix(task, job+".") {
				return true
			}
		}
	}
	return false
}

// lastingTasks lets two tasks that last fail by turns, each a while after the other, on a
// minion with room for four.
func lastingTasks(s *site) string {
	first := &minion{id: "i-00", zone: "zone-a", capacity: full, labels: []string{"a", "r1-0"}}
	second := &minion{id: "i-01", zone: "zone-b", capacity: full, labels: []string{"a", "r1-1"}}
	k := newKinds()
	s.open(first, second)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1))
	s.startHosts(3)
	large, a, b := idOf(1), idOf(2), idOf(3)
	small := amount{CPU: 15000, Memory: 44000, GPU: 2}
	k.set(large, taskKind{need: full})
	k.set(a, taskKind{need: small})
	k.set(b, taskKind{need: small})
	lasts := map[string]any{"perpetual": true}
	s.submit(s.hosts[0], "peal", large, job(step(1, full, 60000, lasts)))
	s.await(8*time.Second, "the large task is at work", func() bool { return s.fleet.running(large) == 1 })
	s.submit(s.hosts[1], "peal", a, job(step(1, small, 60000, lasts)))
	s.submit(s.hosts[2], "peal", b, job(step(1, small, 60000, lasts)))
	bothRun := func() bool { return s.fleet.running(a) == 1 && s.fleet.running(b) == 1 }
	s.await(8*time.Second, "both small tasks are at work", bothRun)
	pause := seconds("PAUSE_S", 12)
	for i := range 5 {
		time.Sleep(pause)
		failing := []string{a, b}[i%2]
		if !s.trouble {
			continue
		}
		if s.fleet.running(failing) != 1 {
			return "LOST: " + failing + " does not run before it was to fail"
		}
		s.fleet.fail(failing)
		failedAt := time.Now()
		for s.fleet.running(failing) == 0 && time.Since(failedAt) < 14*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
		down := time.Since(failedAt)
		s.log.add("the task is at work again, or given up on", "job", failing, "down", down.Round(10*time.Millisecond))
		if down > 9*time.Second+500*time.Millisecond {
			return "LOST: a task that lasts had nothing running from 6 s after its last run for more than 3 s, with room for it three times over"
		}
	}
	return ""
}

// removedQueue removes the route of a job that is accepted for later, and then restarts
// the hosts one after the other, as a release does.
func removedQueue(s *site) string {
	var minions []*minion
	for i := range 4 {
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%02d", i), zone: fmt.Sprintf("zone-%c", 'a'+i), capacity: full,
			labels: []string{"a", fmt.Sprintf("r1-%d", i/2)},
		})
	}
	k := newKinds()
	s.open(minions...)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1), queue("toll", 1))
	s.startHosts(3)
	id := idOf(1)
	need := amount{CPU: 15000, Memory: 44000, GPU: 1}
	k.set(id, taskKind{need: need, length: 2 * time.Second, how: "done"})
	due := time.Now().Add(40 * time.Second)
	timed := job(step(1, need, 2000, nil))
	timed["times"], timed["start_at_ms"], timed["interval_ms"] = 2, due.UnixMilli(), 4000
	s.submit(s.hosts[0], "toll", id, timed)
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.configure(8, queue("peal", 1))
		time.Sleep(5 * time.Second)
		if os.Getenv("RESTART") != "0" {
			for _, h := range s.hosts {
				s.restart(h)
			}
		}
	}
	time.Sleep(time.Until(due) - time.Second)
	s.log.add("the job is due")
	if s.within(25*time.Second, func() bool { return s.fleet.running(id) > 0 || s.ended(id) }) {
		return ""
	}
	return "LOST: 24 s after its time the job " + id + " has not begun, with all minions empty"
}

// waitingCounts lets jobs wait beside a minion that refuses all starts, and asks how many
// wait.
func waitingCounts(s *site) string {
	var minions []*minion
	for i := range 7 {
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%02d", i), zone: fmt.Sprintf("zone-%c", 'a'+i%4), capacity: full,
			labels: []string{"a", fmt.Sprintf("r1-%d", i/4)},
		})
	}
	k := newKinds()
	s.open(minions...)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1), queue("toll", 1))
	s.startHosts(3)
	large := idOf(1)
	k.set(large, taskKind{need: full, length: 60 * time.Second, how: "done"})
	s.submit(s.hosts[0], "peal", large, job(step(6, full, 60000, nil)))
	s.await(8*time.Second, "six minions are full", func() bool { return s.fleet.running(large) == 6 })
	if !s.trouble {
		// The seventh is full, too, so that the jobs wait as well.
		k.set(idOf(2), taskKind{need: full, length: 60 * time.Second, how: "done"})
		s.submit(s.hosts[0], "peal", idOf(2), job(step(1, full, 60000, nil)))
		s.await(8*time.Second, "the seventh is full", func() bool { return s.fleet.running(idOf(2)) == 1 })
	}
	for _, m := range minions {
		s.fleet.mu.Lock()
		m.shedding = s.trouble && len(m.runs) == 0
		if m.shedding {
			s.log.add("minion refuses all starts", "minion", m.id)
		}
		s.fleet.mu.Unlock()
	}
	shedFrom := time.Now()
	need := amount{CPU: 15000, Memory: 44000, GPU: 1}
	const jobs = 8
	for i := range jobs {
		k.set(idOf(10+i), taskKind{need: need, length: 20 * time.Second, how: "done"})
		s.submit(s.hosts[i%3], "toll", idOf(10+i), job(step(1, need, 20000, nil)))
	}
	acceptedAt := time.Now()
	// visible_ms and 2 s more after the last acknowledgement.
	time.Sleep(time.Until(acceptedAt.Add(5200 * time.Millisecond)))
	begun := 0
	for i := range jobs {
		if s.fleet.running(idOf(10+i)) > 0 || s.ended(idOf(10+i)) {
			begun++
		}
	}
	broken := ""
	for _, h := range s.hosts {
		status, answer, err := s.send("GET", "http://"+h.front+"/toll/", hostName, nil)
		s.log.add("GET waiting", "host", h.name, "status", status, "answer", answer, "error", err, "accepted", jobs, "begun", begun)
		waiting, ok := answer["waiting"].(float64)
		if ok && status == 200 && 2*int(waiting) < jobs-begun {
			broken = fmt.Sprintf("MIXED: %s gives %d jobs as waiting, of %d that were accepted over 5 s before and have not begun", h.name, int(waiting), jobs-begun)
		}
	}
	s.log.add("the minion has refused starts", "seconds", time.Since(shedFrom).Seconds())
	s.fleet.mu.Lock()
	for _, m := range minions {
		m.shedding = false
	}
	s.fleet.mu.Unlock()
	return broken
}

// nearCPU lets a job with its data in a full rack wait while all other racks are empty, on
// minions without GPUs. With GPUS=8 they have eight, which no task uses.
func nearCPU(s *site) string {
	gpus, _ := strconv.Atoi(os.Getenv("GPUS"))
	plain := amount{CPU: 16000, Memory: 32768, GPU: gpus}
	var minions []*minion
	for i := range 4 {
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%02d", i), zone: fmt.Sprintf("zone-%c", 'a'+i%4), capacity: plain,
			labels: []string{"a", fmt.Sprintf("r1-%d", i)},
		})
	}
	k := newKinds()
	s.open(minions...)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1))
	s.startHosts(3)
	large, near := idOf(1), idOf(2)
	k.set(large, taskKind{need: amount{CPU: 16000, Memory: 8192}})
	k.set(near, taskKind{need: amount{CPU: 500, Memory: 256}, length: 900 * time.Millisecond, how: "done"})
	if s.trouble {
		s.submit(s.hosts[0], "peal", large, job(step(1, amount{CPU: 16000, Memory: 8192}, 60000, map[string]any{"perpetual": true, "required_label": "r1-3"})))
		s.await(8*time.Second, "the rack is full", func() bool { return s.fleet.running(large) == 1 })
	}
	s.submit(s.hosts[1], "peal", near, job(step(4, amount{CPU: 500, Memory: 256}, 900, map[string]any{"near": "r1-3"})))
	if s.within(45*time.Second, func() bool { return s.fleet.running(near) > 0 || s.ended(near) }) {
		return ""
	}
	s.state(s.hosts[2], "peal", near)
	return "LOST: 45 s after its acknowledgement the job " + near + " has not begun, with three of four minions empty"
}

// twoCrashes lets the minion crash on which a job runs, and later the minion on which it
// runs next. No run of it ends with "failed".
func twoCrashes(s *site) string {
	var minions []*minion
	for i := range 6 {
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%02d", i), zone: fmt.Sprintf("zone-%c", 'a'+i%4), capacity: full,
			labels: []string{"a", fmt.Sprintf("r1-%d", i/3)},
		})
	}
	k := newKinds()
	s.open(minions...)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1))
	s.startHosts(3)
	id := idOf(1)
	need := amount{CPU: 52000, Memory: 150000, GPU: 8}
	k.set(id, taskKind{need: need, length: 10 * time.Second, how: "done"})
	s.submit(s.hosts[0], "peal", id, job(step(1, need, 10000, nil)))
	for range 2 {
		s.await(15*time.Second, "the job runs", func() bool { return s.fleet.running(id) == 1 })
		time.Sleep(seconds("CRASH_S", 1))
		if s.trouble {
			m := s.fleet.crash(id)
			s.log.add("minion crashes", "minion", m.id)
			time.Sleep(seconds("DOWN_S", 3))
			s.fleet.restart(m)
			s.log.add("minion starts again under its id", "minion", m.id)
		}
	}
	state := ""
	if !s.within(35*time.Second, func() bool {
		state = s.state(s.hosts[1], "peal", id)
		return state == "completed" || state == "failed" || state == "cancelled"
	}) {
		return "LOST: the job " + id + " is still " + state
	}
	if state != "completed" {
		return "LOST: the job " + id + " is shown as " + state + ", though no run of it has ended \"failed\", and max_attempts is 3"
	}
	return ""
}

// refusedStarts lets the one minion that may run a job refuse starts for a while, and
// waits for the job's start after that.
func refusedStarts(s *site) string {
	var minions []*minion
	for i := range 7 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%02d", i), zone: fmt.Sprintf("zone-%c", 'a'+i%4), capacity: full,
			labels: []string{kind, fmt.Sprintf("r1-%d", i/4)},
		})
	}
	k := newKinds()
	s.open(minions...)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1))
	s.startHosts(3)
	shed := func(on bool) {
		s.fleet.mu.Lock()
		minions[0].shedding = on
		s.fleet.mu.Unlock()
		s.log.add("minion refuses all starts", "minion", minions[0].id, "refuses", on)
	}
	if s.trouble {
		shed(true)
	}
	id := idOf(1)
	need := amount{CPU: 15000, Memory: 44000, GPU: 1}
	k.set(id, taskKind{need: need, length: 2 * time.Second, how: "done"})
	s.submit(s.hosts[0], "peal", id, job(step(1, need, 2000, map[string]any{"required_label": "b"})))
	time.Sleep(seconds("SHED_S", 6.5))
	if s.trouble {
		shed(false)
	}
	from := time.Now()
	if s.within(60*time.Second, func() bool { return s.fleet.running(id) > 0 || s.ended(id) }) {
		s.log.add("begun", "after", time.Since(from))
		if time.Since(from) < 17*time.Second {
			return ""
		}
	}
	return "LOST: " + time.Since(from).Round(time.Millisecond).String() + " after its minion accepts starts again the job " + id + " has not begun or has only now"
}

// longTasks lets two jobs take ten times their estimate, beside a minion that is full.
func longTasks(s *site) string {
	var minions []*minion
	for i := range 3 {
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%02d", i), zone: fmt.Sprintf("zone-%c", 'a'+i), capacity: full,
			labels: []string{"a", fmt.Sprintf("r1-%d", i)},
		})
	}
	k := newKinds()
	s.open(minions...)
	s.fleet.kindOf = k.find
	s.configure(3, queue("peal", 1))
	s.startHosts(3)
	large := idOf(1)
	k.set(large, taskKind{need: full})
	s.submit(s.hosts[0], "peal", large, job(step(1, full, 60000, map[string]any{"perpetual": true})))
	s.await(8*time.Second, "the large task is at work", func() bool { return s.fleet.running(large) == 1 })
	need := amount{CPU: 52000, Memory: 150000, GPU: 2}
	length := 30 * time.Second
	if s.trouble {
		length *= 10
	}
	idle := map[string]time.Time{}
	for i := range 2 {
		k.set(idOf(10+i), taskKind{need: need, length: length, how: "done"})
		s.submit(s.hosts[i], "peal", idOf(10+i), job(step(1, need, 30000, nil)))
	}
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range 2 {
			id := idOf(10 + i)
			if s.fleet.running(id) > 0 || s.endedDone(id) {
				delete(idle, id)
				continue
			}
			if idle[id].IsZero() {
				idle[id] = time.Now()
			}
			if time.Since(idle[id]) > 3500*time.Millisecond {
				return "LOST: the job " + id + " has had nothing running for 3.5 s, with two of three minions empty"
			}
		}
	}
	return ""
}

// endedDone reports whether the ledger of ends has one of the job that is done.
func (s *site) endedDone(job string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.done[job]
}

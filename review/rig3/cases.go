package main

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

var cases = map[string]func(*site, bool){
	"route":  routeRemoved,
	"crash":  workersCrash,
	"cancel": cancelBeforeLateWrite,
	"near":   lastingTaskNearItsData,
	"count":  waitingCount,
	"long":   longJobs,
	"herd":   herdKill,
}

var whole = amounts{64000, 131072, 8}

// deploy starts three hosts and the given number of minions, six a rack and as many in each
// of two zones.
func (s *site) deploy(minions int, routes ...route) {
	s.configure(1, routes...)
	zones := []string{"fi-south-a", "fi-south-b"}
	for i := range minions {
		rack := []string{"r1-0", "r2-0", "r1-1", "r2-1"}[i%2+2*(i/12)]
		s.addMinion("i-"+string(rune('a'+i)), zones[i%2], []string{"a", rack}, whole)
	}
	for i, name := range []string{"front-1", "front-2", "front-3"} {
		s.addHost(name, zones[i%2])
	}
	s.awaitReady()
}

var (
	main1 = route{"seat-swap", "/swap/", 0, 3}
	extra = route{"season-layout", "/layout/", 1, 2}
)

// routeRemoved: a route is removed while an accepted job of it is half done, and the hosts
// are then stopped and started in turn.
func routeRemoved(s *site, trouble bool) {
	const id = "00000000000000a1"
	s.deploy(8, main1, extra)
	j := job{"ms=16000", []step{
		{Count: 1, CPU: 4000, Mem: 8000, GPU: 1, Estimate: 16000},
		{Count: 1, CPU: 4000, Mem: 8000, GPU: 1, Estimate: 16000, After: []int{0}},
	}}
	s.submit(extra.prefix, id, j)
	s.awaitStart(id+".0.0.", 1, 10*time.Second)
	if trouble {
		s.configure(2, main1)
		time.Sleep(time.Second)
		s.rollAll(1300 * time.Millisecond)
	}
	// The first step ends, and the turn of the second one comes.
	s.awaitEnd(id+".0.0.", "done", 25*time.Second)
	turn := time.Now()
	time.Sleep(22 * time.Second)
	starts := s.starts(id + ".0.1.")
	s.verdict(len(starts) == 0, "the second step of the accepted job had %d starts in the %.0f s since its turn came; 8 minions are free of all work",
		len(starts), time.Since(turn).Seconds())
}

// awaitEnd waits for an end of a task.
func (s *site) awaitEnd(prefix, how string, limit time.Duration) event {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		s.mu.Lock()
		for _, e := range s.events {
			if e.how == how && strings.HasPrefix(e.task, prefix) {
				s.mu.Unlock()
				return e
			}
		}
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	s.cannotRun("%s has not ended %s", prefix, how)
	return event{}
}

// workersCrash: a minion crashes twice under the task of a job, each time another one.
func workersCrash(s *site, trouble bool) {
	const id = "00000000000000b1"
	s.deploy(8, main1, extra)
	j := job{"ms=0", []step{{Count: 1, CPU: 4000, Mem: 8000, GPU: 8, Estimate: 60000, Perpetual: true}}}
	s.submit(extra.prefix, id, j)
	for n := 1; n <= 2; n++ {
		e := s.awaitStart(id, n, 12*time.Second)
		if !trouble {
			break
		}
		time.Sleep(1500 * time.Millisecond)
		m := s.minion(e.minion)
		m.crash()
		time.Sleep(1500 * time.Millisecond)
		m.start()
		s.log("minion %s is up again", m.id)
	}
	time.Sleep(12 * time.Second)
	status, body := s.call(s.hosts[0], "GET", extra.prefix+id, nil, 3*time.Second)
	failed := s.count(id, "failed")
	s.verdict(status == http.StatusOK && strings.Contains(body, `"failed"`) && failed < extra.maxAttempts,
		"the job is shown as %s; %d of its runs have ended failed, %d may; nobody has cancelled it; %d runs now",
		body, failed, extra.maxAttempts, s.running(id))
}

// count returns how many runs of a job have ended in a way.
func (s *site) count(prefix, how string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.events {
		if e.how == how && strings.HasPrefix(e.task, prefix) {
			n++
		}
	}
	return n
}

// running returns how many tasks of a job run now.
func (s *site) running(prefix string) int {
	n := 0
	for _, m := range s.minions {
		m.mu.Lock()
		for name := range m.running {
			if strings.HasPrefix(name, prefix) {
				n++
			}
		}
		m.mu.Unlock()
	}
	return n
}

// cancelBeforeLateWrite: the store is silent while a job is handed in, and carries the write
// out seconds later. The client, which got no acceptance, has cancelled the job meanwhile.
func cancelBeforeLateWrite(s *site, trouble bool) {
	const (
		id       = "00000000000000c1"
		outage   = 4500 * time.Millisecond
		late     = 6 * time.Second
		cancelMs = 3 * time.Second
	)
	s.deploy(8, main1, extra)
	j := job{"ms=3000", []step{{Count: 1, CPU: 4000, Mem: 8000, GPU: 1, Estimate: 3000}}}
	s.know(id, j)
	silentSince := time.Now()
	s.store.late = func(tx transaction) time.Duration {
		for _, p := range tx.Put {
			// What is sent in the first part of the outage is not carried out at all.
			if p.Table == "jobs" && p.Key == id && time.Since(silentSince) > outage/2 {
				return late
			}
		}
		return 0
	}
	if trouble {
		s.store.silence(outage)
		s.log("the store answers nothing for %v", outage)
		time.Sleep(1200 * time.Millisecond)
	}
	status, _ := s.call(s.hosts[0], "POST", extra.prefix+id, j, 3*time.Second)
	if trouble && status == http.StatusOK {
		s.cannotRun("the job was accepted without the store")
	}
	var acknowledged time.Time
	for i := 0; i < 40 && acknowledged.IsZero(); i++ {
		status, _ = s.call(s.hosts[(i+1)%len(s.hosts)], "DELETE", extra.prefix+id, nil, 3*time.Second)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged = time.Now()
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if acknowledged.IsZero() {
		s.cannotRun("the cancellation is not acknowledged")
	}
	time.Sleep(14 * time.Second)
	var latest time.Duration
	for _, e := range s.starts(id) {
		latest = max(latest, e.at.Sub(acknowledged))
	}
	s.verdict(latest > cancelMs, "the newest start of the job came %.1f s after its cancelling was acknowledged with %d; cancel_ms is %v",
		latest.Seconds(), status, cancelMs)
}

// lastingTaskNearItsData: the minion of a task that lasts is lost for good. The rack that
// the task names is full, the others have room for it.
func lastingTaskNearItsData(s *site, trouble bool) {
	const id = "00000000000000d1"
	s.deploy(8, main1, extra)
	// Minions a, c, e and g are in rack r1-0, the others in rack r2-0.
	lasting := job{"ms=0", []step{{Count: 1, CPU: 4000, Mem: 8000, GPU: 4, Estimate: 0, Near: "r1-0", Perpetual: true}}}
	s.submit(extra.prefix, id, lasting)
	first := s.awaitStart(id, 1, 10*time.Second)
	// Three long jobs fill the other minions of the rack, and two run in the other rack.
	for i, rack := range []string{"r1-0", "r1-0", "r1-0", "r2-0", "r2-0"} {
		long := job{"ms=100000", []step{{Count: 1, CPU: 8000, Mem: 8000, GPU: 8, Estimate: 100000, Near: rack}}}
		other := "00000000000000e" + string(rune('0'+i))
		s.submit(extra.prefix, other, long)
		s.awaitStart(other, 1, 15*time.Second)
	}
	if trouble {
		m := s.minion(first.minion)
		m.crash()
		s.log("minion %s is lost for good", m.id)
		time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", m.id) })
	}
	lost := time.Now()
	time.Sleep(30 * time.Second)
	s.verdict(s.running(id) == 0, "the task that lasts has %d runs %.0f s after its minion was lost; it needs 4 GPUs, and %d are free",
		s.running(id), time.Since(lost).Seconds(), s.freeGPUs())
}

// waitingCount: the one minion that a job may run on is unhealthy and refuses starts.
func waitingCount(s *site, trouble bool) {
	const id = "00000000000000f1"
	s.configure(1, main1, extra)
	special := s.addMinion("i-z", "fi-south-a", []string{"b", "r1-0"}, whole)
	s.deploy(11, main1, extra)
	j := job{"ms=20000", []step{{Count: 1, CPU: 4000, Mem: 8000, GPU: 1, Estimate: 20000, Label: "b"}}}
	special.mu.Lock()
	special.unhealthy = trouble
	special.mu.Unlock()
	accepted := s.submit(extra.prefix, id, j)
	wrong, looks := 0, 0
	for time.Since(accepted) < 6500*time.Millisecond {
		time.Sleep(250 * time.Millisecond)
		if time.Since(accepted) < 5100*time.Millisecond {
			continue
		}
		begun := len(s.starts(id)) > 0
		status, body := s.call(s.hosts[looks%3], "GET", extra.prefix, nil, 3*time.Second)
		looks++
		if status == http.StatusOK && !begun && strings.Contains(body, `:0`) {
			wrong++
		}
	}
	special.mu.Lock()
	special.unhealthy = false
	special.mu.Unlock()
	s.verdict(wrong > 0, "%d of %d answers gave 0 waiting jobs, while the one job, accepted over 5 s before, had not begun", wrong, looks)
}

// longJobs: of 64 jobs, three take ten times as long as their estimates say. Another one
// that takes long as estimated keeps one of eight minions busy.
func longJobs(s *site, trouble bool) {
	const (
		minions = 8
		gpus    = 8 * minions
		times   = 10
	)
	s.deploy(minions, main1, extra)
	run := step{Count: 1, CPU: 8000, Mem: 8000, GPU: 8, Estimate: 300000}
	s.submit(extra.prefix, "00000000000000e0", job{"ms=300000", []step{run}})
	for i := range 60 {
		id := "0000000000001" + strconv.Itoa(100+i)
		s.submit(extra.prefix, id, job{"ms=300", []step{{Count: 1, CPU: 1000, Mem: 1000, GPU: 1, Estimate: 300}}})
	}
	long := []string{"00000000000000a0", "00000000000000a1", "00000000000000a2"}
	for i, id := range long {
		work := times * []int{28000, 30000, 32000}[i]
		run.Estimate = work
		if trouble {
			run.Estimate = work / times
		}
		s.submit(extra.prefix, id, job{"ms=" + strconv.Itoa(work), []step{run}})
		time.Sleep(1500 * time.Millisecond)
	}
	lastSubmission := time.Now()
	time.Sleep(14 * time.Second)
	// A job is forgotten while it has nothing running, there is room for it twice over, and
	// under half of the capacity is in use.
	since, longest := map[string]time.Time{}, map[string]time.Duration{}
	most := time.Duration(0)
	for time.Since(lastSubmission) < 95*time.Second {
		free := s.freeGPUs()
		for _, id := range long {
			switch {
			case s.running(id) > 0 || free < 2*run.GPU || 2*(gpus-free) >= gpus:
				delete(since, id)
			case since[id].IsZero():
				since[id] = time.Now()
			default:
				longest[id] = max(longest[id], time.Since(since[id]))
				most = max(most, longest[id])
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, id := range long {
		s.log("job %s: %d runs, %d of them stopped; forgotten for %.1f s", id, len(s.starts(id)), s.count(id, "stopped"), longest[id].Seconds())
	}
	s.verdict(most > 3*time.Second, "14 s and more after the last submission a job had nothing running for %.1f s, with room for it twice over and under half of the capacity in use", most.Seconds())
}

// freeGPUs returns how many GPUs are free on minions that are up.
func (s *site) freeGPUs() int {
	free := 0
	for _, m := range s.minions {
		m.mu.Lock()
		if m.up {
			free += m.capacity.GPU
			for _, t := range m.running {
				free -= t.need.GPU
			}
		}
		m.mu.Unlock()
	}
	return free
}

// herdKill: half of the hosts lose power at once, the leader and its witnesses among them,
// and come back. Seconds later, when all is calm, the minion of a task that lasts is lost.
func herdKill(s *site, trouble bool) {
	const (
		id   = "00000000000000d1"
		dark = 3 * time.Second
	)
	s.configure(1, main1, extra)
	for i := range 8 {
		s.addMinion("i-"+string(rune('a'+i)), "fi-south-"+string(rune('a'+i%4)), []string{"a", "r1-0"}, whole)
	}
	for i := range 8 {
		s.addHost("front-"+strconv.Itoa(i+1), "fi-south-"+string(rune('a'+i%4)))
	}
	s.awaitReady()
	lasting := job{"ms=0", []step{{Count: 1, CPU: 4000, Mem: 8000, GPU: 4, Estimate: 0, Perpetual: true}}}
	s.submit(extra.prefix, id, lasting)
	first := s.awaitStart(id, 1, 10*time.Second)
	// The leader names its witnesses within some seconds.
	time.Sleep(8 * time.Second)
	leader, witnesses := s.leader()
	s.log("%s leads, its witnesses are %s", leader, strings.Join(witnesses, ", "))
	down := append([]string{leader}, witnesses...)
	if trouble && os.Getenv("ONLY") != "minion" {
		s.kill(down, dark)
		time.Sleep(10*time.Second - dark)
		now, _ := s.leader()
		s.log("%s leads; it is 10 s after the loss of power", now)
		if now == leader {
			s.cannotRun("the same host leads again")
		}
	}
	if s.running(id) == 0 {
		s.cannotRun("the task has been started anew")
	}
	lost := time.Now()
	if trouble {
		m := s.minion(first.minion)
		m.crash()
		s.log("minion %s is lost for good", m.id)
		time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", m.id) })
	}
	away := time.Duration(0)
	for time.Since(lost) < 40*time.Second {
		time.Sleep(20 * time.Millisecond)
		if s.running(id) > 0 {
			break
		}
		away = time.Since(lost)
	}
	s.verdict(away > 15*time.Second, "the task that lasts had nothing running for %.1f s from the loss of its minion on; %d of 64 GPUs are free",
		away.Seconds(), s.freeGPUs())
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service  = "chartdesk-a"
	hostName = "desk.example"
	key      = "key-1"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// event is the start or the end of a run, as minions have seen it.
type event struct {
	at      time.Time
	task    string
	attempt int
	minion  string
	how     string
}

// site is a small deployment: stand-ins for the platform's store and the minions, and the
// hosts of the system as processes of their own.
type site struct {
	record  *os.File
	begin   time.Time
	dir     string
	binary  string
	store   *store
	server  *http.Server
	minions []*minion
	hosts   []*host

	mu     sync.Mutex
	events []event
	// steps holds the needs of the steps of each job that was submitted.
	steps map[string][]step
}

type step struct {
	Count     int    `json:"count"`
	CPU       int    `json:"cpu,omitempty"`
	Mem       int    `json:"mem_mb,omitempty"`
	GPU       int    `json:"gpu,omitempty"`
	Estimate  int    `json:"estimate_ms,omitempty"`
	After     []int  `json:"after,omitempty"`
	Near      string `json:"near,omitempty"`
	Label     string `json:"required_label,omitempty"`
	Perpetual bool   `json:"perpetual,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// host is one process of the system.
type host struct {
	name, zone, settings string
	front, ready         string
	command              *exec.Cmd
	exited               chan struct{}
	logFile              string
}

func newSite(folder, binary string) *site {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(cannotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		os.Exit(cannotRun)
	}
	s := &site{record: record, begin: time.Now(), dir: dir, binary: binary, steps: map[string][]step{}}
	s.store = newStore(s.log)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.cannotRun("store cannot listen: %v", err)
	}
	s.server = &http.Server{Handler: s.store, Addr: listener.Addr().String()}
	go s.server.Serve(listener)
	return s
}

func (s *site) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

func (s *site) cannotRun(format string, args ...any) {
	s.log("the case cannot run: "+format, args...)
	s.end(cannotRun)
}

// end ends all processes of the site and the case.
func (s *site) end(code int) {
	for _, h := range s.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
	os.Exit(code)
}

func (s *site) started(name string, attempt int, minion string) {
	s.note(event{time.Now(), name, attempt, minion, "started"})
	s.log("minion %s starts %s run %d", minion, name, attempt)
}

func (s *site) ended(name string, attempt int, minion, how string) {
	s.note(event{time.Now(), name, attempt, minion, how})
	s.log("minion %s: %s run %d ends: %s", minion, name, attempt, how)
}

func (s *site) note(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

// starts returns the starts of a job's tasks whose names begin with the prefix.
func (s *site) starts(prefix string) []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []event
	for _, e := range s.events {
		if e.how == "started" && strings.HasPrefix(e.task, prefix) {
			found = append(found, e)
		}
	}
	return found
}

// needOf returns what a task needs and how long it takes.
func (s *site) needOf(name, spec string) (amounts, time.Duration) {
	parts := strings.Split(name, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	steps := s.steps[parts[0]]
	n, _ := strconv.Atoi(parts[2])
	if n >= len(steps) {
		return amounts{}, workOf(spec)
	}
	work := workOf(spec)
	if steps[n].Perpetual {
		work = 0
	}
	return amounts{steps[n].CPU, steps[n].Mem, steps[n].GPU}, work
}

// addMinion starts a minion.
func (s *site) addMinion(id, zone string, labels []string, capacity amounts) *minion {
	m := &minion{site: s, id: id, zone: zone, labels: labels, capacity: capacity}
	m.start()
	s.minions = append(s.minions, m)
	return m
}

// route is a queue in the configuration.
type route struct {
	name, prefix          string
	priority, maxAttempts int
}

// configure writes a configuration as the operator does.
func (s *site) configure(version int, routes ...route) {
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": hostName, "path_prefix": r.prefix, "service": service, "priority": r.priority,
			"max_attempts": r.maxAttempts, "stretch": 3.0, "slo_ms": 5000, "timeout_ms": 10000, "public": false,
		})
	}
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "rejects_overload": true}},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{key}, "guaranteed": map[string]int{"gpu": 8}}},
		"limits":   map[string]any{},
	})
	names := []string{}
	for _, r := range routes {
		names = append(names, r.name)
	}
	s.log("operator: configuration %d is acknowledged, routes %s", version, strings.Join(names, ", "))
}

// Ports of hosts are taken from below the range from which the system takes those of
// outgoing connections, so that none is taken before the host listens there.
const (
	firstPort = 12000
	ports     = 18000
)

// freeAddresses returns n addresses of a host that are free now. Each host has a loopback
// address of its own, which depends on this process, so that scripts beside each other
// do not take each other's ports.
func (s *site) freeAddresses(n int) []string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid&0xff, 2+len(s.hosts))
	var free []string
	for range 100 {
		address := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(ports)))
		if slices.Contains(free, address) {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			if free = append(free, address); len(free) == n {
				return free
			}
		}
	}
	s.cannotRun("no free port")
	return nil
}

// addHost writes the settings of a host, as the deploy file's template has them, and
// starts it.
func (s *site) addHost(name, zone string) *host {
	free := s.freeAddresses(3)
	h := &host{name: name, zone: zone, front: free[0], ready: free[1]}
	h.settings = filepath.Join(s.dir, name+".yaml")
	h.logFile = filepath.Join(s.dir, name+".log")
	text := fmt.Sprintf(`host:
  id: "%s"
  failure-domain: "%s"
listen:
  callers: "%s"
  ready: "%s"
  peers: "%s"
store: "%s"
cores: 0.4
memory-mb: 284
descriptors: 4100
bounds:
  longest-lease: 6000ms
  gang-wait: 3000ms
  checkpoint-every: 2s
  spread-factor: 3
  restore: 100ms
  task-stop: 900ms
  reclaim: 3400ms
  keep-ended: 120s
  revoke: 5000ms
  stop-grace: 6s
`, name, zone, h.front, h.ready, free[2], s.server.Addr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		s.cannotRun("%v", err)
	}
	s.hosts = append(s.hosts, h)
	s.startHost(h)
	return h
}

func (s *site) startHost(h *host) {
	log, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.cannotRun("%v", err)
	}
	h.command = exec.Command(s.binary, "serve", "--fleet", "--config", h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		s.cannotRun("host does not start: %v", err)
	}
	h.exited = make(chan struct{})
	command, exited := h.command, h.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// awaitReady waits until all hosts are ready and one of them leads and has seen the minions.
func (s *site) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range s.hosts {
		for {
			r, err := http.Get("http://" + h.ready + "/rattanshore/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				s.cannotRun("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(5 * time.Second)
	s.log("%d hosts are ready, %d minions are up", len(s.hosts), len(s.minions))
}

// rollAll stops all hosts in turn with SIGTERM and starts each again, with a pause between.
func (s *site) rollAll(gap time.Duration) {
	for _, h := range s.hosts {
		s.roll(h)
		time.Sleep(gap)
	}
}

// roll stops a host with SIGTERM, and starts it again once it has exited.
func (s *site) roll(h *host) {
	s.log("SIGTERM to host %s", h.name)
	_ = h.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(6 * time.Second):
		_ = h.command.Process.Kill()
		<-h.exited
	}
	s.startHost(h)
	s.log("host %s has stopped and is started again", h.name)
}

var hostNames = regexp.MustCompile(`front-[0-9]+`)

// leader returns which host leads and which hosts are its witnesses: the names in the
// leader's row, in this order. They choose whom a disruption meets, and are no part of any
// check.
func (s *site) leader() (string, []string) {
	var names []string
	s.store.mu.Lock()
	for k, r := range s.store.rows {
		if k.Key == "planner" {
			names = hostNames.FindAllString(string(r.Value), -1)
		}
	}
	s.store.mu.Unlock()
	if len(names) == 0 {
		s.cannotRun("no host leads")
	}
	return names[0], names[1:]
}

// kill kills hosts at once, and starts them again after the time.
func (s *site) kill(names []string, dark time.Duration) {
	s.log("SIGKILL to %d of %d hosts: %s", len(names), len(s.hosts), strings.Join(names, ", "))
	var killed []*host
	for _, h := range s.hosts {
		if slices.Contains(names, h.name) {
			_ = h.command.Process.Kill()
			killed = append(killed, h)
		}
	}
	time.Sleep(dark)
	for _, h := range killed {
		<-h.exited
		s.startHost(h)
	}
	s.log("they are started again")
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a client's request and returns the status and the body; status 0 means that
// there was no answer.
func (s *site) call(h *host, method, path string, body any, deadline time.Duration) (int, string) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	request, _ := http.NewRequest(method, "http://"+h.front+path, reader)
	request.Host = hostName
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	c := *client
	c.Timeout = deadline
	response, err := c.Do(request)
	if err != nil {
		s.log("client: %s %s to %s: no answer", method, path, h.name)
		return 0, ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	s.log("client: %s %s to %s: %d %s", method, path, h.name, response.StatusCode, data)
	return response.StatusCode, string(data)
}

// submit hands a job in, at one host after the other, until it is accepted.
func (s *site) submit(prefix, id string, j job) time.Time {
	s.know(id, j)
	for i := range 10 {
		if status, _ := s.call(s.hosts[i%len(s.hosts)], "POST", prefix+id, j, 3*time.Second); status == http.StatusOK {
			return time.Now()
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.cannotRun("job %s is not accepted", id)
	return time.Time{}
}

func (s *site) know(id string, j job) {
	s.mu.Lock()
	s.steps[id] = j.Steps
	s.mu.Unlock()
}

// awaitStart waits for a start of a task and returns it.
func (s *site) awaitStart(prefix string, n int, limit time.Duration) event {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if found := s.starts(prefix); len(found) >= n {
			return found[n-1]
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.cannotRun("%s has %d starts, not %d", prefix, len(s.starts(prefix)), n)
	return event{}
}

// minion returns the minion with an id.
func (s *site) minion(id string) *minion {
	for _, m := range s.minions {
		if m.id == id {
			return m
		}
	}
	return nil
}

// verdict ends the case.
func (s *site) verdict(isBroken bool, format string, args ...any) {
	word, code := "held", held
	if isBroken {
		word, code = "BROKEN", broken
	}
	s.log("the rule was %s: %s", word, fmt.Sprintf(format, args...))
	s.end(code)
}

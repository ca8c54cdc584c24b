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
	"sync"
	"syscall"
	"time"
)

// The program and the template that the deploy file names, from the repository's root.
const (
	program  = "target/rattanshore"
	template = "deploy/settings.yaml"
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// settings are the fields that the template uses, as in the users' small deployments.
var settings = map[string]string{
	"limits.cpu_share": "0.4", "bounds.max_hold_ms": "6000", "bounds.gang_wait_ms": "3000",
	"bounds.checkpoint_s": "2", "bounds.spread_factor": "3", "bounds.restore_ms": "100",
	"bounds.stop_grace_ms": "900", "bounds.reclaim_ms": "3400", "bounds.status_s": "120",
	"bounds.revoke_ms": "5000", "bounds.grace_s": "6",
}

// host is one entry host, a process of its own.
type host struct {
	name, zone          string
	front, ready, peers string
	config, log         string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// site is one deployment with its stand-ins.
type site struct {
	log     *ledger
	temp    string
	trouble bool
	stop    chan struct{}
	ending  sync.Once

	store     *store
	storeAddr string
	fleet     *fleet
	hosts     []*host
	servers   []*http.Server
}

// serve serves a handler on a free loopback port and returns its address.
func (s *site) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// loopback returns a loopback address of this case's own, so that no other process takes a
// port of a host before it listens there.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
}

// freeAddress returns an address on the loopback address whose port is free now.
func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// open starts the store and the minions.
func (s *site) open(minions ...*minion) {
	s.store = newStore()
	s.storeAddr = s.serve(s.store)
	s.fleet = newFleet(s.log)
	for _, m := range minions {
		s.fleet.add(m)
		m.addr = s.serve(m)
		s.log.add("minion", "id", m.id, "addr", m.addr, "labels", m.labels, "capacity", m.capacity)
	}
	for _, m := range minions {
		go m.register(s.store, s.stop)
	}
	go s.fleet.work(s.stop)
}

// startHosts starts n entry hosts and waits until all are ready.
func (s *site) startHosts(n int) {
	for i := range n {
		ip := loopback()
		h := &host{
			name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%4),
			front: freeAddress(ip), ready: freeAddress(ip), peers: freeAddress(ip),
		}
		h.config = filepath.Join(s.temp, h.name+".yaml")
		h.log = filepath.Join(s.temp, h.name+".log")
		s.hosts = append(s.hosts, h)
		s.render(h)
		s.start(h)
	}
	for _, h := range s.hosts {
		s.awaitReady(h)
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// render fills in the template for a host.
func (s *site) render(h *host) {
	text, err := os.ReadFile(template)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	ip, port, _ := net.SplitHostPort(h.peers)
	own := map[string]string{
		"node_name": h.name, "zone": h.zone, "listen.front": h.front, "listen.ready": h.ready, "ip": ip,
		"port_range.0": port, "platform.addr": s.storeAddr,
	}
	filled := placeholder.ReplaceAllFunc(text, func(found []byte) []byte {
		name := string(placeholder.FindSubmatch(found)[1])
		if value, ok := own[name]; ok {
			return []byte(value)
		}
		value, ok := settings[name]
		if !ok {
			panic(errNotRun{"the template asks for " + name})
		}
		return []byte(value)
	})
	if err := os.WriteFile(h.config, filled, 0o600); err != nil {
		panic(errNotRun{err.Error()})
	}
}

// start starts a host's process.
func (s *site) start(h *host) {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	defer func() { _ = out.Close() }()
	h.cmd = exec.Command(program, "serve", "--fleet", "--config", h.config)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.temp, "LANG=C"}
	if err := h.cmd.Start(); err != nil {
		panic(errNotRun{err.Error()})
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.cmd, h.exited)
	s.log.add("host started", "host", h.name, "front", h.front)
}

func (s *site) awaitReady(h *host) {
	s.await(20*time.Second, h.name+" is ready", func() bool {
		status, _, _ := s.send("GET", "http://"+h.ready+"/rattanshore/ready", "", nil)
		return status == http.StatusOK
	})
}

// await waits until the condition holds; without it the case can't run.
func (s *site) await(limit time.Duration, what string, holds func() bool) {
	if !s.within(limit, holds) {
		panic(errNotRun{"in vain for " + limit.String() + ": " + what})
	}
}

// within reports whether the condition comes to hold within the time.
func (s *site) within(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// signal sends a signal to a host's process.
func (s *site) signal(h *host, sig syscall.Signal) {
	s.log.add("signal", "host", h.name, "signal", sig)
	_ = h.cmd.Process.Signal(sig)
}

// restart stops a host as planned work does, and starts it again.
func (s *site) restart(h *host) {
	s.signal(h, syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(grace):
		s.signal(h, syscall.SIGKILL)
		<-h.exited
	}
	s.start(h)
	s.awaitReady(h)
}

// leader returns the host whose log says that it took the lead last.
func (s *site) leader() *host {
	var newest *host
	var at string
	for _, h := range s.hosts {
		data, _ := os.ReadFile(h.log)
		for _, line := range bytes.Split(data, []byte("\n")) {
			var entry struct {
				Name string `json:"name"`
				Time string `json:"time"`
			}
			if json.Unmarshal(line, &entry) == nil && entry.Name == "leader-taken" && entry.Time > at {
				newest, at = h, entry.Time
			}
		}
	}
	if newest == nil {
		panic(errNotRun{"no host leads"})
	}
	return newest
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a request to a host, with the queues' host name and a key of the team.
func (s *site) send(method, url, hostName string, body any) (int, map[string]any, error) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Token "+apiKey)
	request.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	var answer map[string]any
	_ = json.Unmarshal(text, &answer)
	return response.StatusCode, answer, nil
}

// The words of the operator's configuration.
const (
	hostName = "bells.example"
	apiKey   = "key-of-parish"
)

// queue is a route of the operator's configuration.
func queue(name string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": "/" + name + "/", "service": "bells", "type": "unsafe",
		"priority": priority, "max_attempts": 3, "stretch": 3.0, "slo_ms": 1000, "timeout_ms": 3000,
	}
}

// configure writes a version of the configuration.
func (s *site) configure(version int, queues ...map[string]any) {
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": queues,
		"services": []any{map[string]any{"name": "bells", "rejects_overload": true}},
		"tenants":  []any{map[string]any{"name": "parish", "api_keys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 0}}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	names := []any{}
	for _, q := range queues {
		names = append(names, q["name"])
	}
	s.log.add("configuration acknowledged", "version", version, "queues", names)
}

// submit hands a job in at a host and waits for a 2xx answer.
func (s *site) submit(h *host, queue, id string, job map[string]any) {
	s.await(8*time.Second, "job "+id+" is accepted", func() bool {
		status, _, err := s.send("POST", "http://"+h.front+"/"+queue+"/"+id, hostName, job)
		s.log.add("POST", "host", h.name, "job", id, "status", status, "error", err)
		return status/100 == 2
	})
}

// state asks a host for the state of a job.
func (s *site) state(h *host, queue, id string) string {
	status, answer, err := s.send("GET", "http://"+h.front+"/"+queue+"/"+id, hostName, nil)
	s.log.add("GET", "host", h.name, "job", id, "status", status, "answer", answer, "error", err)
	state, _ := answer["state"].(string)
	return state
}

// close ends all that the case has started.
func (s *site) close() {
	s.ending.Do(func() {
		close(s.stop)
		for _, h := range s.hosts {
			if h.cmd != nil && h.cmd.Process != nil {
				_ = h.cmd.Process.Kill()
				<-h.exited
			}
		}
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			for _, h := range s.hosts {
				if data, err := os.ReadFile(h.log); err == nil {
					_ = os.WriteFile(filepath.Join(dir, h.name+".log"), data, 0o600)
				}
			}
		}
		for _, server := range s.servers {
			_ = server.Close()
		}
	})
}

package main

import (
	"bytes"
	"context"
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
	"strings"
	"syscall"
	"time"
)

const (
	serviceName = "huvo11a"
	callerHost  = "nony24.example"
	teamKey     = "d4a3hwrr6x73d3zji9n7"
	// program is what the deploy file builds.
	program = "target/rattanshore"
	// template is the settings template that the deploy file names.
	template = "deploy/settings.yaml"
)

// verdict is the exit code of a case.
type verdict int

const (
	held    verdict = 0
	broken  verdict = 1
	noTrial verdict = 2
)

// rig is one run of a case: the stand-ins and the processes under test.
type rig struct {
	dir     string
	logs    string
	trouble bool
	record  *record
	store   *store
	workers []*worker
	runs    *ledger
	plans   *plans
	saves   *saves
	hosts   []*host
	http    *http.Client
}

// host is one process of the system.
type host struct {
	name, callers, ready, settings string
	cmd                            *exec.Cmd
	exited                         chan struct{}
}

// failure ends a case that cannot run.
type failure struct{ reason string }

func (r *rig) fatal(format string, args ...any) {
	panic(failure{fmt.Sprintf(format, args...)})
}

func newRig(dir string, trouble bool) (*rig, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	logs, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir: dir, logs: logs, trouble: trouble, record: &record{begin: time.Now(), file: file},
		runs:  &ledger{lapses: map[string][]time.Time{}},
		plans: &plans{jobs: map[string][]taskPlan{}}, saves: &saves{done: map[string]time.Duration{}},
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.store, err = newStore(r.record)
	return r, err
}

// route is a queue of the operator's configuration.
func route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": callerHost, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
		"priority": priority, "service": serviceName, "max_attempts": attempts, "stretch": 3.0, "public": false,
	}
}

// configure writes a configuration with the routes.
func (r *rig) configure(version int, routes ...map[string]any) {
	r.store.write("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": true, "spare": false,
		}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "kaje80", "api_keys": []string{teamKey}, "priority": 1, "guaranteed": map[string]any{"gpu": 16},
		}},
	})
	r.record.add("operator", "configuration %d with %d routes is acknowledged", version, len(routes))
}

// freePort returns a port that is free now at the address.
func (r *rig) freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		r.fatal("no free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// addHost fills in the settings of a host. start starts it.
func (r *rig) addHost(name, zone string) *host {
	text, err := os.ReadFile(template)
	if err != nil {
		r.fatal("template: %v", err)
	}
	// Each host has a loopback address of its own, on which nothing else takes its ports.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(255), 1+rand.IntN(254))
	h := &host{name: name, callers: ip + ":" + r.freePort(ip), ready: ip + ":" + r.freePort(ip), settings: filepath.Join(r.logs, name+".yaml")}
	values := map[string]string{
		"node_name": name, "zone": zone, "listen.front": h.callers, "listen.ready": h.ready,
		"ip": ip, "port_range.0": r.freePort(ip), "platform.addr": r.store.addr, "limits.cpu_share": "0.4",
		"bounds.max_hold_ms": "6000", "bounds.gang_wait_ms": "3000", "bounds.checkpoint_s": "2", "bounds.spread_factor": "3",
		"bounds.restore_ms": "100", "bounds.stop_grace_ms": "900", "bounds.reclaim_ms": "3400", "bounds.status_s": "120",
		"bounds.revoke_ms": "5000", "bounds.grace_s": "6",
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(m string) string {
		value, known := values[strings.Trim(m, "{}")]
		if !known {
			r.fatal("template has an unknown placeholder %s", m)
		}
		return value
	})
	if err := os.WriteFile(h.settings, []byte(filled), 0o600); err != nil {
		r.fatal("settings: %v", err)
	}
	r.hosts = append(r.hosts, h)
	return h
}

// start starts a process of the host.
func (r *rig) start(h *host) {
	log, err := os.OpenFile(filepath.Join(r.logs, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.fatal("log: %v", err)
	}
	h.cmd = exec.Command(program, "serve", "--fleet", "--config", h.settings)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.logs, "RATTANSHORE_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		r.fatal("start %s: %v", h.name, err)
	}
	h.exited = make(chan struct{})
	cmd, exited := h.cmd, h.exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	r.record.add("rig", "%s is started", h.name)
}

// kill ends the host's process with SIGKILL.
func (r *rig) kill(h *host) {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
	r.record.add("rig", "%s is killed", h.name)
}

// signal sends a signal to the host's process.
func (r *rig) signal(h *host, s syscall.Signal) {
	if err := h.cmd.Process.Signal(s); err != nil {
		r.fatal("signal to %s: %v", h.name, err)
	}
	r.record.add("rig", "%s gets signal %s", h.name, s)
}

// deploy starts hosts in different zones and waits until they are ready.
func (r *rig) deploy(hosts int) {
	for i := range hosts {
		r.addHost(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("zone-%c", 'a'+i))
	}
	for _, h := range r.hosts {
		r.start(h)
	}
	r.awaitReady()
}

func (r *rig) awaitReady() {
	for _, h := range r.hosts {
		r.await(15*time.Second, h.name+" is not ready", func() bool {
			response, err := r.http.Get("http://" + h.ready + "/rattanshore/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	r.record.add("rig", "all hosts are ready")
}

// await waits for a condition; the case cannot run without it.
func (r *rig) await(limit time.Duration, reason string, holds func() bool) {
	if !within(limit, holds) {
		r.fatal("%s", reason)
	}
}

// within waits for a condition and reports whether it held in time.
func within(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// leader returns the host that holds the leadership, by its log.
func (r *rig) leader() *host {
	var leader *host
	best := int64(0)
	for _, h := range r.hosts {
		data, _ := os.ReadFile(filepath.Join(r.logs, h.name+".log"))
		for _, line := range bytes.Split(data, []byte("\n")) {
			var event struct {
				Name  string `json:"name"`
				Epoch int64  `json:"epoch"`
			}
			if bytes.Contains(line, []byte("leader-taken")) && json.Unmarshal(line, &event) == nil && event.Epoch > best {
				best, leader = event.Epoch, h
			}
		}
	}
	return leader
}

// end ends all processes that the rig started.
func (r *rig) end() {
	for _, h := range r.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	_ = r.record.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.logs)
	} else {
		fmt.Println("logs:", r.logs)
	}
}

// jobStep is a step of a submission.
type jobStep struct {
	amount
	Count     int    `json:"count"`
	Estimate  int    `json:"estimate_ms"`
	Label     string `json:"required_label,omitempty"`
	Saves     bool   `json:"saves_progress,omitempty"`
	After     []int  `json:"after,omitempty"`
	Perpetual bool   `json:"perpetual,omitempty"`
	Near      string `json:"near,omitempty"`
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// call sends a caller's request and returns the status, 0 without an answer.
func (r *rig) call(ctx context.Context, h *host, method, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Host = callerHost
	request.Header.Set("Authorization", "Token "+teamKey)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := r.http.Do(request)
	if err != nil {
		r.record.add("client", "%s %s at %s: no answer: %v", method, path, h.name, ctx.Err())
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	r.record.add("client", "%s %s at %s: %d %.80s", method, path, h.name, response.StatusCode, answer)
	return response.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (r *rig) submit(h *host, prefix, id string, steps ...jobStep) {
	body := map[string]any{"spec": "spec of " + id, "steps": steps}
	r.await(8*time.Second, "job "+id+" is not accepted", func() bool {
		status, _ := r.call(context.Background(), h, http.MethodPost, prefix+id, body)
		return status == http.StatusOK
	})
}

// state returns the state of a job as a caller sees it.
func (r *rig) state(h *host, prefix, id string) string {
	status, body := r.call(context.Background(), h, http.MethodGet, prefix+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return fmt.Sprint(status)
	}
	return answer.State
}

// completes reports whether a job is shown as completed in time.
func (r *rig) completes(h *host, prefix, id string, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if r.state(h, prefix, id) == "completed" {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

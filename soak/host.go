// Package soak runs real hosts as separate processes against the stand-in of
// the users' platform, injects faults from outside them, and checks what
// callers and workers see.
package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// settingsText is a host's settings file.
const settingsText = `host:
  id: %s
  failure-domain: %s
listen:
  callers: %s
  ready: %s
  peers: %s
store: %s
bounds:
  longest-lease: 6s
  gang-wait: 3s
  task-stop: 400ms
  revoke: 5s
  stop-grace: 6s
`

// host is one entry host and its process, if it runs.
type host struct {
	name    string
	callers netip.AddrPort
	link    *link
	binary  string
	config  string
	log     *os.File
	process *os.Process
	exited  chan struct{}
	paused  bool
}

// newHost writes the settings of a host that reaches the store over a link of
// its own.
func newHost(binary, dir, name, domain string, port uint16, store netip.AddrPort) (*host, error) {
	l, err := newLink(store)
	if err != nil {
		return nil, err
	}
	at := func(offset uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port+offset)
	}
	h := &host{name: name, callers: at(0), link: l, binary: binary, config: filepath.Join(dir, name+".yaml")}
	text := fmt.Sprintf(settingsText, name, domain, at(0), at(1), at(2), l.address)
	if err := os.WriteFile(h.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return h, err
}

// start runs the host's process, unless it runs already.
func (h *host) start() error {
	if h.process != nil {
		return nil
	}
	cmd := exec.CommandContext(context.Background(), h.binary, "serve", "--fleet", "--config", h.config)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", h.name)
	}
	h.process, h.exited = cmd.Process, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.exited)
	return nil
}

// kill ends the process at once.
func (h *host) kill() {
	h.end(syscall.SIGKILL, time.Second)
}

// terminate asks the process to stop, and kills it after the grace. It reports
// whether the process stopped by itself.
func (h *host) terminate(grace time.Duration) bool {
	h.resume()
	return h.end(syscall.SIGTERM, grace)
}

func (h *host) end(signal syscall.Signal, grace time.Duration) bool {
	if h.process == nil {
		return true
	}
	_ = h.process.Signal(signal)
	inTime := true
	select {
	case <-h.exited:
	case <-time.After(grace):
		inTime = false
		_ = h.process.Kill()
		<-h.exited
	}
	h.process, h.paused = nil, false
	return inTime
}

// pause stops the process where it stands.
func (h *host) pause() {
	if h.process != nil && !h.paused {
		h.paused = h.process.Signal(syscall.SIGSTOP) == nil
	}
}

// resume lets a paused process go on.
func (h *host) resume() {
	if h.process != nil && h.paused {
		_ = h.process.Signal(syscall.SIGCONT)
		h.paused = false
	}
}

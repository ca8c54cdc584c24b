// Package soak runs entry hosts as separate processes against a fake of the
// users' platform, injects random faults from outside, and checks what callers
// and workers observe.
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

// settingsText is the template of a host's settings file.
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

// host is an entry host and its process, if one is running.
type host struct {
	name       string
	callers    netip.AddrPort
	link       *link
	binary     string
	configPath string
	logFile    *os.File
	process    *os.Process
	exited     chan struct{}
	paused     bool
}

// newHost writes the settings file of a host that reaches the store over its
// own link.
func newHost(binary, dir, name, domain string, port uint16, store netip.AddrPort) (*host, error) {
	l, err := newLink(store)
	if err != nil {
		return nil, err
	}
	listenAddress := func(offset uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port+offset)
	}
	h := &host{name: name, callers: listenAddress(0), link: l, binary: binary, configPath: filepath.Join(dir, name+".yaml")}
	text := fmt.Sprintf(settingsText, name, domain, listenAddress(0), listenAddress(1), listenAddress(2), l.address)
	if err := os.WriteFile(h.configPath, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h.logFile, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return h, err
}

// start starts the host's process unless it is running.
func (h *host) start() error {
	if h.process != nil {
		return nil
	}
	cmd := exec.CommandContext(context.Background(), h.binary, "serve", "--fleet", "--config", h.configPath)
	cmd.Stdout, cmd.Stderr = h.logFile, h.logFile
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

// kill ends the process with SIGKILL.
func (h *host) kill() {
	h.signalAndWait(syscall.SIGKILL, time.Second)
}

// terminate sends SIGTERM, and kills the process after the grace period. It
// reports whether the process exited in time.
func (h *host) terminate(grace time.Duration) bool {
	h.resume()
	return h.signalAndWait(syscall.SIGTERM, grace)
}

// signalAndWait sends a signal and waits for the exit, and kills the process
// after the grace period. It reports whether the process exited in time.
func (h *host) signalAndWait(signal syscall.Signal, grace time.Duration) bool {
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

// pause suspends the process with SIGSTOP.
func (h *host) pause() {
	if h.process != nil && !h.paused {
		h.paused = h.process.Signal(syscall.SIGSTOP) == nil
	}
}

// resume continues a paused process with SIGCONT.
func (h *host) resume() {
	if h.process != nil && h.paused {
		_ = h.process.Signal(syscall.SIGCONT)
		h.paused = false
	}
}

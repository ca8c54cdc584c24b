package crowd_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// stopGrace is the time from SIGTERM to SIGKILL at the end of a test.
const stopGrace = 8 * time.Second

// program is the path of the program under test.
var program string

// TestMain builds the program as it is deployed, without the race detector, which would
// multiply its memory.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "rattanshore")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/rattanshore").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a host that runs on loopback addresses as a process of its own.
type process struct {
	pid int
	// listeners holds the addresses by name: callers, ready, operators, peers.
	listeners map[string]netip.AddrPort
	// ask sends one ordinary request, and reports why it was not answered.
	ask func(context.Context) error
	// call sends a request with the given body to a host of the product's own interface.
	call   func(ctx context.Context, body string) error
	exited chan struct{}
	// maxDescriptors is how many descriptors the process may have open.
	maxDescriptors int
	// idleBytes is the resident memory before the crowd.
	idleBytes int64
}

// start runs the program with a settings file and at most the given number of open
// descriptors, until the test ends.
func (p *process) start(t *testing.T, descriptors int, settings string, args ...string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "host.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "host.log"))
	if err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	cmd := exec.Command("sh", append([]string{"-c", script, program}, append(args, "--config", path)...)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid, p.exited, p.maxDescriptors = cmd.Process.Pid, make(chan struct{}), descriptors
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-time.After(stopGrace):
			_ = cmd.Process.Kill()
			<-p.exited
		}
		if t.Failed() {
			t.Log(tail(log.Name()))
		}
	})
}

// tail returns the end of a file.
func tail(path string) string {
	const most = 500
	data, _ := os.ReadFile(path)
	return string(data[max(0, len(data)-most):])
}

// alive reports whether the process has not exited.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memory returns a figure of the process in bytes: VmRSS is its resident memory, VmHWM
// the most that it has been.
func (p *process) memory(t *testing.T, field string) int64 {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), field+":"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatalf("no %s of process %d", field, p.pid)
	return 0
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	return len(entries)
}

// waitAnswered sends ordinary requests until one is answered.
func (p *process) waitAnswered(t *testing.T) {
	t.Helper()
	const timeout, pause = 40 * time.Second, 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	for {
		err := p.ask(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("no ordinary request was answered: %v", err)
		case <-p.exited:
			t.Fatalf("the process has ended: %v", err)
		case <-time.After(pause):
		}
	}
}

// firstPort and endPort bound the ports of the hosts under test, apart from those of the
// soak, of package fleet and of the system.
const (
	firstPort = 24000
	endPort   = 26000
)

var nextPort = firstPort + os.Getpid()%50*40

// freeAddress returns an address that nothing listens on and that it hasn't returned
// before.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for nextPort < endPort {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(nextPort))
		nextPort++
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

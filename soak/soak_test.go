package soak_test

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/soak"
)

var (
	firstSeed     = flag.Uint64("soak-seed", 1, "first seed")
	seedCount     = flag.Int("soak-seeds", 1, "number of seeds")
	faultDuration = flag.Duration("soak-faults", 8*time.Second, "how long faults are injected")
	keepDir       = flag.String("soak-keep", "", "folder to keep logs in")
)

// firstPort is the first port that hosts use. Each run has its own range of ports,
// so that several can run at the same time, also of the same seed.
const (
	firstPort   = 21000
	portRanges  = 100
	portsPerRun = 30
)

// reservePorts returns the first port of a range that no other run uses. A run keeps
// the last port of its range open; hosts use the others.
func reservePorts(t *testing.T, seed uint64) uint16 {
	t.Helper()
	for i := range uint64(portRanges) {
		first := uint16(firstPort + (seed+i)%portRanges*portsPerRun)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(int(first)+portsPerRun-1))
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = listener.Close() })
		return first
	}
	t.Fatal("no range of ports is free")
	return 0
}

// TestSoak injects random faults into real processes, seed by seed.
func TestSoak(t *testing.T) {
	binary := buildHost(t)
	for _, seed := range selectedSeeds() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// runSeed runs one seed and reports its result.
func runSeed(t *testing.T, binary string, seed uint64) {
	report, err := soak.Run(t.Context(), soak.Options{
		Seed: seed, Binary: binary, Dir: logDir(t), Hosts: 3, Workers: 12, Faults: *faultDuration,
		SettleTimeout: 40 * time.Second, FirstPort: reservePorts(t, seed),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d accepted, %d refused, %d completed", report.Accepted, report.Refused, report.Completed)
	for _, p := range report.Problems {
		t.Error(p)
	}
	if t.Failed() {
		for _, f := range report.Faults {
			t.Log(f)
		}
	}
}

// outageLength is longer than a successor waits for the leases of an earlier leader.
const outageLength = 14 * time.Second

// Guards against a leader that goes on renewing leases while it is cut off from the store
// and from its successor, which starts the same tasks again.
func TestLeaderThatIsCutOffRunsNothingTwice(t *testing.T) {
	t.Parallel()
	problems, lost := runOutage(t, 60, soak.LeaderCut)
	for _, p := range problems {
		t.Error(p)
	}
	t.Logf("%d tasks have nothing running", lost)
}

// Guards against work that ends while the store is away for everybody: as long as hosts
// reach each other, the leader knows that nobody has replaced it.
func TestWorkGoesOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	problems, lost := runOutage(t, 61, soak.StoreSilent)
	for _, p := range problems {
		t.Error(p)
	}
	if lost > 0 {
		t.Errorf("%d tasks have lost their run", lost)
	}
}

// runOutage runs an outage on four hosts. seed chooses the ports as well.
func runOutage(t *testing.T, seed uint64, kind soak.Outage) ([]string, int) {
	t.Helper()
	problems, lost, err := soak.RunOutage(t.Context(), soak.Options{
		Seed: seed, Binary: buildHost(t), Dir: t.TempDir(), Hosts: 4, Workers: 12, FirstPort: reservePorts(t, seed),
	}, kind, outageLength)
	if err != nil {
		t.Fatal(err)
	}
	return problems, lost
}

// buildHost builds the program of a host.
func buildHost(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "rattanshore")
	build := exec.Command("go", "build", "-o", binary, "../cmd/rattanshore")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// regressionSeeds are seeds that failed once.
//
//   - 1, which the default run includes: a start got no answer, and its repeat was
//     refused because the task had already run and ended. The gang's attempt number
//     was raised and stored nevertheless. A new leader therefore took the task's end
//     for that of another attempt, acknowledged it and ran the task again.
//   - 52: the store was down from the first fault to the last, so that no job could
//     be accepted, although the check required one. The check now requires that a
//     job is accepted after the last fault.
var regressionSeeds = []uint64{52}

// selectedSeeds returns the seeds selected by the flags; by default, seed 1 and
// the regression seeds.
func selectedSeeds() []uint64 {
	var all []uint64
	for i := range *seedCount {
		all = append(all, *firstSeed+uint64(i))
	}
	if *seedCount == 1 && *firstSeed == 1 {
		all = append(all, regressionSeeds...)
	}
	return all
}

// logDir returns the folder for settings and logs.
func logDir(t *testing.T) string {
	if *keepDir == "" {
		return t.TempDir()
	}
	if err := os.MkdirAll(*keepDir, 0o700); err != nil {
		t.Fatal(err)
	}
	return *keepDir
}

package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/soak"
)

var (
	first  = flag.Uint64("soak-seed", 1, "the first seed")
	seeds  = flag.Int("soak-seeds", 1, "how many seeds")
	faults = flag.Duration("soak-faults", 8*time.Second, "for how long faults are injected")
	keep   = flag.String("soak-keep", "", "where logs are kept")
)

// firstPort is where the hosts' ports begin; each seed has its own.
const (
	firstPort    = 21000
	portsPerSeed = 30
)

// TestSoak injects random faults into real processes, seed by seed.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rattanshore")
	build := exec.Command("go", "build", "-o", binary, "../cmd/rattanshore")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, seed := range chosen() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

// play runs one seed and reports what it saw.
func play(t *testing.T, binary string, seed uint64) {
	report, err := soak.Run(t.Context(), soak.Options{
		Seed: seed, Binary: binary, Dir: logs(t), Hosts: 3, Workers: 12, Faults: *faults,
		Settle: 40 * time.Second, FirstPort: uint16(firstPort + seed%100*portsPerSeed),
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

// regressions are seeds that failed once. Two runs at the same time must not
// have seeds that agree in their last two digits, since these choose the ports.
//
//   - 1: a start without answer was refused when it was repeated, since its task
//     had run and ended; the gang's attempt was raised all the same and stored, and
//     a successor took the end that it then saw for a foreign one, acknowledged it
//     and ran the task again. The default run has it.
//   - 52: the store was away from the first fault to the last, so no job could be
//     accepted; the check asked for one. Now a job after the last fault has to be.
var regressions = []uint64{52}

// chosen returns the seeds of this run: those asked for, or one and all that
// ever failed.
func chosen() []uint64 {
	var all []uint64
	for i := range *seeds {
		all = append(all, *first+uint64(i))
	}
	if *seeds == 1 && *first == 1 {
		all = append(all, regressions...)
	}
	return all
}

func logs(t *testing.T) string {
	if *keep == "" {
		return t.TempDir()
	}
	if err := os.MkdirAll(*keep, 0o700); err != nil {
		t.Fatal(err)
	}
	return *keep
}

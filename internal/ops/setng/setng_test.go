package setng_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

func noEnv(string) string { return "" }

var _ = Describe("a settings file", func() {
	It("is valid as printed with the defaults", func() {
		text, err := setng.Print(setng.Default())
		Expect(err).NotTo(HaveOccurred())
		read, err := setng.Parse("defaults.yaml", text, noEnv)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(setng.Default()))
	})

	It("reads keys from environment variables", func() {
		s, err := setng.Parse("s.yaml", []byte("host:\n  id: a\n"), func(name string) string { return "from " + name })
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Keys.Peers).To(Equal("from RATTANSHORE_PEER_KEY"))
		Expect(s.RequireKeys()).To(Succeed())
	})

	It("is not enough to serve without keys", func() {
		s, err := setng.Parse("s.yaml", []byte("host:\n  id: a\n"), noEnv)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.RequireKeys()).To(MatchError(setng.ErrInvalid))
	})

	DescribeTable("is refused with file, line, key and what is allowed",
		func(text, want string) {
			_, err := setng.Parse("s.yaml", []byte(text), noEnv)
			Expect(err).To(MatchError(setng.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(want))
		},
		Entry("unknown section", "hosts:\n  id: a\n", "s.yaml:1: hosts: unknown key; valid keys are"),
		Entry("unknown key", "host:\n  id: a\n  color: red\n", "s.yaml:3: host.color: unknown key; valid keys are failure-domain, id"),
		Entry("no duration", "timing:\n  poll: soon\n", "s.yaml:2: timing.poll: \"soon\" is not a positive duration"),
		Entry("no address", "listen:\n  callers: here\n", "s.yaml:2: listen.callers: \"here\" is not an address"),
		Entry("no positive number", "limits:\n  queue: -1\n", "s.yaml:2: limits.queue: \"-1\" is not a positive integer"),
		Entry("too little memory for callers", "limits:\n  memory-mb: 1\n", "s.yaml:2: limits.memory-mb: must be at least 4"),
		Entry("heads too small for a request", "limits:\n  header-bytes: 100\n", "s.yaml:2: limits.header-bytes: must be at least 1024"),
		Entry("bodies that the memory cannot hold", "limits:\n  body-bytes: 9000000\n", "s.yaml:2: limits.body-bytes: must be at most an eighth"),
		Entry("no memory", "machine:\n  memory-mb: -1\n", "s.yaml:2: machine.memory-mb: \"-1\" is not a number of 0 or more"),
		Entry("bad level", "log:\n  level: loud\n", "s.yaml:2: log.level: must be one of"),
		Entry("start window above its bound", "timing:\n  start-window: 3s\n", "s.yaml:2: timing.start-window"),
		Entry("stale-after above its bound", "timing:\n  stale-after: 4s\n", "s.yaml:2: timing.stale-after"),
		Entry("lease too short for a takeover", "timing:\n  task-lease: 5s\n", "task-lease"),
		Entry("empty file", "", "the file is empty"),
		Entry("a list", "- a\n", "must be a mapping"),
		Entry("broken YAML", "host: [", "s.yaml"),
	)
})

func ExampleParse() {
	_, err := setng.Parse("entry.yaml", []byte("limits:\n  queue: many\n"), noEnv)
	fmt.Println(err)
	// Output: entry.yaml:2: limits.queue: "many" is not a positive integer: settings are not valid
}

// FuzzParse parses arbitrary text. Parsing must not panic, and settings that
// are accepted must be accepted again after printing.
func FuzzParse(f *testing.F) {
	text, _ := setng.Print(setng.Default())
	f.Add(string(text))
	f.Add("host:\n  id: a\n")
	f.Add("timing: {poll: 1s}")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := setng.Parse("fuzz.yaml", []byte(text), noEnv)
		if err != nil {
			return
		}
		printed, err := setng.Print(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := setng.Parse("printed.yaml", printed, noEnv); err != nil {
			t.Fatalf("accepted %q, but not the settings printed from it: %v", text, err)
		}
	})
}

// TestFleetRefuses guards against settings that a host accepts and then plans
// wrongly with.
func TestFleetRefuses(t *testing.T) {
	const valid = "host: {id: a, failure-domain: hall-a}\nlisten: {callers: 127.0.0.1:1, ready: 127.0.0.1:2, peers: 127.0.0.1:3}\nstore: 127.0.0.1:4\n"
	if _, err := setng.ParseFleet("f", []byte(valid)); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		valid + "cores: -1\n":                                                     "cores",
		valid + "cores: .nan\n":                                                   "cores",
		valid + "memory-mb: -1\n":                                                 "memory-mb",
		valid + "descriptors: -1\n":                                               "descriptors",
		valid + "limits: {other-memory-mb: 3}\n":                                  "limits.other-memory-mb",
		valid + "limits: {memory-mb: 3}\n":                                        "limits.memory-mb",
		valid + "limits: {body-bytes: 4000000}\n":                                 "limits.body-bytes",
		valid + "bounds: {task-stop: 0s}\n":                                       "bounds.task-stop",
		valid + "bounds: {spread-factor: -3}\n":                                   "bounds.spread-factor",
		valid + "bounds: {spread-factor: 0.5}\n":                                  "bounds.spread-factor",
		valid + "bounds: {checkpoint-every: 0s}\n":                                "bounds.checkpoint-every",
		valid + "bounds: {reclaim: -1s}\n":                                        "bounds.reclaim",
		valid + "bounds: {restore: -1s}\n":                                        "bounds.restore",
		strings.Replace(valid, "failure-domain: hall-a", "failure-domain: ''", 1): "host.failure-domain",
	} {
		if _, err := setng.ParseFleet("f", []byte(text)); err == nil || !strings.Contains(err.Error(), "f: "+want+": ") {
			t.Errorf("%q: got %v, want an error at %s", text, err, want)
		}
	}
}

// Guards against a trial whose misspelled mechanism is not left out.
func TestFleetMechanisms(t *testing.T) {
	text := "host: {id: h, failure-domain: hall-a}\nlisten: {callers: '127.0.0.1:1', ready: '127.0.0.1:2', peers: '127.0.0.1:3'}\nstore: '127.0.0.1:4'\n"
	f, err := setng.ParseFleet("f", []byte(text+"scheduling: {without: 'claims,stalls'}\n"))
	if err != nil || f.Scheduling.Without != ablate.Claims|ablate.Stalls {
		t.Errorf("got %v, error %v", f.Scheduling.Without, err)
	}
	if _, err := setng.ParseFleet("f", []byte(text+"scheduling: {without: claim}\n")); err == nil || !strings.Contains(err.Error(), "no such mechanism") {
		t.Errorf("unknown mechanism: %v", err)
	}
}

package setng

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
)

// Fleet holds the settings of a host that runs with --fleet: it schedules the
// workers of a platform and keeps all state in the platform's store.
type Fleet struct {
	Host   Host           `yaml:"host"`
	Listen FleetListen    `yaml:"listen"`
	Store  netip.AddrPort `yaml:"store"`
	Bounds Bounds         `yaml:"bounds"`
	Timing FleetTiming    `yaml:"timing"`
	// Scheduling switches on decisions that are off by default.
	Scheduling Scheduling `yaml:"scheduling"`
	Log        Log        `yaml:"log"`
	// Cores is the share of a processor core that the host may use; 1 is one full core.
	Cores float64 `yaml:"cores"`
	// Machine is what the process may use beside the processor.
	Machine `yaml:",inline"`
	// Limits bounds what callers can make the host hold.
	Limits Intake `yaml:"limits"`
}

// FleetListen holds the addresses of the listeners.
type FleetListen struct {
	Callers netip.AddrPort `yaml:"callers"`
	// Ready answers the readiness checks of the platform's load balancer.
	Ready netip.AddrPort `yaml:"ready"`
	// Peers serves other hosts and metrics.
	Peers netip.AddrPort `yaml:"peers"`
}

// Bounds holds the limits that the platform sets.
type Bounds struct {
	// LongestLease is the longest lease that a worker may be given.
	LongestLease time.Duration `yaml:"longest-lease"`
	// GangWait is how long the members of a gang may wait for each other.
	GangWait time.Duration `yaml:"gang-wait"`
	// CheckpointEvery is the work between two checkpoints of a task.
	CheckpointEvery time.Duration `yaml:"checkpoint-every"`
	// SpreadFactor is how many times longer a task takes away from its data, or a
	// gang that should run in one rack takes across racks.
	SpreadFactor float64 `yaml:"spread-factor"`
	// Restore is how long a task takes to resume from a checkpoint.
	Restore time.Duration `yaml:"restore"`
	// TaskStop is how long a stopped task may take to end.
	TaskStop time.Duration `yaml:"task-stop"`
	// Reclaim is how soon urgent work within its team's guarantee must start.
	Reclaim time.Duration `yaml:"reclaim"`
	// KeepEnded is how long the state of an ended job stays readable.
	KeepEnded time.Duration `yaml:"keep-ended"`
	// Revoke is how soon after a change of the configuration a key that it
	// removes must be refused.
	Revoke time.Duration `yaml:"revoke"`
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration `yaml:"stop-grace"`
}

// FleetTiming holds the durations that the host itself chooses.
type FleetTiming struct {
	// KeyAge is how long ago the known configuration may last have been confirmed
	// for the host to accept keys under it.
	KeyAge time.Duration `yaml:"key-age"`
	// DrainNotice is how long a stopping host still accepts calls, so that the
	// load balancer notices that it is not ready.
	DrainNotice time.Duration `yaml:"drain-notice"`
	// StopMargin is the part of StopGrace by which a graceful stop must end early.
	StopMargin time.Duration `yaml:"stop-margin"`
}

// Scheduling switches on decisions that are off by default.
type Scheduling struct {
	// LearnRunTimes makes the scheduler expect run times by finished runs.
	LearnRunTimes bool `yaml:"learn-run-times"`
	// RefuseLate makes hosts refuse jobs that would surely end too late to be of use.
	RefuseLate bool `yaml:"refuse-late"`
	// WorkerRisk makes the scheduler avoid workers by what they have done.
	WorkerRisk bool `yaml:"worker-risk"`
	// PriorityRatio is how many core-seconds of one priority count as much as one of the
	// priority before it, when running work is weighed against waiting work.
	PriorityRatio float64 `yaml:"priority-ratio"`
	// LateShare is the share of its value that a job keeps when it ends late, from 0 to 1.
	LateShare float64 `yaml:"late-share"`
	// LateLimit is after how many times its objective a late job is of no use.
	LateLimit float64 `yaml:"late-limit"`
	// Without names mechanisms of the planner that are left out, to measure what each is
	// worth; see package ablate.
	Without ablate.Set `yaml:"without"`
}

// DefaultFleet returns the defaults for keys that a settings file leaves out.
// Those without a default must be in the file.
func DefaultFleet() Fleet {
	return Fleet{
		Bounds: Bounds{
			LongestLease:    6 * time.Second,
			GangWait:        3 * time.Second,
			CheckpointEvery: 2 * time.Second,
			SpreadFactor:    3,
			Restore:         300 * time.Millisecond,
			TaskStop:        500 * time.Millisecond,
			Reclaim:         2900 * time.Millisecond,
			KeepEnded:       2 * time.Minute,
			Revoke:          5 * time.Second,
			StopGrace:       6 * time.Second,
		},
		Timing: FleetTiming{
			KeyAge:      4 * time.Second,
			DrainNotice: 2200 * time.Millisecond,
			StopMargin:  700 * time.Millisecond,
		},
		Scheduling: Scheduling{PriorityRatio: 2, LateShare: 0.5, LateLimit: 3},
		Log:        Log{Level: "info"},
		Cores:      1,
		Limits:     DefaultIntake(),
	}
}

// LoadFleet reads and checks the settings file at path.
func LoadFleet(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, errors.Mark(err, ErrInvalid)
	}
	return ParseFleet(path, data)
}

// ParseFleet reads and checks the content of a settings file. Errors give the
// file as name.
func ParseFleet(name string, data []byte) (Fleet, error) {
	root, err := parseFile(name, data)
	if err != nil {
		return Fleet{}, err
	}
	f, err := decodeFleet(name, root)
	if err != nil {
		return Fleet{}, err
	}
	return f, f.check(name)
}

// parseFile returns the content of a settings file.
func parseFile(name string, data []byte) (*yaml.Node, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return nil, invalid(name, 0, "", err.Error())
	}
	if len(root.Content) == 0 {
		return nil, invalid(name, 1, "", "the file is empty")
	}
	return root.Content[0], nil
}

// decodeFleet returns the settings with the values under root in place of the defaults.
func decodeFleet(name string, root *yaml.Node) (Fleet, error) {
	f := DefaultFleet()
	if err := checkKeys(name, root, encodeNode(f), ""); err != nil {
		return Fleet{}, err
	}
	if err := root.Decode(&f); err != nil {
		return Fleet{}, invalid(name, 0, "", err.Error())
	}
	return f, nil
}

func (f Fleet) check(name string) error {
	addresses := []struct {
		key     string
		address netip.AddrPort
	}{
		{"listen.callers", f.Listen.Callers}, {"listen.ready", f.Listen.Ready},
		{"listen.peers", f.Listen.Peers}, {"store", f.Store},
	}
	for _, a := range addresses {
		if !a.address.IsValid() {
			return invalid(name, 0, a.key, "must be an IP address and a port")
		}
	}
	durations := []struct {
		key   string
		value time.Duration
	}{
		{"bounds.longest-lease", f.Bounds.LongestLease}, {"bounds.gang-wait", f.Bounds.GangWait},
		{"bounds.keep-ended", f.Bounds.KeepEnded}, {"bounds.revoke", f.Bounds.Revoke},
		{"bounds.stop-grace", f.Bounds.StopGrace}, {"timing.key-age", f.Timing.KeyAge},
		{"timing.drain-notice", f.Timing.DrainNotice}, {"timing.stop-margin", f.Timing.StopMargin},
		{"bounds.checkpoint-every", f.Bounds.CheckpointEvery}, {"bounds.task-stop", f.Bounds.TaskStop},
		{"bounds.reclaim", f.Bounds.Reclaim},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return invalid(name, 0, d.key, "must be longer than 0")
		}
	}
	switch {
	case f.Host.ID == "":
		return invalid(name, 0, "host.id", "must not be empty")
	case f.Host.Domain == "":
		return invalid(name, 0, "host.failure-domain", "must name the failure domain that this host runs in")
	case !(f.Cores > 0):
		return invalid(name, 0, "cores", "must be more than 0")
	case !(f.Bounds.SpreadFactor >= 1):
		return invalid(name, 0, "bounds.spread-factor", "must be at least 1")
	case f.Bounds.Restore < 0:
		return invalid(name, 0, "bounds.restore", "must not be negative")
	case f.Timing.KeyAge >= f.Bounds.Revoke:
		return invalid(name, 0, "timing.key-age", "must be shorter than bounds.revoke")
	case f.Timing.StopMargin >= f.Bounds.StopGrace:
		return invalid(name, 0, "timing.stop-margin", "must be shorter than bounds.stop-grace")
	}
	if _, err := zerolog.ParseLevel(f.Log.Level); err != nil {
		return invalid(name, 0, "log.level", err.Error())
	}
	if err := f.checkIntake(name); err != nil {
		return err
	}
	return f.Scheduling.check(name)
}

// checkIntake checks the limits of callers, and of the machine that they follow from.
func (f Fleet) checkIntake(name string) error {
	switch key, problem := f.Limits.problem(); {
	case f.MemoryMB < 0:
		return invalid(name, 0, "memory-mb", "must not be negative")
	case f.Descriptors < 0:
		return invalid(name, 0, "descriptors", "must not be negative")
	case key != "":
		return invalid(name, 0, "limits."+key, problem)
	default:
		return nil
	}
}

func (s Scheduling) check(name string) error {
	switch {
	case !(s.PriorityRatio >= 1):
		return invalid(name, 0, "scheduling.priority-ratio", "must be 1 or more")
	case !(s.LateShare >= 0 && s.LateShare <= 1):
		return invalid(name, 0, "scheduling.late-share", "must be from 0 to 1")
	case !(s.LateLimit >= 1):
		return invalid(name, 0, "scheduling.late-limit", "must be 1 or more")
	default:
		return nil
	}
}

// Level returns the log level, or info if the settings hold no valid one.
func (f Fleet) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(f.Log.Level)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

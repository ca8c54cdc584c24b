package setng

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"
)

// Fleet is what a host learns that plans the workers of a platform which
// keeps all state in its store.
type Fleet struct {
	Host   Host           `yaml:"host"`
	Listen FleetListen    `yaml:"listen"`
	Store  netip.AddrPort `yaml:"store"`
	Bounds Bounds         `yaml:"bounds"`
	Timing FleetTiming    `yaml:"timing"`
	Log    Log            `yaml:"log"`
	// Cores is the part of a core that the host may use.
	Cores float64 `yaml:"cores"`
}

// FleetListen holds the listeners' addresses.
type FleetListen struct {
	Callers netip.AddrPort `yaml:"callers"`
	// Ready answers the platform's balancer.
	Ready netip.AddrPort `yaml:"ready"`
	// Peers is for other hosts and for metrics.
	Peers netip.AddrPort `yaml:"peers"`
}

// Bounds are the platform's own.
type Bounds struct {
	LongestLease    time.Duration `yaml:"longest-lease"`
	GangWait        time.Duration `yaml:"gang-wait"`
	CheckpointEvery time.Duration `yaml:"checkpoint-every"`
	SpreadFactor    float64       `yaml:"spread-factor"`
	Restore         time.Duration `yaml:"restore"`
	TaskStop        time.Duration `yaml:"task-stop"`
	Reclaim         time.Duration `yaml:"reclaim"`
	KeepEnded       time.Duration `yaml:"keep-ended"`
	// Revoke is how soon after a change a removed key must not work any more.
	Revoke time.Duration `yaml:"revoke"`
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration `yaml:"stop-grace"`
}

// FleetTiming holds the host's own lengths of time.
type FleetTiming struct {
	// KeyAge is how old the configuration may be under which keys are accepted.
	KeyAge time.Duration `yaml:"key-age"`
	// DrainNotice is how long a stopping host goes on taking calls.
	DrainNotice time.Duration `yaml:"drain-notice"`
	// StopMargin is what is left of the grace after a graceful stop.
	StopMargin time.Duration `yaml:"stop-margin"`
}

// DefaultFleet returns the settings that a file starts from.
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
		Log:   Log{Level: "info"},
		Cores: 1,
	}
}

// LoadFleet reads and checks the file.
func LoadFleet(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, errors.Mark(err, ErrInvalid)
	}
	return ParseFleet(path, data)
}

// ParseFleet checks the content of a settings file. name stands for the file
// in errors.
func ParseFleet(name string, data []byte) (Fleet, error) {
	f := DefaultFleet()
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return Fleet{}, invalid(name, 0, "", err.Error())
	}
	if len(root.Content) == 0 {
		return Fleet{}, invalid(name, 1, "", "the file is empty")
	}
	if err := checkKeys(name, root.Content[0], schemaOf(f), ""); err != nil {
		return Fleet{}, err
	}
	if err := root.Decode(&f); err != nil {
		return Fleet{}, invalid(name, 0, "", err.Error())
	}
	return f, f.check(name)
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
			return invalid(name, 0, a.key, "an IP number and a port are needed")
		}
	}
	lengths := []struct {
		key    string
		length time.Duration
	}{
		{"bounds.longest-lease", f.Bounds.LongestLease}, {"bounds.gang-wait", f.Bounds.GangWait},
		{"bounds.keep-ended", f.Bounds.KeepEnded}, {"bounds.revoke", f.Bounds.Revoke},
		{"bounds.stop-grace", f.Bounds.StopGrace}, {"timing.key-age", f.Timing.KeyAge},
		{"timing.drain-notice", f.Timing.DrainNotice}, {"timing.stop-margin", f.Timing.StopMargin},
	}
	for _, l := range lengths {
		if l.length <= 0 {
			return invalid(name, 0, l.key, "must be longer than 0")
		}
	}
	switch {
	case f.Host.ID == "":
		return invalid(name, 0, "host.id", "is empty")
	case f.Timing.KeyAge >= f.Bounds.Revoke:
		return invalid(name, 0, "timing.key-age", "must be shorter than bounds.revoke")
	case f.Timing.StopMargin >= f.Bounds.StopGrace:
		return invalid(name, 0, "timing.stop-margin", "must be shorter than bounds.stop-grace")
	}
	if _, err := zerolog.ParseLevel(f.Log.Level); err != nil {
		return invalid(name, 0, "log.level", err.Error())
	}
	return nil
}

// Level returns the log level. It is valid once the settings are checked.
func (f Fleet) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(f.Log.Level)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

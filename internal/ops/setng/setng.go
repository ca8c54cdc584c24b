// Package setng reads and checks the settings file of a host: YAML with
// kebab-case keys. An unknown key or a bad value is refused with the file, the
// line where it is known, the key, and what is allowed.
package setng

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"
)

// ErrInvalid marks every problem found in a settings file.
var ErrInvalid = errors.New("settings are not valid")

// Settings holds the settings of an entry host.
type Settings struct {
	Host     Host     `yaml:"host"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Keys     Keys     `yaml:"keys"`
	Limits   Limits   `yaml:"limits"`
	Machine  Machine  `yaml:"machine"`
	Timing   Timing   `yaml:"timing"`
	Log      Log      `yaml:"log"`
}

// Host names the host and the failure domain that it runs in.
type Host struct {
	ID     string `yaml:"id"`
	Domain string `yaml:"failure-domain"`
}

// Listen holds the addresses of the listeners. Port 0 lets the system choose
// one.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Operators netip.AddrPort `yaml:"operators"`
	Peers     netip.AddrPort `yaml:"peers"`
}

// Platform holds the address of the platform's store.
type Platform struct {
	Table netip.AddrPort `yaml:"table"`
}

// Keys holds the keys that operators and peers must send. Each is given in the
// file, or in an environment variable that the file names.
type Keys struct {
	Operators    string `yaml:"operators"`
	OperatorsEnv string `yaml:"operators-env"`
	Peers        string `yaml:"peers"`
	PeersEnv     string `yaml:"peers-env"`
}

// Limits bounds the work that a host accepts.
type Limits struct {
	Queue    int `yaml:"queue"`
	Attempts int `yaml:"attempts"`
	Intake   `yaml:",inline"`
}

// Timing holds durations. Deadlines are derived from them when an event
// occurs.
type Timing struct {
	TableTimeout  time.Duration `yaml:"table-timeout"`
	Session       time.Duration `yaml:"session"`
	SessionRenew  time.Duration `yaml:"session-renew"`
	ShardLease    time.Duration `yaml:"shard-lease"`
	TaskLease     time.Duration `yaml:"task-lease"`
	WorkerSync    time.Duration `yaml:"worker-sync"`
	Poll          time.Duration `yaml:"poll"`
	HostListPoll  time.Duration `yaml:"host-list-poll"`
	PeerInterval  time.Duration `yaml:"peer-interval"`
	ClockBound    time.Duration `yaml:"clock-bound"`
	StartWindow   time.Duration `yaml:"start-window"`
	ReclaimGrace  time.Duration `yaml:"reclaim-grace"`
	ClaimWait     time.Duration `yaml:"claim-wait"`
	StaleAfter    time.Duration `yaml:"stale-after"`
	OutageAfter   time.Duration `yaml:"outage-after"`
	DrainNotice   time.Duration `yaml:"drain-notice"`
	DrainTimeout  time.Duration `yaml:"drain-timeout"`
	GangPatience  time.Duration `yaml:"gang-patience"`
	UrgentLead    time.Duration `yaml:"urgent-lead"`
	WorkerTimeout time.Duration `yaml:"worker-timeout"`
	SetAside      time.Duration `yaml:"set-aside"`
}

// Log sets how much is logged.
type Log struct {
	Level string `yaml:"level"`
}

// Default returns the defaults for keys that a settings file leaves out.
func Default() Settings {
	loopback := netip.MustParseAddr("127.0.0.1")
	return Settings{
		Host: Host{ID: "entry-1", Domain: "domain-a"},
		Listen: Listen{
			Callers:   netip.AddrPortFrom(loopback, 7400),
			Operators: netip.AddrPortFrom(loopback, 7401),
			Peers:     netip.AddrPortFrom(loopback, 7402),
		},
		Platform: Platform{Table: netip.AddrPortFrom(loopback, 7300)},
		Keys:     Keys{OperatorsEnv: "RATTANSHORE_OPERATOR_KEY", PeersEnv: "RATTANSHORE_PEER_KEY"},
		Limits:   Limits{Queue: 512, Attempts: 3, Intake: DefaultIntake()},
		Timing:   defaultTiming(),
		Log:      Log{Level: "info"},
	}
}

func defaultTiming() Timing {
	return Timing{
		TableTimeout:  time.Second,
		Session:       4 * time.Second,
		SessionRenew:  time.Second,
		ShardLease:    4 * time.Second,
		TaskLease:     9 * time.Second,
		WorkerSync:    time.Second,
		Poll:          500 * time.Millisecond,
		HostListPoll:  time.Second,
		PeerInterval:  500 * time.Millisecond,
		ClockBound:    200 * time.Millisecond,
		StartWindow:   1500 * time.Millisecond,
		ReclaimGrace:  700 * time.Millisecond,
		ClaimWait:     time.Second,
		StaleAfter:    2500 * time.Millisecond,
		OutageAfter:   10 * time.Minute,
		DrainNotice:   time.Second,
		DrainTimeout:  30 * time.Second,
		GangPatience:  10 * time.Minute,
		UrgentLead:    time.Hour,
		WorkerTimeout: time.Second,
		SetAside:      time.Minute,
	}
}

// RequireKeys returns an error if the operators' or the peers' key is missing,
// without which a host cannot serve.
func (s Settings) RequireKeys() error {
	if s.Keys.Operators == "" {
		return errors.Wrapf(ErrInvalid, "keys.operators is empty and environment variable %q is not set", s.Keys.OperatorsEnv)
	}
	if s.Keys.Peers == "" {
		return errors.Wrapf(ErrInvalid, "keys.peers is empty and environment variable %q is not set", s.Keys.PeersEnv)
	}
	return nil
}

// Load reads and checks the settings file at path. Environment variables that
// hold keys are read with getenv, such as os.Getenv.
func Load(path string, getenv func(string) string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Mark(err, ErrInvalid)
	}
	return Parse(path, data, getenv)
}

// Parse reads and checks the content of a settings file. Errors give the file
// as name.
func Parse(name string, data []byte, getenv func(string) string) (Settings, error) {
	s := Default()
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return Settings{}, invalid(name, 0, "", err.Error())
	}
	if len(root.Content) == 0 {
		return Settings{}, invalid(name, 1, "", "the file is empty; 'rattanshore config print-defaults' prints a complete one")
	}
	if err := checkKeys(name, root.Content[0], encodeNode(s), ""); err != nil {
		return Settings{}, err
	}
	if err := root.Decode(&s); err != nil {
		return Settings{}, invalid(name, 0, "", err.Error())
	}
	s.Keys.Operators = valueOrEnv(s.Keys.Operators, s.Keys.OperatorsEnv, getenv)
	s.Keys.Peers = valueOrEnv(s.Keys.Peers, s.Keys.PeersEnv, getenv)
	if err := s.check(name, root.Content[0]); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// valueOrEnv returns value, or if it is empty, the environment variable name.
func valueOrEnv(value, name string, getenv func(string) string) string {
	if value != "" || name == "" {
		return value
	}
	return getenv(name)
}

// invalid returns an error marked with ErrInvalid that says where the problem
// is. A line of 0 and an empty key are left out.
func invalid(name string, line int, key, problem string) error {
	where := name
	if line > 0 {
		where = fmt.Sprintf("%s:%d", name, line)
	}
	if key != "" {
		where += ": " + key
	}
	return &keyError{error: errors.Wrap(ErrInvalid, where+": "+problem), key: key}
}

// keyError is a problem with the value of a key, or with the file if the key is empty.
type keyError struct {
	error
	key string
}

func (e *keyError) Unwrap() error { return e.error }

// Level returns the log level, or info if the settings hold no valid one.
func (s Settings) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

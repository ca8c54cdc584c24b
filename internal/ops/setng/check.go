package setng

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"
)

// schemaOf returns the node tree of the settings, which holds every key.
func schemaOf(s any) *yaml.Node {
	var node yaml.Node
	if err := node.Encode(s); err != nil {
		panic("settings cannot be encoded: " + err.Error())
	}
	return &node
}

// checkKeys refuses keys that the settings do not have and values that cannot
// be read, with their lines.
func checkKeys(name string, node, known *yaml.Node, path string) error {
	if node.Kind != yaml.MappingNode {
		return invalid(name, node.Line, path, "should be a mapping of keys to values")
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		full := strings.TrimPrefix(path+"."+key.Value, ".")
		expected := child(known, key.Value)
		if expected == nil {
			return invalid(name, key.Line, full, "unknown key; known here are "+strings.Join(keysOf(known), ", "))
		}
		if expected.Kind == yaml.MappingNode {
			if err := checkKeys(name, value, expected, full); err != nil {
				return err
			}
			continue
		}
		if problem := checkScalar(path, value); problem != "" {
			return invalid(name, value.Line, full, problem)
		}
	}
	return nil
}

func checkScalar(section string, value *yaml.Node) string {
	if value.Kind != yaml.ScalarNode {
		return "should be a single value"
	}
	switch section {
	case "timing":
		if d, err := time.ParseDuration(value.Value); err != nil || d <= 0 {
			return fmt.Sprintf("%q is not a length of time; write one like 1500ms or 4s", value.Value)
		}
	case "listen", "platform":
		if _, err := netip.ParseAddrPort(value.Value); err != nil {
			return fmt.Sprintf("%q is not an address; write an IP number and a port like 127.0.0.1:7400", value.Value)
		}
	case "limits":
		if value.Tag != "!!int" || strings.HasPrefix(value.Value, "-") || value.Value == "0" {
			return fmt.Sprintf("%q is not a positive whole number", value.Value)
		}
	}
	return ""
}

func child(node *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

func keysOf(node *yaml.Node) []string {
	var keys []string
	for i := 0; i+1 < len(node.Content); i += 2 {
		keys = append(keys, node.Content[i].Value)
	}
	slices.Sort(keys)
	return keys
}

// rule is a condition between values that a settings file must meet.
type rule struct {
	section, key string
	holds        bool
	problem      string
}

func (s Settings) check(name string, root *yaml.Node) error {
	for _, r := range s.rules() {
		if !r.holds {
			return invalid(name, lineOf(root, r.section, r.key), r.section+"."+r.key, r.problem)
		}
	}
	return nil
}

func (s Settings) rules() []rule {
	t := s.Timing
	_, levelErr := zerolog.ParseLevel(s.Log.Level)
	return []rule{
		{"host", "id", s.Host.ID != "", "give this host a name of its own"},
		{"host", "failure-domain", s.Host.Domain != "", "name the failure domain this host is in"},
		{"keys", "operators", s.Keys.Operators+s.Keys.OperatorsEnv != "", "give a key here or name an environment variable in operators-env"},
		{"keys", "peers", s.Keys.Peers+s.Keys.PeersEnv != "", "give a key here or name an environment variable in peers-env"},
		{"log", "level", levelErr == nil, "use one of debug, info, warn, error"},
		{"timing", "session-renew", t.SessionRenew*2 <= t.Session, "should be at most half of session, " + t.Session.String()},
		{"timing", "worker-sync", t.WorkerSync*5 <= t.TaskLease, "should be at most a fifth of task-lease, " + t.TaskLease.String()},
		{"timing", "shard-lease", t.ShardLease+2*t.WorkerSync+t.ClockBound < t.TaskLease, "should leave a successor time to renew before task-lease, " + t.TaskLease.String() + ", ends"},
		{"timing", "start-window", t.StartWindow+t.ClockBound < maxStartWindow, "with clock-bound should stay under " + maxStartWindow.String() + ", the bound on starts in a failure domain that is out"},
		{"timing", "stale-after", t.StaleAfter+t.Poll < maxStale, "with poll should stay under " + maxStale.String() + ", the bound for a configuration to be in force"},
	}
}

const (
	// maxStartWindow is the bound on starts after a failure domain went out.
	maxStartWindow = 3 * time.Second
	// maxStale is the bound for a configuration to be in force everywhere.
	maxStale = 4 * time.Second
)

func lineOf(root *yaml.Node, section, key string) int {
	part := child(root, section)
	if part == nil {
		return 0
	}
	if value := child(part, key); value != nil {
		return value.Line
	}
	return part.Line
}

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

// encodeNode returns the settings as a YAML node tree. The tree holds every
// key, so it also serves as the schema that a file is checked against.
func encodeNode(s any) *yaml.Node {
	var node yaml.Node
	if err := node.Encode(s); err != nil {
		panic("settings cannot be encoded: " + err.Error())
	}
	return &node
}

// checkKeys checks the keys and values under node against the allowed tree. It
// returns an error with the line of the first unknown key or malformed value.
func checkKeys(name string, node, allowed *yaml.Node, path string) error {
	if node.Kind != yaml.MappingNode {
		return invalid(name, node.Line, path, "must be a mapping of keys to values")
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		keyPath := strings.TrimPrefix(path+"."+key.Value, ".")
		allowedValue := child(allowed, key.Value)
		if allowedValue == nil {
			return invalid(name, key.Line, keyPath, "unknown key; valid keys are "+strings.Join(sortedKeys(allowed), ", "))
		}
		if allowedValue.Kind == yaml.MappingNode {
			if err := checkKeys(name, value, allowedValue, keyPath); err != nil {
				return err
			}
			continue
		}
		if problem := checkScalar(path, value); problem != "" {
			return invalid(name, value.Line, keyPath, problem)
		}
	}
	return nil
}

// checkScalar checks a value by the type that its section holds. It returns
// the problem, or an empty text.
func checkScalar(section string, value *yaml.Node) string {
	if value.Kind != yaml.ScalarNode {
		return "must be a single value"
	}
	switch section {
	case "timing":
		if d, err := time.ParseDuration(value.Value); err != nil || d <= 0 {
			return fmt.Sprintf("%q is not a positive duration; use a form like 1500ms or 4s", value.Value)
		}
	case "listen", "platform":
		if _, err := netip.ParseAddrPort(value.Value); err != nil {
			return fmt.Sprintf("%q is not an address; use an IP address and a port, like 127.0.0.1:7400", value.Value)
		}
	case "machine":
		if value.Tag != "!!int" || strings.HasPrefix(value.Value, "-") {
			return fmt.Sprintf("%q is not a number of 0 or more", value.Value)
		}
	case "limits":
		if value.Tag != "!!int" || strings.HasPrefix(value.Value, "-") || value.Value == "0" {
			return fmt.Sprintf("%q is not a positive integer", value.Value)
		}
	}
	return ""
}

// child returns the value of a key of a mapping, or nil.
func child(node *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

func sortedKeys(node *yaml.Node) []string {
	var keys []string
	for i := 0; i+1 < len(node.Content); i += 2 {
		keys = append(keys, node.Content[i].Value)
	}
	slices.Sort(keys)
	return keys
}

// rule is a condition that the values of a settings file must meet.
type rule struct {
	section, key string
	ok           bool
	problem      string
}

func (s Settings) check(name string, root *yaml.Node) error {
	for _, r := range s.rules() {
		if !r.ok {
			return invalid(name, lineOf(root, r.section, r.key), r.section+"."+r.key, r.problem)
		}
	}
	return nil
}

// rules returns the conditions in the order in which they are checked.
func (s Settings) rules() []rule {
	t := s.Timing
	limitKey, limitProblem := s.Limits.problem()
	_, levelErr := zerolog.ParseLevel(s.Log.Level)
	return []rule{
		{"host", "id", s.Host.ID != "", "must be a name that no other host has"},
		{"host", "failure-domain", s.Host.Domain != "", "must name the failure domain that this host runs in"},
		{"keys", "operators", s.Keys.Operators+s.Keys.OperatorsEnv != "", "must be set, or operators-env must name an environment variable"},
		{"keys", "peers", s.Keys.Peers+s.Keys.PeersEnv != "", "must be set, or peers-env must name an environment variable"},
		{"limits", limitKey, limitKey == "", limitProblem},
		{"log", "level", levelErr == nil, "must be one of debug, info, warn, error"},
		{"timing", "session-renew", t.SessionRenew*2 <= t.Session, "must be at most half of session, " + t.Session.String()},
		{"timing", "worker-sync", t.WorkerSync*5 <= t.TaskLease, "must be at most a fifth of task-lease, " + t.TaskLease.String()},
		{"timing", "shard-lease", t.ShardLease+2*t.WorkerSync+t.ClockBound < t.TaskLease, "must leave a new owner time to renew task leases before task-lease, " + t.TaskLease.String() + ", expires"},
		{"timing", "start-window", t.StartWindow+t.ClockBound < maxStartWindow, "plus clock-bound must stay under " + maxStartWindow.String() + ", within which starts in a failure domain taken out of service must cease"},
		{"timing", "stale-after", t.StaleAfter+t.Poll < maxConfigDelay, "plus poll must stay under " + maxConfigDelay.String() + ", within which a configuration must be in force on all hosts"},
	}
}

const (
	// maxStartWindow bounds how long tasks may still start in a failure domain
	// after it was taken out of service.
	maxStartWindow = 3 * time.Second
	// maxConfigDelay bounds the time until an accepted configuration is in force
	// on all hosts.
	maxConfigDelay = 4 * time.Second
)

// lineOf returns the line of a key, that of its section if the key is absent,
// or 0 if the section is absent too.
func lineOf(root *yaml.Node, section, key string) int {
	sectionNode := child(root, section)
	if sectionNode == nil {
		return 0
	}
	if value := child(sectionNode, key); value != nil {
		return value.Line
	}
	return sectionNode.Line
}

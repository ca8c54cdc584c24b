package setng

import (
	"bytes"

	"go.yaml.in/yaml/v3"
)

// keyComments explains each section, and the keys whose names do not say enough.
var keyComments = map[string]string{
	"host":                    "Name of this host, and the failure domain that it runs in.",
	"listen":                  "Listeners, as IP address and port. Port 0 lets the system choose one.",
	"platform":                "The platform's store.",
	"keys":                    "Keys that operators and peers must send, or the environment variables that hold them.",
	"limits":                  "Limits on the work that this host accepts.",
	"limits.body-bytes":       "Largest body of a call, in bytes.",
	"limits.queue":            "Largest number of requests that wait for a target.",
	"limits.attempts":         "Largest number of dispatches of an idempotent request.",
	"limits.memory-mb":        "Memory in MB that the connections of callers may hold together.",
	"limits.other-memory-mb":  "The same for each of the operators' and the peers' listener.",
	"limits.connections":      "Largest number of callers' connections; the host's own calls come first.",
	"limits.peer-connections": "Largest number of connections to the peers' listener.",
	"limits.header-bytes":     "Largest head of a request, in bytes.",
	"machine":                 "What the process may use of its machine.",
	"machine.memory-mb":       "Memory in MB; 0 is all that the machine has.",
	"machine.descriptors":     "Open descriptors; 0 is the limit of the process.",
	"timing":                  "Durations, such as 1500ms or 4s.",
	"timing.session":          "A host that has not renewed its session for this long counts as dead.",
	"timing.shard-lease":      "A shard whose owner has not renewed its lease for this long may be taken over.",
	"timing.task-lease":       "A worker stops a task whose lease has not been renewed for this long.",
	"timing.clock-bound":      "Largest difference between the clocks of two hosts or workers.",
	"timing.start-window":     "Time from the commit of a placement to the last possible start of its tasks.",
	"timing.reclaim-grace":    "Time that tasks have to save a checkpoint when their capacity is reclaimed.",
	"timing.claim-wait":       "A request whose claim is not settled within this time is answered with not-run.",
	"timing.stale-after":      "A host that has not confirmed its configuration for this long stops making decisions.",
	"timing.outage-after":     "Longest time that hosts which all reach each other make decisions while none reaches the store.",
	"timing.gang-patience":    "A gang that has waited this long may reclaim lent capacity.",
	"timing.urgent-lead":      "Patient work goes before urgent work that was submitted later by more than this.",
	"timing.drain-notice":     "Time for which a stopping host still accepts calls, so that the load balancer notices the stop.",
	"timing.drain-timeout":    "Longest time that a stop waits for requests in progress.",
	"timing.set-aside":        "Time for which a worker whose tasks keep failing gets no work.",
	"timing.host-list-poll":   "Interval between reads of the list of workers and targets.",
	"timing.worker-sync":      "Interval between renewals of the leases of a worker's tasks.",
	"timing.table-timeout":    "Timeout of a call to the store.",
	"timing.worker-timeout":   "Timeout of a call to a worker, beyond the time that the worker is asked to wait.",
	"timing.peer-interval":    "Interval between messages to each peer.",
	"timing.poll":             "Interval between reads of the shared rows.",
	"timing.session-renew":    "Interval between renewals of this host's session.",
	"log.level":               "One of debug, info, warn, error.",
	"keys.operators-env":      "Read when operators is empty.",
	"keys.peers-env":          "Read when peers is empty.",
}

// Print returns the settings as the text of a settings file with comments.
func Print(s Settings) ([]byte, error) {
	node := encodeNode(s)
	addComments(node, "")
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(node); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// addComments sets the comment of each key under node, whose own key path is
// given.
func addComments(node *yaml.Node, path string) {
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		keyPath := key.Value
		if path != "" {
			keyPath = path + "." + key.Value
		}
		key.HeadComment = keyComments[keyPath]
		if value.Kind == yaml.MappingNode {
			addComments(value, keyPath)
		}
	}
}

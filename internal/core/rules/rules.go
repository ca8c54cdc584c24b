// Package rules holds the configuration that operators keep in the platform's
// store: which queue a call belongs to, which workers serve it and which team
// a key stands for. It does no input or output.
package rules

import (
	"strings"
	"time"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Targets []Target
	Teams   []Team
	Limits  Limits
}

// Queue is a named entry for jobs, found by host name and path.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host   string
	Prefix string
	// Target names the pool of workers that run the queue's tasks.
	Target string
	// Priority 0 comes first and may preempt the others.
	Priority int
	// MaxAttempts is how many runs of a task may end by a failure.
	MaxAttempts int
	// Stretch and Objective say until when a job earns its whole credit: the
	// stretch times its longest chain of work, and the objective more.
	Stretch   float64
	Objective time.Duration
	Timeout   time.Duration
	// Public queues need no key.
	Public bool
	// Advised queues run only where the advice service allows it.
	Advised bool
}

// Target is a pool of workers.
type Target struct {
	Name string
	// Guards says that its workers reject what does not fit.
	Guards bool
}

// Team holds keys and a guarantee.
type Team struct {
	Name string
	Keys []string
	// Guaranteed accelerators belong to the team's urgent jobs at all times.
	Guaranteed int
}

// Limits bounds what a host reads of one call.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route returns the queue that a call belongs to and what follows its prefix.
func (c *Config) Route(host, path string) (queue *Queue, rest string, ok bool) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if queue == nil || len(q.Prefix) > len(queue.Prefix) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.Prefix):], true
}

// Queue returns the queue of the given name.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Team returns the team that holds the key.
func (c *Config) Team(key string) (string, bool) {
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if k == key {
				return t.Name, true
			}
		}
	}
	return "", false
}

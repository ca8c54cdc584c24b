// Package rules defines the configuration that operators keep in the platform's
// store: the queues of calls, the workers that serve them, and the teams that
// own the keys. It performs no I/O.
package rules

import (
	"strings"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Targets []Target
	Teams   []Team
	Limits  Limits
}

// Queue accepts jobs under a host name and a path prefix.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a call; the longest prefix wins.
	Host   string
	Prefix string
	// Target names the pool of workers that run the queue's tasks.
	Target string
	// Priority 0 is the highest, and its jobs may preempt those of the others.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job
	// fails. 0 means no limit.
	MaxAttempts int
	// A job that ends within Stretch times the duration of its critical path,
	// plus Objective, has its full value.
	Stretch   float64
	Objective time.Duration
	Timeout   time.Duration
	// Public queues accept calls without a key.
	Public bool
	// Advised queues run tasks only where the advice service allows it.
	Advised bool
}

// Target is a pool of workers.
type Target struct {
	Name string
	// EnforcesCapacity is set if the workers reject tasks that exceed their
	// capacity.
	EnforcesCapacity bool
}

// Team is a group of users with its keys and its guarantee.
type Team struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that are available to the team's
	// urgent jobs at all times.
	Guaranteed int
	// Limit is what the team may have running on all workers together. A resource
	// of 0 has no limit.
	Limit record.Amount
	// Weight is the team's share when all capacity is in use, in proportion to the
	// other teams' weights. 0 means that none is set.
	Weight float64
}

// Limits bounds the size and the duration of a call to a host.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route returns the queue of a call, and the rest of the path after the queue's
// prefix.
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

// Queue returns the queue with the given name.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// TeamByKey returns the name of the team that owns the key.
func (c *Config) TeamByKey(key string) (string, bool) {
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if k == key {
				return t.Name, true
			}
		}
	}
	return "", false
}

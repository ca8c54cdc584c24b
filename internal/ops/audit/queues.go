package audit

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
)

// address is what selects the queue of a call.
type address struct {
	host, prefix string
}

func (r *ruleCheck) queues() {
	names := map[string]int{}
	addresses := map[address]int{}
	for i, q := range r.config.Queues {
		if j, taken := names[q.Name]; taken {
			r.add(Error, "name-taken", at(Queues, i, Name), "a name that no other queue has",
				"queue %q is also entry %d, whose values hold for the jobs of both", q.Name, j)
		} else {
			names[q.Name] = i
		}
		a := address{q.Host, q.Prefix}
		if j, taken := addresses[a]; taken {
			r.add(Warning, "queue-shadowed", at(Queues, i, Prefix), "a host and a prefix that no earlier queue has",
				"queue %q can never match: queue %q (entry %d) has the same host %q and prefix %q", q.Name, r.config.Queues[j].Name, j, q.Host, q.Prefix)
		} else {
			addresses[a] = i
		}
		r.address(i, q)
		r.ranges(i, q)
		r.times(i, q)
	}
}

// address checks whether a call can reach the queue and name a job.
func (r *ruleCheck) address(i int, q rules.Queue) {
	switch {
	case q.Name == "":
		r.add(Error, "name-missing", at(Queues, i, Name), "a name that no other queue has", "the queue has no name")
	case q.Target == "":
		r.add(Error, "target-missing", at(Queues, i, Target), "the name of a target", "queue %q has no target, so its jobs never run", q.Name)
	}
	switch {
	case q.Host == "":
		r.add(Warning, "host-unreachable", at(Queues, i, HostName), "the host name that callers send",
			"queue %q can never match: it has no host name", q.Name)
	case q.Host != strings.ToLower(q.Host) || strings.ContainsAny(q.Host, "/ *"):
		r.add(Warning, "host-unreachable", at(Queues, i, HostName), "the host name in lower case, without scheme, path or wildcard",
			"queue %q: host names are compared as they are, and no caller sends %q", q.Name, q.Host)
	}
	switch {
	case !strings.HasPrefix(q.Prefix, "/"):
		r.add(Warning, "prefix-unreachable", at(Queues, i, Prefix), "a prefix that starts and ends with /",
			"queue %q: no call names a job under prefix %q, since paths start with /", q.Name, q.Prefix)
	case !strings.HasSuffix(q.Prefix, "/"):
		r.add(Warning, "prefix-open", at(Queues, i, Prefix), "a prefix that ends with /",
			"queue %q: what follows prefix %q is the job's identifier, so a call with a / before it is refused", q.Name, q.Prefix)
	}
	if q.Advised {
		r.add(Warning, "queue-unsupported", at(Queues, i, Advised), "no advice",
			"queue %q places tasks by advice, which is not supported: each of its jobs is refused", q.Name)
	}
}

func (r *ruleCheck) ranges(i int, q rules.Queue) {
	for _, v := range []struct {
		field Field
		value float64
	}{
		{Priority, float64(q.Priority)}, {MaxAttempts, float64(q.MaxAttempts)}, {Stretch, q.Stretch},
		{Objective, float64(q.Objective)}, {Timeout, float64(q.Timeout)},
	} {
		if v.value < 0 {
			r.add(Error, "range", at(Queues, i, v.field), "a number of at least 0", "queue %q has a negative %s", q.Name, v.field)
		}
	}
}

// times checks whether a run can meet the queue's stretch, objective and timeout.
func (r *ruleCheck) times(i int, q rules.Queue) {
	if q.Stretch < 0 || q.Objective < 0 || q.Timeout < 0 {
		return
	}
	switch {
	case q.Stretch < 1 && q.Objective == 0:
		r.add(Warning, "objective-unmeetable", at(Queues, i, Stretch), "a stretch of at least 1, or an objective",
			"queue %q: no run ends within %v times its own length", q.Name, q.Stretch)
	case q.Stretch < 1:
		r.add(Warning, "objective-unmeetable", at(Queues, i, Stretch), "a stretch of at least 1",
			"queue %q: no run longer than %v meets %v times its own length plus %v", q.Name, longestMeeting(q), q.Stretch, q.Objective)
	}
	if q.Timeout == 0 {
		return
	}
	if q.Timeout < q.Objective {
		r.add(Warning, "timeout-short", at(Queues, i, Timeout), fmt.Sprintf("at least the objective, %v", q.Objective),
			"queue %q has a timeout of %v, shorter than its objective", q.Name, q.Timeout)
	}
	if q.Priority == 0 && q.Timeout < r.context.Reclaim {
		r.add(Warning, "timeout-short", at(Queues, i, Timeout), fmt.Sprintf("more than %v", r.context.Reclaim),
			"queue %q: urgent work may start %v after its submission, later than the timeout of %v", q.Name, r.context.Reclaim, q.Timeout)
	}
}

// longestMeeting returns the longest run that meets an objective with a stretch
// below 1.
func longestMeeting(q rules.Queue) time.Duration {
	longest := float64(q.Objective) / (1 - q.Stretch)
	return time.Duration(min(longest, math.MaxInt64/2)).Round(time.Millisecond)
}

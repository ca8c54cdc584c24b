package audit

import (
	"fmt"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

func (r *ruleCheck) teams() {
	names := map[string]int{}
	holders := map[string]int{}
	for i, t := range r.config.Teams {
		if t.Name == "" {
			r.add(Error, "name-missing", at(Teams, i, Name), "a name that no other team has",
				"the team has no name, so its calls count as calls without a key")
		} else if j, taken := names[t.Name]; taken {
			r.add(Error, "name-taken", at(Teams, i, Name), "a name that no other team has",
				"team %q is also entry %d, whose guarantee and limit hold", t.Name, j)
		}
		if _, taken := names[t.Name]; !taken {
			names[t.Name] = i
		}
		own := r.keys(i, t, holders)
		r.admitted(i, t, own)
		r.teamLimits(i, t)
	}
}

// keys checks the keys of one team, and returns how many of them admit it. No
// finding shows a key.
func (r *ruleCheck) keys(i int, t rules.Team, holders map[string]int) int {
	own := 0
	for k, key := range t.Keys {
		where := At{Entry: Teams, Index: i, Field: Keys, Item: k}
		holder, taken := holders[key]
		switch {
		case key == "":
			r.add(Error, "key-empty", where, "a key that is not empty",
				"team %q has an empty key, so each call without a key counts as the team's", t.Name)
		case taken && holder == i:
			r.add(Warning, "key-repeated", where, "each key once", "team %q lists the key twice", t.Name)
		case taken:
			r.add(Error, "key-held-twice", where, "a key that no other team holds",
				"team %q can never be admitted by this key: team %q (entry %d) holds it too", t.Name, r.config.Teams[holder].Name, holder)
		default:
			holders[key] = i
			own++
		}
	}
	return own
}

// admitted warns of a team whose calls no queue admits.
func (r *ruleCheck) admitted(i int, t rules.Team, own int) {
	reason := ""
	switch {
	case len(t.Keys) == 0:
		reason = "it has no key"
	case own == 0:
		reason = "none of its keys is its own"
	case len(r.config.Queues) == 0:
		reason = "the document has no queue"
	default:
		return
	}
	r.add(Warning, "team-not-admitted", at(Teams, i, Keys), "a key of its own, and a queue", "no queue admits team %q: %s", t.Name, reason)
}

func (r *ruleCheck) teamLimits(i int, t rules.Team) {
	if t.Guaranteed < 0 {
		r.add(Error, "range", at(Teams, i, Guaranteed), "a number of at least 0", "team %q has a negative guarantee", t.Name)
	}
	if limit := t.Limit.Accelerators; limit > 0 && t.Guaranteed > limit {
		r.add(Warning, "guarantee-above-limit", at(Teams, i, Guaranteed), fmt.Sprintf("at most the limit, %d", limit),
			"team %q is guaranteed %s and limited to %d; the limit holds", t.Name, plural(t.Guaranteed, "accelerator"), limit)
	}
	for _, v := range resources(t.Limit, r.context.WidestGang) {
		if v.first > 0 && v.first < v.second {
			r.add(Warning, "limit-below-gang", at(Teams, i, Limit), fmt.Sprintf("at least %s", v.text(v.second)),
				"team %q is limited to %s, so the widest gang, of %s, is refused", t.Name, v.text(v.first), v.text(v.second))
		}
	}
}

// guarantees checks all guarantees together.
func (r *ruleCheck) guarantees() {
	urgent := map[string]bool{}
	for _, q := range r.config.Queues {
		if q.Priority == 0 {
			urgent[q.Target] = true
		}
	}
	sum, last := 0, -1
	for i, t := range r.config.Teams {
		if t.Guaranteed <= 0 {
			continue
		}
		// Sums of absurd guarantees must not wrap around.
		sum, last = min(sum+min(t.Guaranteed, maxSum), maxSum), i
		if len(urgent) == 0 {
			r.add(Warning, "guarantee-unused", at(Teams, i, Guaranteed), "a queue of priority 0, or no guarantee",
				"team %q is guaranteed %s, but only urgent jobs use guarantees and no queue has priority 0", t.Name, plural(t.Guaranteed, "accelerator"))
		}
	}
	capacity, known := r.acceleratorsOf(urgent)
	if known && sum > capacity {
		r.add(Error, "guarantee-above-capacity", at(Teams, last, Guaranteed), fmt.Sprintf("guarantees of at most %d together", capacity),
			"the teams are guaranteed %s together, and the workers of urgent queues have %d", plural(sum, "accelerator"), capacity)
	}
}

// maxSum bounds sums of accelerators.
const maxSum = 1 << 40

// acceleratorsOf returns the accelerators of the workers of some targets, and
// false if they are not known.
func (r *ruleCheck) acceleratorsOf(targets map[string]bool) (int, bool) {
	if r.context.Capacity == nil {
		return r.context.TotalAccelerators, r.context.TotalAccelerators > 0
	}
	sum := 0
	for target, amount := range r.context.Capacity {
		if targets[target] {
			sum += amount.Accelerators
		}
	}
	return sum, len(targets) > 0
}

// resource is one resource of two amounts.
type resource struct {
	first, second int
	// unit follows the number, with an s for more than one.
	unit string
}

func (r resource) text(n int) string {
	return plural(n, r.unit)
}

// resources pairs the resources of two amounts.
func resources(a, b record.Amount) []resource {
	return []resource{
		{a.MilliCores, b.MilliCores, "millicore"},
		{a.MemoryMB, b.MemoryMB, "megabyte"},
		{a.Accelerators, b.Accelerators, "accelerator"},
	}
}

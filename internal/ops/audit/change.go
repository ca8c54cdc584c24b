package audit

import (
	"fmt"
	"math"
	"slices"

	"github.com/rattanshore/rattanshore/internal/core/rules"
)

// Differences returns what changes in meaning from the configuration in force to
// the next one, with its effect. The order of entries and their places in the file
// have no meaning.
func Differences(old, next rules.Config, source Source) []Finding {
	d := &ruleCheck{config: next, source: source}
	if next.Version <= old.Version && !sameMeaning(old, next) {
		d.add(Error, "version", at(Whole, -1, Version), fmt.Sprintf("at least %d", old.Version+1),
			"version %d is not above the one in force, %d, so hosts ignore the document", next.Version, old.Version)
	}
	d.queueChanges(old)
	d.teamChanges(old)
	d.keyChanges(old)
	d.weightChanges(old)
	return d.findings
}

// sameMeaning reports whether two configurations differ in nothing but their
// version.
func sameMeaning(old, next rules.Config) bool {
	return slices.Equal(old.Queues, next.Queues) && slices.Equal(old.Targets, next.Targets) && old.Limits == next.Limits &&
		slices.EqualFunc(old.Teams, next.Teams, func(a, b rules.Team) bool {
			return a.Name == b.Name && slices.Equal(a.Keys, b.Keys) && a.Guaranteed == b.Guaranteed && a.Limit == b.Limit && a.Weight == b.Weight
		})
}

func (r *ruleCheck) change(where At, format string, args ...any) {
	r.add(Change, "differs", where, "", format, args...)
}

func (r *ruleCheck) queueChanges(old rules.Config) {
	before := byName(old.Queues, func(q rules.Queue) string { return q.Name })
	after := byName(r.config.Queues, func(q rules.Queue) string { return q.Name })
	for _, q := range old.Queues {
		if _, kept := after[q.Name]; !kept {
			r.change(at(Queues, -1, ""), "queue %q is removed: new calls to host %q under %q find no such queue; its jobs keep its last values", q.Name, q.Host, q.Prefix)
		}
	}
	for i, q := range r.config.Queues {
		j, known := before[q.Name]
		switch {
		case after[q.Name] != i:
			continue
		case !known:
			r.change(at(Queues, i, Name), "queue %q is added for host %q under %q", q.Name, q.Host, q.Prefix)
		default:
			r.queueChange(i, old.Queues[j], q)
		}
	}
}

func (r *ruleCheck) queueChange(i int, old, next rules.Queue) {
	if old.Host != next.Host || old.Prefix != next.Prefix {
		r.change(at(Queues, i, Prefix), "queue %q moves from host %q under %q to host %q under %q: callers of the former are refused",
			next.Name, old.Host, old.Prefix, next.Host, next.Prefix)
	}
	if old.Target != next.Target {
		r.change(at(Queues, i, Target), "queue %q moves from target %q to %q: what has not started runs there", next.Name, old.Target, next.Target)
	}
	if old.Priority != next.Priority {
		r.change(at(Queues, i, Priority), "queue %q goes from priority %d to %d: %s", next.Name, old.Priority, next.Priority, priorityEffect(old.Priority, next.Priority))
	}
	for _, v := range []struct {
		field       Field
		old, next   any
		consequence string
	}{
		{MaxAttempts, old.MaxAttempts, next.MaxAttempts, "failed runs of a task after which its job fails; 0 is without limit"},
		{Stretch, old.Stretch, next.Stretch, "times the critical path within which a job has its full value"},
		{Objective, old.Objective, next.Objective, "added to the stretched critical path"},
		{Timeout, old.Timeout, next.Timeout, "0 is none; the scheduler does not apply it"},
		{Public, old.Public, next.Public, "whether calls without a key are accepted"},
		{Advised, old.Advised, next.Advised, "whether tasks are placed by advice, which is not supported"},
	} {
		if v.old != v.next {
			r.change(at(Queues, i, v.field), "queue %q: %s goes from %v to %v (%s)", next.Name, v.field, v.old, v.next, v.consequence)
		}
	}
}

func priorityEffect(old, next int) string {
	switch {
	case next == 0:
		return "its jobs may preempt those of other queues"
	case old == 0:
		return "its jobs no longer preempt others and no longer use guarantees"
	case next > old:
		return "its jobs come later"
	default:
		return "its jobs come earlier"
	}
}

func (r *ruleCheck) teamChanges(old rules.Config) {
	before := byName(old.Teams, func(t rules.Team) string { return t.Name })
	after := byName(r.config.Teams, func(t rules.Team) string { return t.Name })
	for i, t := range old.Teams {
		if _, kept := after[t.Name]; !kept && before[t.Name] == i {
			r.change(at(Teams, -1, ""), "team %q is removed: it loses its guarantee of %s and %s",
				t.Name, plural(t.Guaranteed, "accelerator"), plural(len(t.Keys), "key"))
		}
	}
	for i, t := range r.config.Teams {
		if after[t.Name] != i {
			continue
		}
		j, known := before[t.Name]
		if !known {
			r.change(at(Teams, i, Name), "team %q is added with a guarantee of %s", t.Name, plural(t.Guaranteed, "accelerator"))
			continue
		}
		r.amountChanges(i, old.Teams[j], t)
	}
}

// amountChanges compares the guarantee and the limit of a team.
func (r *ruleCheck) amountChanges(i int, old, next rules.Team) {
	if old.Guaranteed != next.Guaranteed {
		r.change(at(Teams, i, Guaranteed), "team %q: the guarantee goes from %d to %s; it %s %d",
			next.Name, old.Guaranteed, plural(next.Guaranteed, "accelerator"), gainsOrLoses(next.Guaranteed > old.Guaranteed), distance(old.Guaranteed, next.Guaranteed))
	}
	for _, v := range resources(old.Limit, next.Limit) {
		switch {
		case v.first == v.second:
		case v.first == 0:
			r.change(at(Teams, i, Limit), "team %q is limited to %s, where it had no limit", next.Name, v.text(v.second))
		case v.second == 0:
			r.change(at(Teams, i, Limit), "team %q has no limit instead of %s", next.Name, v.text(v.first))
		default:
			r.change(at(Teams, i, Limit), "team %q: the limit goes from %d to %s; it %s %d",
				next.Name, v.first, v.text(v.second), gainsOrLoses(v.second > v.first), distance(v.first, v.second))
		}
	}
}

// keyChanges compares the holders of keys. No finding shows a key.
func (r *ruleCheck) keyChanges(old rules.Config) {
	before, after := holders(old), holders(r.config)
	lost, gained := map[string]int{}, map[string]int{}
	for key, team := range before {
		if _, kept := after[key]; !kept {
			lost[team]++
		}
	}
	for key, team := range after {
		if _, known := before[key]; !known {
			gained[team]++
		}
	}
	names := byName(r.config.Teams, func(t rules.Team) string { return t.Name })
	for i, t := range r.config.Teams {
		if names[t.Name] != i {
			continue
		}
		if n := lost[t.Name]; n > 0 {
			r.change(at(Teams, i, Keys), "team %q loses %s: calls with a key that no team holds are refused, except by public queues", t.Name, plural(n, "key"))
		}
		if n := gained[t.Name]; n > 0 {
			r.change(at(Teams, i, Keys), "team %q gains %s", t.Name, plural(n, "key"))
		}
		for k, key := range t.Keys {
			if was, known := before[key]; known && was != after[key] && after[key] == t.Name {
				r.change(At{Entry: Teams, Index: i, Field: Keys, Item: k}, "a key goes from team %q to team %q: jobs submitted with it count for the latter", was, t.Name)
			}
		}
	}
}

// holders returns the team that each key admits.
func holders(config rules.Config) map[string]string {
	teams := map[string]string{}
	for _, t := range config.Teams {
		for _, key := range t.Keys {
			if _, taken := teams[key]; !taken {
				teams[key] = t.Name
			}
		}
	}
	return teams
}

// minShareChange is the least change of a team's share that is reported, in
// percentage points: smaller ones do not show in a rounded share.
const minShareChange = 0.1

// weightChanges compares the teams' parts of all weights.
func (r *ruleCheck) weightChanges(old rules.Config) {
	before, after := weightShares(old.Teams), weightShares(r.config.Teams)
	if len(before) == 0 && len(after) == 0 {
		return
	}
	names := byName(r.config.Teams, func(t rules.Team) string { return t.Name })
	for i, t := range r.config.Teams {
		was, is := before[t.Name], after[t.Name]
		if names[t.Name] != i || math.Abs(was-is) < minShareChange {
			continue
		}
		r.change(at(Teams, i, Weight), "team %q: its part of all weights goes from %.1f %% to %.1f %%; it %s %.1f points when all capacity is in use",
			t.Name, was, is, gainsOrLoses(is > was), math.Abs(was-is))
	}
}

// weightShares returns each team's part of all weights in percent. It is empty
// without weights.
func weightShares(teams []rules.Team) map[string]float64 {
	total, shares := 0.0, map[string]float64{}
	for _, t := range teams {
		total += t.Weight
	}
	for _, t := range teams {
		if _, known := shares[t.Name]; !known && t.Weight > 0 {
			shares[t.Name] = 100 * t.Weight / total
		}
	}
	return shares
}

// byName returns the index of the first entry of each name.
func byName[T any](list []T, name func(T) string) map[string]int {
	index := map[string]int{}
	for i, entry := range slices.Backward(list) {
		index[name(entry)] = i
	}
	return index
}

func gainsOrLoses(gains bool) string {
	if gains {
		return "gains"
	}
	return "loses"
}

func distance(a, b int) int {
	return max(a, b) - min(a, b)
}

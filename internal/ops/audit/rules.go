package audit

import (
	"fmt"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/ops/place"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Entry is a list or a section of a rules.Config.
type Entry int

// The entries of a rules.Config. Whole is the document itself.
const (
	Whole Entry = iota
	Queues
	Targets
	Teams
	Limits
)

// Field names a field of an entry.
type Field string

// The fields that findings refer to.
const (
	Version     Field = "version"
	Name        Field = "name"
	HostName    Field = "host"
	Prefix      Field = "prefix"
	Target      Field = "target"
	Priority    Field = "priority"
	MaxAttempts Field = "max-attempts"
	Stretch     Field = "stretch"
	Objective   Field = "objective"
	Timeout     Field = "timeout"
	Public      Field = "public"
	Advised     Field = "advised"
	Keys        Field = "keys"
	Guaranteed  Field = "guaranteed"
	Limit       Field = "limit"
	Weight      Field = "weight"
)

// At identifies a value of a rules.Config. Index is that of a queue, a target or a
// team, and Item that of a key; both are -1 if the whole list is meant.
type At struct {
	Entry Entry
	Index int
	Field Field
	Item  int
}

// at returns the place of an entry's field.
func at(entry Entry, index int, field Field) At {
	return At{Entry: entry, Index: index, Field: field, Item: -1}
}

// Source tells where the values of a rules.Config stand in the file from which it
// was read.
type Source interface {
	Place(at At) place.Place
}

// Context is what is known beside the document. The zero value means that nothing
// is known.
type Context struct {
	// Capacity is the capacity of all workers by target; nil if it is not known.
	Capacity map[string]record.Amount
	// TotalAccelerators is used if Capacity is not known; 0 if it is not known
	// either.
	TotalAccelerators int
	// WidestGang is the need of the widest gang that callers submit.
	WidestGang record.Amount
	// Reclaim is how soon urgent work within its team's guarantee starts.
	Reclaim time.Duration
}

// Rules checks a platform's configuration by itself.
func Rules(config rules.Config, source Source, context Context) []Finding {
	r := &ruleCheck{config: config, source: source, context: context}
	if config.Version <= 0 {
		r.add(Error, "version", at(Whole, -1, Version), "a version above the one in force",
			"version %d is not above 0, so hosts ignore the document", config.Version)
	}
	r.queues()
	r.targets()
	r.teams()
	r.guarantees()
	r.limits()
	return r.findings
}

// ruleCheck collects the findings on one configuration.
type ruleCheck struct {
	config   rules.Config
	source   Source
	context  Context
	findings []Finding
}

func (r *ruleCheck) add(severity Severity, rule string, where At, want, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		Severity: severity, Rule: rule, Place: r.source.Place(where), Problem: fmt.Sprintf(format, args...), Want: want,
	})
}

func (r *ruleCheck) targets() {
	used := map[string]bool{}
	for _, q := range r.config.Queues {
		used[q.Target] = true
	}
	first := map[string]int{}
	for i, t := range r.config.Targets {
		if j, taken := first[t.Name]; taken {
			r.add(Error, "name-taken", at(Targets, i, Name), "a name that no other target has",
				"target %q is also entry %d, which holds", t.Name, j)
			continue
		}
		first[t.Name] = i
		if !used[t.Name] {
			r.add(Warning, "target-unused", at(Targets, i, Name), "a queue that names the target, or no such target",
				"no queue sends work to target %q", t.Name)
		}
	}
	for i, q := range r.config.Queues {
		if _, known := first[q.Target]; !known && q.Target != "" {
			r.add(Warning, "target-unknown", at(Queues, i, Target), "the name of a target in the document",
				"queue %q names target %q, which the document does not have", q.Name, q.Target)
		}
		if _, present := r.context.Capacity[q.Target]; r.context.Capacity != nil && !present && q.Target != "" {
			r.add(Warning, "target-empty", at(Queues, i, Target), "a target with workers",
				"queue %q: no worker serves target %q now, so its jobs wait", q.Name, q.Target)
		}
	}
}

func (r *ruleCheck) limits() {
	l := r.config.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		r.add(Error, "range", at(Limits, -1, ""), "numbers of at least 0", "a limit is negative")
	}
}

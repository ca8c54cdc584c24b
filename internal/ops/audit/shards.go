package audit

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/confg"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/ops/place"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Shards checks the product's document by itself. The tree tells where its values
// stand.
func Shards(document schema.ConfigDocument, tree *place.Tree) []Finding {
	s := &shardCheck{document: document, tree: tree}
	s.shards()
	s.teams()
	return s.findings
}

// Formable checks whether the workers can provide the document's guarantees. It
// presumes a document without errors.
func Formable(document schema.ConfigDocument, tree *place.Tree, workers []sched.Worker) []Finding {
	s := &shardCheck{document: document, tree: tree}
	if !s.withinCapacity(workers) {
		return s.findings
	}
	if err := confg.Check(document, workers); err != nil {
		want := "guarantees that fit the workers"
		if errors.Is(err, confg.ErrUnformable) && !document.AcceptUnformableAfterDomainLoss {
			want += ", or accept-unformable-after-domain-loss: true if only the loss of a failure domain is at fault"
		}
		s.add(Error, "guarantee-above-capacity", want, err.Error(), "teams")
	}
	domains := map[string]bool{}
	for _, w := range workers {
		domains[w.Domain] = true
	}
	for i, shard := range document.Shards {
		for j, d := range shard.Domains {
			if !domains[d] {
				s.add(Warning, "domain-empty", "a failure domain with workers", fmt.Sprintf("shard %q: no worker is in failure domain %q", shard.Name, d), "shards", i, "domains", j)
			}
			delete(domains, d)
		}
	}
	if len(domains) > 0 {
		s.add(Warning, "domain-unused", "each failure domain in a shard",
			fmt.Sprintf("workers of %s are in no shard and get no work", plural(len(domains), "failure domain")), "shards")
	}
	return s.findings
}

// withinCapacity compares the sum of all guarantees with the workers, so that a
// guarantee of absurd size is not tried block by block.
func (s *shardCheck) withinCapacity(workers []sched.Worker) bool {
	capacity, guaranteed := 0.0, 0.0
	for _, w := range workers {
		capacity += float64(w.Accelerators)
	}
	for _, t := range s.document.Teams {
		for _, b := range t.Guarantee {
			guaranteed += float64(b.Count) * float64(b.Tasks) * float64(b.Accelerators)
		}
	}
	if guaranteed > capacity {
		s.add(Error, "guarantee-above-capacity", fmt.Sprintf("guarantees of at most %.0f accelerators together", capacity),
			fmt.Sprintf("the teams are guaranteed %.0f accelerators together, and the workers have %.0f", guaranteed, capacity), "teams")
		return false
	}
	return true
}

// shardCheck collects the findings on one document of the product.
type shardCheck struct {
	document schema.ConfigDocument
	tree     *place.Tree
	findings []Finding
}

func (s *shardCheck) add(severity Severity, rule, want, problem string, steps ...any) {
	s.findings = append(s.findings, Finding{Severity: severity, Rule: rule, Place: s.tree.Find(steps...), Problem: problem, Want: want})
}

func (s *shardCheck) shards() {
	if len(s.document.Shards) == 0 {
		s.add(Error, "shard-missing", "at least one shard", "the document has no shard", "shards")
	}
	names := map[string]bool{}
	domains := map[string]string{}
	for i, shard := range s.document.Shards {
		s.name("shard", shard.Name, names, "shards", i, "name")
		if len(shard.Domains) == 0 {
			s.add(Warning, "shard-empty", "at least one failure domain", fmt.Sprintf("shard %q has no failure domain, so nothing runs in it", shard.Name), "shards", i)
		}
		for j, d := range shard.Domains {
			if other, taken := domains[d]; taken {
				s.add(Error, "domain-taken", "each failure domain once",
					fmt.Sprintf("failure domain %q of shard %q is already in shard %q", d, shard.Name, other), "shards", i, "domains", j)
			}
			domains[d] = shard.Name
		}
	}
}

func (s *shardCheck) teams() {
	shards := map[string]bool{}
	for _, shard := range s.document.Shards {
		shards[shard.Name] = true
	}
	names := map[string]bool{}
	for i, t := range s.document.Teams {
		s.name("team", t.Name, names, "teams", i, "name")
		for j, b := range t.Guarantee {
			if !shards[b.Shard] {
				s.add(Error, "shard-unknown", "the name of a shard in the document",
					fmt.Sprintf("team %q has a guarantee in unknown shard %q", t.Name, b.Shard), "teams", i, "guarantee", j, "shard")
			}
			s.block(t.Name, b, "teams", i, "guarantee", j)
		}
	}
}

// name checks that a shard or team has a name that is not taken, and adds it to those
// that are.
func (s *shardCheck) name(kind, name string, taken map[string]bool, steps ...any) {
	want := fmt.Sprintf("a name that no other %s has", kind)
	switch {
	case name == "":
		s.add(Error, "name-missing", want, fmt.Sprintf("the %s has no name", kind), steps...)
	case taken[name]:
		s.add(Error, "name-taken", want, fmt.Sprintf("%s %q occurs more than once", kind, name), steps...)
	}
	taken[name] = true
}

func (s *shardCheck) block(team string, b schema.GuaranteeBlock, steps ...any) {
	for _, v := range []struct {
		key   string
		value int
	}{{"count", b.Count}, {"tasks", b.Tasks}, {"accelerators", b.Accelerators}} {
		if v.value < 1 {
			s.add(Error, "range", "a number of at least 1", fmt.Sprintf("team %q: a guarantee has a %s of %d", team, v.key, v.value), append(steps, v.key)...)
		}
	}
	if b.Accelerators > block.MaxAccelerators {
		s.add(Error, "range", fmt.Sprintf("at most %d", block.MaxAccelerators),
			fmt.Sprintf("team %q: no worker has %d accelerators for one task", team, b.Accelerators), append(steps, "accelerators")...)
	}
}

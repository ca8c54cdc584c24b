package audit

import (
	"fmt"

	"github.com/rattanshore/rattanshore/internal/ops/place"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// ShardDifferences returns what changes in meaning from the product's document in
// force to the next one, with its effect.
func ShardDifferences(old, next schema.ConfigDocument, tree *place.Tree) []Finding {
	s := &shardCheck{document: next, tree: tree}
	if old.AcceptUnformableAfterDomainLoss != next.AcceptUnformableAfterDomainLoss {
		effect := "guarantees have to be formable with any one failure domain out"
		if next.AcceptUnformableAfterDomainLoss {
			effect = "guarantees may be lost with a failure domain"
		}
		s.change(effect, "accept-unformable-after-domain-loss")
	}
	s.domainChanges(old)
	s.guaranteeChanges(old)
	return s.findings
}

func (s *shardCheck) change(problem string, steps ...any) {
	s.add(Change, "differs", "", problem, steps...)
}

// domainChanges compares the shards that failure domains are in.
func (s *shardCheck) domainChanges(old schema.ConfigDocument) {
	before := map[string]string{}
	for _, shard := range old.Shards {
		for _, d := range shard.Domains {
			before[d] = shard.Name
		}
	}
	for i, shard := range s.document.Shards {
		for j, d := range shard.Domains {
			was, known := before[d]
			delete(before, d)
			switch {
			case !known:
				s.change(fmt.Sprintf("failure domain %q joins shard %q", d, shard.Name), "shards", i, "domains", j)
			case was != shard.Name:
				s.change(fmt.Sprintf("failure domain %q moves from shard %q to %q, with its capacity", d, was, shard.Name), "shards", i, "domains", j)
			}
		}
	}
	for _, shard := range old.Shards {
		for _, d := range shard.Domains {
			if _, left := before[d]; left {
				s.change(fmt.Sprintf("failure domain %q of shard %q is in no shard any more: its workers get no new work", d, shard.Name), "shards")
			}
			delete(before, d)
		}
	}
}

// blockKey identifies the blocks of one form in a shard.
type blockKey struct {
	shard               string
	tasks, accelerators int
	adjacent            bool
}

// guaranteeChanges compares the teams' blocks.
func (s *shardCheck) guaranteeChanges(old schema.ConfigDocument) {
	before := byName(old.Teams, func(t schema.TeamStatus) string { return t.Name })
	after := byName(s.document.Teams, func(t schema.TeamStatus) string { return t.Name })
	for i, t := range old.Teams {
		if _, kept := after[t.Name]; !kept && before[t.Name] == i {
			s.change(fmt.Sprintf("team %q is removed: it loses its guarantee of %s", t.Name, plural(total(t), "accelerator")), "teams")
		}
	}
	for i, t := range s.document.Teams {
		j, known := before[t.Name]
		switch {
		case after[t.Name] != i:
		case !known:
			s.change(fmt.Sprintf("team %q is added with a guarantee of %s", t.Name, plural(total(t), "accelerator")), "teams", i)
		default:
			s.blockChanges(i, old.Teams[j], t)
		}
	}
}

func (s *shardCheck) blockChanges(i int, old, next schema.TeamStatus) {
	before, after := blocks(old), blocks(next)
	var keys []blockKey
	for _, t := range []schema.TeamStatus{next, old} {
		for _, b := range t.Guarantee {
			keys = append(keys, keyOf(b))
		}
	}
	seen := map[blockKey]bool{}
	for _, k := range keys {
		if seen[k] || before[k] == after[k] {
			continue
		}
		seen[k] = true
		lost := distance(before[k], after[k]) * k.tasks * k.accelerators
		s.change(fmt.Sprintf("team %q: its blocks of %dx%d in shard %q%s go from %d to %d; it %s %s", next.Name, k.tasks, k.accelerators, k.shard,
			adjacentText(k.adjacent), before[k], after[k], gainsOrLoses(after[k] > before[k]), plural(lost, "accelerator")), "teams", i, "guarantee")
	}
}

func adjacentText(adjacent bool) string {
	if adjacent {
		return ", each in one rack,"
	}
	return ""
}

func keyOf(b schema.GuaranteeBlock) blockKey {
	return blockKey{b.Shard, b.Tasks, b.Accelerators, b.Adjacent}
}

// blocks returns the number of a team's blocks of each form.
func blocks(t schema.TeamStatus) map[blockKey]int {
	counts := map[blockKey]int{}
	for _, b := range t.Guarantee {
		counts[keyOf(b)] += b.Count
	}
	return counts
}

// total returns the accelerators of a team's guarantee.
func total(t schema.TeamStatus) int {
	sum := 0
	for _, b := range t.Guarantee {
		sum += b.Count * b.Tasks * b.Accelerators
	}
	return sum
}

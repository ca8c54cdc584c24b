package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sets"
)

// reclaimable returns, for each worker, the accelerators that are free or taken
// by running gangs that canReclaim accepts.
func (m *Model[P]) reclaimable(now time.Time, canReclaim func(*gang) bool) []block.Mask {
	avail := slices.Clone(m.avail)
	for g := range m.active.All() {
		if g.phase != running || !canReclaim(g) {
			continue
		}
		for _, mb := range g.members {
			i, ok := m.pool.Index(mb.node.ID)
			if ok && m.schedulable(now, mb.node) {
				avail[i] |= mb.mask &^ mb.node.earmarked
			}
		}
	}
	return avail
}

// victims returns the gangs that must be stopped to free the places, ordered by
// job ID.
func (m *Model[P]) victims(places []block.Place, canReclaim func(*gang) bool) []*gang {
	var found sets.Ordered[*gang]
	for _, p := range places {
		n := m.poolNodes[p.Worker]
		for g := range n.gangs.All() {
			if g.phase != running || !canReclaim(g) {
				continue
			}
			if overlaps(g, n, p.Mask) {
				found.Add(g)
			}
		}
	}
	list := slices.Collect(found.All())
	slices.SortFunc(list, func(a, b *gang) int {
		return cmp.Compare(a.status.Spec.ID, b.status.Spec.ID)
	})
	return list
}

func overlaps(g *gang, n *node, mask block.Mask) bool {
	for _, mb := range g.members {
		if mb.node == n && mb.mask&mask != 0 {
			return true
		}
	}
	return false
}

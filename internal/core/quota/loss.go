package quota

import (
	"slices"

	"github.com/rattanshore/rattanshore/internal/core/block"
)

// ToleratesDomainLoss reports whether all blocks can be reserved on usable
// accelerators, also after the loss of any single failure domain with all that
// runs there. If not, it returns a block that cannot, and the failure domain
// whose loss is the cause, or "" if the block cannot be reserved even without a
// loss. The loss of the only failure domain of a pool is not considered.
func (l *Ledger) ToleratesDomainLoss(usable []block.Mask) (missing UnformableBlock, domain string, ok bool) {
	if unformable := l.Clone().Reserve(usable); len(unformable) > 0 {
		return unformable[0], "", false
	}
	for _, d := range l.lossesToCheck() {
		if _, unformable := l.afterLoss(d, usable); len(unformable) > 0 {
			return unformable[0], d, false
		}
	}
	return UnformableBlock{}, "", true
}

// FailoverReserved returns, for each worker, the accelerators that would be
// reserved after the loss of at least one of the failure domains. Work outside
// them and outside the present reservations leaves every guarantee formable.
func (l *Ledger) FailoverReserved(usable []block.Mask) []block.Mask {
	reserved := make([]block.Mask, len(usable))
	for _, d := range l.lossesToCheck() {
		trial, _ := l.afterLoss(d, usable)
		for i, m := range trial.Reserved() {
			reserved[i] |= m
		}
	}
	return reserved
}

// lossesToCheck returns the failure domains whose loss is considered.
func (l *Ledger) lossesToCheck() []string {
	if domains := l.pool.Domains(); len(domains) > 1 {
		return domains
	}
	return nil
}

// afterLoss returns the ledger as it would be after the loss of a failure
// domain, and the blocks that could not be formed then.
func (l *Ledger) afterLoss(domain string, usable []block.Mask) (*Ledger, []UnformableBlock) {
	remaining := slices.Clone(usable)
	for i, w := range l.pool.Workers {
		if w.Domain == domain {
			remaining[i] = 0
		}
	}
	trial := l.Clone()
	trial.dropAllocationsIn(domain)
	return trial, trial.Reserve(remaining)
}

// dropAllocationsIn releases all allocations in a lost failure domain, and all
// allocations of adjacent blocks of which a part is there.
func (l *Ledger) dropAllocationsIn(domain string) {
	for _, b := range l.blocks {
		lost := slices.ContainsFunc(b.slots, func(s *slot) bool {
			return s.workerIndex >= 0 && l.pool.Workers[s.workerIndex].Domain == domain
		})
		if !lost {
			continue
		}
		for _, s := range b.slots {
			if b.shape.Adjacent || s.workerIndex >= 0 && l.pool.Workers[s.workerIndex].Domain == domain {
				s.used = 0
			}
		}
	}
}

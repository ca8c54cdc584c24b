package plan

import (
	"cmp"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// candidate is a worker that can take some tasks of a gang.
type candidate struct {
	worker *worker
	slots  int
	free   record.Amount
}

// candidateOrder returns the order in which candidates are used for a gang:
// fast workers first for urgent gangs, slow ones first for all others, and
// within a class of speed the tightest fit. Urgent gangs use workers that may soon
// crash only if there are no others.
func candidateOrder(g *gang) func(a, b candidate) int {
	if g.job.queue.Priority == 0 {
		return func(a, b candidate) int {
			return cmp.Or(
				compareFailure(g, a.worker, b.worker),
				compareRefusal(a.worker, b.worker),
				compareRisk(g, a.worker, b.worker),
				falseFirst(a.worker.runsWithCrashes > 0, b.worker.runsWithCrashes > 0),
				cmp.Compare(b.worker.speed.class(), a.worker.speed.class()),
				compareTightness(a, b),
			)
		}
	}
	return func(a, b candidate) int {
		return cmp.Or(compareFailure(g, a.worker, b.worker), compareRefusal(a.worker, b.worker), compareRisk(g, a.worker, b.worker),
			cmp.Compare(a.worker.speed.class(), b.worker.speed.class()), compareTightness(a, b))
	}
}

// compareFailure puts workers on which the gang has failed last, the newest failure at the
// end.
func compareFailure(g *gang, a, b *worker) int {
	if len(g.failedOn) == 0 {
		return 0
	}
	return g.failedOn[a.ID].Compare(g.failedOn[b.ID])
}

// compareRefusal puts workers last whose newest start has failed.
func compareRefusal(a, b *worker) int {
	return falseFirst(a.starts.failures > 0, b.starts.failures > 0)
}

// compareTightness puts the candidates with the least spare capacity first.
func compareTightness(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.slots, b.slots),
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(a.free.MilliCores, b.free.MilliCores),
	)
}

package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// fragmentsInterval is the least time between two reports on fragmentation.
const fragmentsInterval = time.Second

// Fragments is how the free accelerators of a target's usable workers fit the tasks that
// wait for the target.
type Fragments struct {
	Free int
	// Unusable is the part of Free that is on workers on which no waiting task fits.
	Unusable int
	// LargestFree is the largest number of accelerators free on one worker.
	LargestFree int
}

// TargetFragments is the fragmentation of a target.
type TargetFragments struct {
	Target string
	Fragments
}

// FragmentsCmd reports the fragmentation of the targets for which tasks with accelerators
// wait, for the log and the metrics. It is empty once none waits any more.
type FragmentsCmd struct {
	Targets []TargetFragments
}

func (FragmentsCmd) isCmd() {}

// measureFragments compares what is free on each worker with the needs of waiting tasks.
// Needs without accelerators are left out: they use none where they fit.
func measureFragments(free, needs []record.Amount) Fragments {
	shapes := smallestShapes(needs)
	var f Fragments
	for _, left := range free {
		if left.Accelerators <= 0 {
			continue
		}
		f.Free += left.Accelerators
		f.LargestFree = max(f.LargestFree, left.Accelerators)
		if !fitsAny(shapes, left) {
			f.Unusable += left.Accelerators
		}
	}
	return f
}

// smallestShapes returns the needs with accelerators in which no other one fits. Where a
// need fits, one of these does. Equal needs, of which there are many, count once.
func smallestShapes(needs []record.Amount) []record.Amount {
	var shapes []record.Amount
	for _, n := range needs {
		if n.Accelerators <= 0 || fitsAny(shapes, n) {
			continue
		}
		shapes = slices.DeleteFunc(shapes, func(s record.Amount) bool { return amount.Fits(n, s) })
		shapes = append(shapes, n)
	}
	return shapes
}

// fitsAny reports whether one of the shapes fits.
func fitsAny(shapes []record.Amount, free record.Amount) bool {
	return slices.ContainsFunc(shapes, func(s record.Amount) bool { return amount.Fits(s, free) })
}

// reportFragments reports the fragmentation that a placement pass has left. Gangs held
// back for another reason than places, such as a limit, count as waiting too.
func (m *Model) reportFragments(now time.Time) {
	if len(m.queue) == 0 || now.Before(m.nextFragments) {
		return
	}
	m.nextFragments = now.Add(fragmentsInterval)
	needs := map[string][]record.Amount{}
	for _, g := range m.queue {
		if need := g.spec().Need; need.Accelerators > 0 {
			needs[g.job.queue.Target] = append(needs[g.job.queue.Target], need)
		}
	}
	var cmd FragmentsCmd
	for _, target := range slices.Sorted(maps.Keys(needs)) {
		var free []record.Amount
		for _, w := range m.view.usable[target] {
			free = append(free, w.free)
		}
		cmd.Targets = append(cmd.Targets, TargetFragments{target, measureFragments(free, needs[target])})
	}
	m.emitFragments(cmd)
}

// endFragments takes back the last report once nothing waits.
func (m *Model) endFragments() {
	if len(m.queue) == 0 {
		m.emitFragments(FragmentsCmd{})
	}
}

// emitFragments emits a report, unless neither it nor the last one names a target.
func (m *Model) emitFragments(cmd FragmentsCmd) {
	if len(cmd.Targets) == 0 && !m.fragmented {
		return
	}
	m.fragmented = len(cmd.Targets) > 0
	m.emit(cmd)
}

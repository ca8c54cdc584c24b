package block

import (
	"cmp"
	"slices"
)

// Policy chooses the places of a gang.
type Policy interface {
	// Place returns one place for each task of the shape, or nil if the shape
	// does not fit. avail holds the available accelerators of each worker of the
	// pool.
	Place(pool *Pool, avail []Mask, shape Shape) []Place
}

// BestFit places a gang in one rack if possible, else in one failure domain, else
// anywhere. Of several racks or domains it chooses the one with the fewest
// accelerators left over. It fills workers with smaller free blocks first, to
// avoid splitting large ones.
type BestFit struct{}

// Place implements Policy.
func (BestFit) Place(pool *Pool, avail []Mask, shape Shape) []Place {
	for _, level := range pool.rangesByLevel(shape) {
		best, bestLeftover := workerRange{}, -1
		for _, g := range level {
			free := capacity(avail[g.first:g.end], shape)
			if free < shape.Tasks {
				continue
			}
			leftover := countFree(avail[g.first:g.end]) - shape.Total()
			if bestLeftover < 0 || leftover < bestLeftover {
				best, bestLeftover = g, leftover
			}
		}
		if bestLeftover >= 0 {
			return fill(avail, best, shape, smallestBlockFirst)
		}
	}
	return nil
}

// FirstFit fills workers in the order of the pool. It is a baseline for
// benchmarks.
type FirstFit struct{}

// Place implements Policy.
func (FirstFit) Place(pool *Pool, avail []Mask, shape Shape) []Place {
	return placeInFirstRange(pool, avail, shape, nil)
}

// WorstFit fills workers with the most free accelerators first, which spreads
// tasks. It is a baseline for benchmarks.
type WorstFit struct{}

// Place implements Policy.
func (WorstFit) Place(pool *Pool, avail []Mask, shape Shape) []Place {
	return placeInFirstRange(pool, avail, shape, mostFreeFirst)
}

// placeInFirstRange places the gang in the first range of the widest level that
// holds it.
func placeInFirstRange(pool *Pool, avail []Mask, shape Shape, order func(a, b Mask) int) []Place {
	levels := pool.rangesByLevel(shape)
	for _, g := range levels[len(levels)-1] {
		if capacity(avail[g.first:g.end], shape) >= shape.Tasks {
			return fill(avail, g, shape, order)
		}
	}
	return nil
}

// capacity returns how many tasks of the shape fit. It stops counting when the
// whole gang fits.
func capacity(avail []Mask, shape Shape) int {
	total := 0
	for _, m := range avail {
		if m == 0 {
			continue
		}
		total += m.Capacity(shape.Accelerators)
		if total >= shape.Tasks {
			return total
		}
	}
	return total
}

func countFree(avail []Mask) int {
	total := 0
	for _, m := range avail {
		total += m.Count()
	}
	return total
}

func smallestBlockFirst(a, b Mask) int {
	return cmp.Or(cmp.Compare(a.LargestBlock(), b.LargestBlock()), cmp.Compare(a.Count(), b.Count()))
}

func mostFreeFirst(a, b Mask) int {
	return cmp.Compare(b.Count(), a.Count())
}

// fill places the gang on the workers of the range, in the given order, or in the
// order of the pool if order is nil.
func fill(avail []Mask, g workerRange, shape Shape, order func(a, b Mask) int) []Place {
	candidates := make([]int, 0, g.end-g.first)
	for i := g.first; i < g.end; i++ {
		if avail[i].Count() >= shape.Accelerators {
			candidates = append(candidates, i)
		}
	}
	if order != nil {
		slices.SortStableFunc(candidates, func(a, b int) int { return order(avail[a], avail[b]) })
	}
	places := make([]Place, 0, shape.Tasks)
	for _, i := range candidates {
		free := avail[i]
		for len(places) < shape.Tasks {
			taken, ok := free.Fit(shape.Accelerators)
			if !ok {
				break
			}
			free &^= taken
			places = append(places, Place{Worker: i, Mask: taken})
		}
	}
	if len(places) < shape.Tasks {
		return nil
	}
	return places
}

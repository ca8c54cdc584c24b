// Package block models the accelerators of workers as aligned blocks and places
// gangs on them. It does no I/O and reads no clock.
package block

import (
	"cmp"
	"slices"
)

// Shape is the size of a gang: a number of tasks with the same number of
// accelerators each. With Adjacent set, all tasks must be placed in one rack.
type Shape struct {
	Tasks        int
	Accelerators int
	Adjacent     bool
}

// Total returns the number of accelerators of the whole gang.
func (s Shape) Total() int {
	return s.Tasks * s.Accelerators
}

// Worker is one worker of a pool. Total holds all of its accelerators.
type Worker struct {
	ID     string
	Domain string
	Rack   string
	Total  Mask
}

// Place is the accelerators of a worker that one task takes. Worker is the
// worker's index in the pool.
type Place struct {
	Worker int
	Mask   Mask
}

// Pool is a fixed list of workers, ordered by failure domain, rack and ID.
type Pool struct {
	Workers []Worker
	racks   []workerRange
	domains []workerRange
	index   map[string]int
}

// workerRange is a range of indexes into the workers of a pool; end is exclusive.
type workerRange struct {
	first, end int
}

// NewPool returns a pool of the given workers. The slice is sorted in place.
func NewPool(workers []Worker) *Pool {
	slices.SortFunc(workers, func(a, b Worker) int {
		return cmp.Or(
			cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.ID, b.ID),
		)
	})
	p := &Pool{Workers: workers, index: make(map[string]int, len(workers))}
	for i, w := range workers {
		p.index[w.ID] = i
		newDomain := i == 0 || workers[i-1].Domain != w.Domain
		newRack := newDomain || workers[i-1].Rack != w.Rack
		p.domains = extendRanges(p.domains, i, newDomain)
		p.racks = extendRanges(p.racks, i, newRack)
	}
	return p
}

func extendRanges(ranges []workerRange, i int, startNew bool) []workerRange {
	if startNew {
		return append(ranges, workerRange{first: i, end: i + 1})
	}
	ranges[len(ranges)-1].end = i + 1
	return ranges
}

// Index returns the index of the worker with the given ID.
func (p *Pool) Index(id string) (int, bool) {
	i, ok := p.index[id]
	return i, ok
}

// Totals returns the masks of all accelerators of each worker.
func (p *Pool) Totals() []Mask {
	masks := make([]Mask, len(p.Workers))
	for i, w := range p.Workers {
		masks[i] = w.Total
	}
	return masks
}

// rangesByLevel returns the ranges of workers in which a gang of the shape may be
// placed, by level: the racks and then, unless the gang is adjacent, the failure
// domains and the whole pool.
func (p *Pool) rangesByLevel(s Shape) [][]workerRange {
	if s.Adjacent {
		return [][]workerRange{p.racks}
	}
	all := []workerRange{{first: 0, end: len(p.Workers)}}
	return [][]workerRange{p.racks, p.domains, all}
}

// Domains returns the names of the pool's failure domains, in order.
func (p *Pool) Domains() []string {
	names := make([]string, len(p.domains))
	for i, d := range p.domains {
		names[i] = p.Workers[d.first].Domain
	}
	return names
}

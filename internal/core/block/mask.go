package block

import "math/bits"

// Mask is a set of accelerators of one worker. Bit 0 is the first accelerator.
type Mask uint64

// MaxAccelerators is the maximum number of accelerators of a worker.
const MaxAccelerators = 64

// Full returns the mask of the first n accelerators.
func Full(n int) Mask {
	if n <= 0 {
		return 0
	}
	if n >= MaxAccelerators {
		return ^Mask(0)
	}
	return Mask(1)<<n - 1
}

// Count returns the number of accelerators in the mask.
func (m Mask) Count() int {
	return bits.OnesCount64(uint64(m))
}

// Fit returns n adjacent accelerators of m, starting at a multiple of Align(n).
// Among the possible positions it chooses the one in the smallest free aligned
// block, to avoid splitting larger blocks. It reports false if there is none.
func (m Mask) Fit(n int) (Mask, bool) {
	if n <= 0 || m.Count() < n {
		return 0, false
	}
	size := Align(n)
	best, bestSize := Mask(0), MaxAccelerators*2
	for offset := 0; offset+n <= MaxAccelerators; offset += size {
		candidate := Full(n) << offset
		if m&candidate != candidate {
			continue
		}
		enclosing := m.enclosingBlock(offset, size)
		if enclosing < bestSize {
			best, bestSize = candidate, enclosing
		}
	}
	return best, best != 0
}

// LargestBlock returns the size of the largest aligned block in m, which is a
// power of two, or 0 if m is empty.
func (m Mask) LargestBlock() int {
	for size := MaxAccelerators; size > 0; size /= 2 {
		if m.hasBlock(size) {
			return size
		}
	}
	return 0
}

// Capacity returns the number of disjoint aligned blocks of n accelerators in m.
func (m Mask) Capacity(n int) int {
	total := 0
	for {
		taken, ok := m.Fit(n)
		if !ok {
			return total
		}
		m &^= taken
		total++
	}
}

func (m Mask) hasBlock(size int) bool {
	block := Full(size)
	for offset := 0; offset < MaxAccelerators; offset += size {
		if m>>offset&block == block {
			return true
		}
	}
	return false
}

// enclosingBlock returns the size of the largest aligned block in m that contains
// the block of the given size at offset.
func (m Mask) enclosingBlock(offset, size int) int {
	for size < MaxAccelerators {
		next := size * 2
		start := offset / next * next
		block := Full(next) << start
		if m&block != block {
			return size
		}
		size = next
	}
	return size
}

// Align returns the alignment of a block of n accelerators, which is n rounded up
// to a power of two.
func Align(n int) int {
	return 1 << bits.Len(uint(n-1))
}

// Package amount calculates with amounts of processor, memory and accelerators.
package amount

import "github.com/rattanshore/rattanshore/internal/wire/record"

// coresPerAccelerator is the number of cores that an accelerator counts as.
const coresPerAccelerator = 8

// Add returns the sum of two amounts.
func Add(a, b record.Amount) record.Amount {
	return record.Amount{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// Sub returns a without b. The result may be negative.
func Sub(a, b record.Amount) record.Amount {
	return record.Amount{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryMB:     a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// Times returns n times the amount.
func Times(a record.Amount, n int) record.Amount {
	return record.Amount{
		MilliCores:   n * a.MilliCores,
		MemoryMB:     n * a.MemoryMB,
		Accelerators: n * a.Accelerators,
	}
}

// Min returns the smaller amount of each resource.
func Min(a, b record.Amount) record.Amount {
	return record.Amount{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// Fits reports whether need is at most free in every resource.
func Fits(need, free record.Amount) bool {
	return need.MilliCores <= free.MilliCores &&
		need.MemoryMB <= free.MemoryMB &&
		need.Accelerators <= free.Accelerators
}

// Negative reports whether an amount is below 0 in some resource, as the rest of a capacity
// is that has been exceeded.
func Negative(left record.Amount) bool {
	return !Fits(record.Amount{}, left)
}

// Count returns how often need fits into free.
func Count(need, free record.Amount) int {
	n := 1 << 30
	if need.MilliCores > 0 {
		n = min(n, free.MilliCores/need.MilliCores)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	return max(n, 0)
}

// ShareFor returns the share of a capacity that is in use, of the resource that decides for
// work of the given need: accelerators if it needs any, else cores, else memory. The share
// of a capacity without that resource is 0.
func ShareFor(need, used, capacity record.Amount) float64 {
	switch {
	case need.Accelerators > 0:
		return Ratio(used.Accelerators, capacity.Accelerators)
	case need.MilliCores > 0:
		return Ratio(used.MilliCores, capacity.MilliCores)
	default:
		return Ratio(used.MemoryMB, capacity.MemoryMB)
	}
}

// Ratio returns the share that a part has of a whole, 0 if there is nothing to share.
func Ratio(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// CoreEquivalents returns an amount as a number of cores, with accelerators converted.
func CoreEquivalents(a record.Amount) float64 {
	return float64(a.MilliCores)/1000 + coresPerAccelerator*float64(a.Accelerators)
}

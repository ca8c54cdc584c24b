package plan

import "github.com/rattanshore/rattanshore/internal/wire/record"

// coresPerAccelerator is the number of cores that an accelerator counts as.
const coresPerAccelerator = 8

func add(a, b record.Amount) record.Amount {
	return record.Amount{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryMB:     a.MemoryMB + b.MemoryMB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func sub(a, b record.Amount) record.Amount {
	return record.Amount{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryMB:     a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// least returns the smaller amount of each resource.
func least(a, b record.Amount) record.Amount {
	return record.Amount{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// fits reports whether need is at most free in every resource.
func fits(need, free record.Amount) bool {
	return need.MilliCores <= free.MilliCores &&
		need.MemoryMB <= free.MemoryMB &&
		need.Accelerators <= free.Accelerators
}

// exceeded reports whether what is left of a capacity is negative in a resource.
func exceeded(left record.Amount) bool {
	return !fits(record.Amount{}, left)
}

// fitCount returns how often need fits into free.
func fitCount(need, free record.Amount) int {
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

// coreEquivalents returns an amount as a number of cores, with accelerators
// converted.
func coreEquivalents(a record.Amount) float64 {
	return float64(a.MilliCores)/1000 + coresPerAccelerator*float64(a.Accelerators)
}

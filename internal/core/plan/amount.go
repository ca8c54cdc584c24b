package plan

import "github.com/rattanshore/rattanshore/internal/wire/record"

// acceleratorCores is how many cores an accelerator weighs.
const acceleratorCores = 8

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

// fits reports whether need is at most free in every part.
func fits(need, free record.Amount) bool {
	return need.MilliCores <= free.MilliCores &&
		need.MemoryMB <= free.MemoryMB &&
		need.Accelerators <= free.Accelerators
}

// times returns how often need fits into free.
func times(need, free record.Amount) int {
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

// cores weighs an amount in cores.
func cores(a record.Amount) float64 {
	return float64(a.MilliCores)/1000 + acceleratorCores*float64(a.Accelerators)
}

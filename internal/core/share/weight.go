package share

import (
	"maps"
	"slices"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Dominant returns the largest of the shares that an amount has of the capacity's
// resources.
func Dominant(held, capacity record.Amount) float64 {
	return max(
		amount.Ratio(held.MilliCores, capacity.MilliCores),
		amount.Ratio(held.MemoryMB, capacity.MemoryMB),
		amount.Ratio(held.Accelerators, capacity.Accelerators),
	)
}

// Shares holds what each active team may hold of a capacity before its work comes
// after that of others.
type Shares struct {
	capacity record.Amount
	// fair is each team's part of the weights of all active teams.
	fair map[string]float64
}

// NewShares divides the capacity among the active teams by their weights. Teams
// without a weight are not judged and give their part to the others.
func NewShares(capacity record.Amount, weights map[string]float64, active map[string]bool) Shares {
	total := 0.0
	// The rounding of the sum depends on its order.
	for _, team := range slices.Sorted(maps.Keys(active)) {
		total += weights[team]
	}
	s := Shares{capacity: capacity, fair: map[string]float64{}}
	for team := range active {
		if weight := weights[team]; weight > 0 {
			s.fair[team] = weight / total
		}
	}
	return s
}

// Above reports whether a team that holds the given amount is above its share. Only
// what it holds now counts, so that idle time earns no credit.
func (s Shares) Above(team string, held record.Amount) bool {
	fair, judged := s.fair[team]
	return judged && Dominant(held, s.capacity) > fair
}

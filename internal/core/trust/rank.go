package trust

import (
	"cmp"
	"slices"
)

// Suspect is a worker that is to be avoided or tried, with its size.
type Suspect struct {
	Worker    string
	Suspicion float64
	Size      float64
}

// Limit returns the workers that may be kept from work so that their size is at most
// the given one. Those with the most evidence come first; one that is too large is
// passed over.
func Limit(suspects []Suspect, size float64) map[string]bool {
	ranked := slices.Clone(suspects)
	slices.SortFunc(ranked, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Suspicion, a.Suspicion), cmp.Compare(a.Worker, b.Worker))
	})
	kept := map[string]bool{}
	for _, s := range ranked {
		if s.Size <= size {
			kept[s.Worker] = true
			size -= s.Size
		}
	}
	return kept
}

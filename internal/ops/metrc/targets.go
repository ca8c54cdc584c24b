package metrc

import (
	"fmt"
	"io"
	"sync"
)

// maxTargets bounds the number of targets that have metrics of their own. The others are
// summed up under the name otherTargets.
const (
	maxTargets   = 64
	otherTargets = "other"
)

// Target holds the fragmentation of one target, in accelerators.
type Target struct {
	Name string
	Free int
	// Unusable is the part of Free on workers on which no waiting task fits.
	Unusable int
	// LargestFree is the largest number free on one worker.
	LargestFree int
}

// Targets holds the fragmentation of targets for which tasks with accelerators wait. Only
// the leader has any.
type Targets struct {
	mu      sync.Mutex
	targets []Target
}

// Set replaces the metrics of all targets.
func (t *Targets) Set(targets []Target) {
	if len(targets) > maxTargets {
		rest := Target{Name: otherTargets}
		for _, x := range targets[maxTargets:] {
			rest.Free += x.Free
			rest.Unusable += x.Unusable
			rest.LargestFree = max(rest.LargestFree, x.LargestFree)
		}
		targets = append(targets[:maxTargets:maxTargets], rest)
	}
	t.mu.Lock()
	t.targets = targets
	t.mu.Unlock()
}

// write writes the metrics in the Prometheus text format.
func (t *Targets) write(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.targets {
		_, _ = fmt.Fprintf(w, "rattanshore_free_accelerators{target=%q} %d\n", x.Name, x.Free)
		_, _ = fmt.Fprintf(w, "rattanshore_unusable_accelerators{target=%q} %d\n", x.Name, x.Unusable)
		_, _ = fmt.Fprintf(w, "rattanshore_largest_free_accelerators{target=%q} %d\n", x.Name, x.LargestFree)
	}
}

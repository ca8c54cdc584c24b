package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// maxLoggedTargets bounds the targets that a line on fragmentation names.
const maxLoggedTargets = 8

// logFragments logs the fragmentation if free accelerators are of no use to what waits.
func logFragments(log *zerolog.Logger, epoch int64, cmd plan.FragmentsCmd) {
	free, unusable, largest := 0, 0, 0
	var fragmented []plan.TargetFragments
	for _, t := range cmd.Targets {
		free += t.Free
		unusable += t.Unusable
		largest = max(largest, t.LargestFree)
		if t.Unusable > 0 {
			fragmented = append(fragmented, t)
		}
	}
	if unusable == 0 {
		return
	}
	slices.SortStableFunc(fragmented, func(a, b plan.TargetFragments) int { return cmp.Compare(b.Unusable, a.Unusable) })
	var details []string
	for _, t := range fragmented[:min(len(fragmented), maxLoggedTargets)] {
		details = append(details, fmt.Sprintf("%s: %d of %d unusable, at most %d on a worker", t.Target, t.Unusable, t.Free, t.LargestFree))
	}
	logev.Fragmentation.Log(log).Int64("epoch", epoch).Int("free-accelerators", free).
		Int("unusable-accelerators", unusable).Int("largest-free-accelerators", largest).
		Str("detail", strings.Join(details, "; ")).Send()
}

// countFragments puts the fragmentation into the metrics.
func countFragments(meter *metrc.Fleet, cmd plan.FragmentsCmd) {
	targets := make([]metrc.Target, 0, len(cmd.Targets))
	for _, t := range cmd.Targets {
		targets = append(targets, metrc.Target{Name: t.Target, Free: t.Free, Unusable: t.Unusable, LargestFree: t.LargestFree})
	}
	meter.Targets.Set(targets)
}

// Package ablate names the planner's mechanisms that can be left out, to measure what each
// is worth under a given load. Mechanisms that keep a promise, such as fences, limits and
// guarantees, are not among them. The planner asks a Set; the settings make one.
package ablate

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrUnknown means that no mechanism has the name.
var ErrUnknown = errors.New("no such mechanism")

// Set is a set of mechanisms. The zero value is empty.
type Set uint16

// The mechanisms.
const (
	// Ageing moves gangs forward that have waited long.
	Ageing Set = 1 << iota
	// Claims keep places for wide and overdue gangs.
	Claims
	// Yielding leaves free capacity to gangs of a higher priority that wait for more.
	Yielding
	// Headroom keeps idle workers for the urgent work that is expected to arrive.
	Headroom
	// Preemption stops work of a lower priority where no guarantee asks for it.
	Preemption
	// Quarantine gives no work to workers on which tasks keep failing.
	Quarantine
	// QuickFailures quarantines a worker at once on which a task has failed at once.
	QuickFailures
	// Stalls ends attempts that make no progress.
	Stalls
	// SlowWorkers avoids workers of a low pace and moves gangs away from them.
	SlowWorkers
	// SpeedClasses prefers fast workers for urgent gangs and slow ones for others.
	SpeedClasses
	// MeanRunTimes corrects estimates by the means of finished runs.
	MeanRunTimes
)

var names = map[string]Set{
	"ageing":         Ageing,
	"claims":         Claims,
	"yielding":       Yielding,
	"headroom":       Headroom,
	"preemption":     Preemption,
	"quarantine":     Quarantine,
	"quick-failures": QuickFailures,
	"stalls":         Stalls,
	"slow-workers":   SlowWorkers,
	"speed-classes":  SpeedClasses,
	"mean-run-times": MeanRunTimes,
}

// Has reports whether the set holds the mechanism.
func (s Set) Has(mechanism Set) bool {
	return s&mechanism != 0
}

// Parse returns the set of the mechanisms whose names the text lists, separated by commas.
// It returns ErrUnknown for any other name.
func Parse(text string) (Set, error) {
	var s Set
	if text == "" {
		return s, nil
	}
	for name := range strings.SplitSeq(text, ",") {
		mechanism, known := names[strings.TrimSpace(name)]
		if !known {
			return 0, errors.Wrapf(ErrUnknown, "%q; known are %s", name, strings.Join(Names(), ", "))
		}
		s |= mechanism
	}
	return s, nil
}

// UnmarshalText implements encoding.TextUnmarshaler by Parse.
func (s *Set) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	*s = parsed
	return err
}

// MarshalText implements encoding.TextMarshaler. Parse reads the text.
func (s Set) MarshalText() ([]byte, error) {
	var list []string
	for _, name := range Names() {
		if s.Has(names[name]) {
			list = append(list, name)
		}
	}
	return []byte(strings.Join(list, ",")), nil
}

// Names returns the names of all mechanisms in alphabetical order.
func Names() []string {
	return slices.Sorted(maps.Keys(names))
}

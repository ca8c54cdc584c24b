// Package learn forecasts how long tasks run from how long earlier ones ran. It
// answers loads in which estimates are far off for some teams and good for others, in
// which a few tasks take many times as long as the rest, and in which lengths change
// over the day. The planner calls it: with the end of each run, and for each decision
// that depends on how long a task will take.
//
// A run that ended is an exact observation. One that was cut short tells that the task
// takes at least that long. Observations are kept by team, queue and shape, by queue
// and shape, and by queue; a group with few observations leans on the next wider one.
// Each group keeps plain lengths and ratios of length to estimate, and prefers those
// by which it would have forecast better so far.
package learn

import (
	"math"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Key names a group of similar tasks. The zero Shape stands for all shapes of the
// queue, and the empty team for all teams.
type Key struct {
	Team  string
	Queue string
	Shape Shape
}

// Shape is what distinguishes the steps of a queue.
type Shape struct {
	Tasks int
	Need  record.Amount
	// Image is a hash of what the tasks run.
	Image uint64
}

// Observation is the run time of one task.
type Observation struct {
	Key Key
	// Taken is the run time on a worker of normal speed near the task's data.
	Taken time.Duration
	// Estimate is the submitter's estimate, or 0 if there is none.
	Estimate time.Duration
	// CutShort is set if the task was stopped or lost and takes longer than Taken.
	CutShort bool
	// Weight is how much the observation counts: 1, or less for one of many that are
	// not independent.
	Weight float64
}

// Revision tells that the forecast of a group has changed by more than half.
type Revision struct {
	Key      Key
	Old, New time.Duration
}

const (
	// maxGroups limits the groups that are kept. Those that were least recently used
	// are evicted. A group takes a few KB.
	maxGroups = 256
	// minTaken and maxTaken limit the run times that are told apart.
	minTaken = time.Millisecond
	maxTaken = 60 * 24 * time.Hour
	// revisionFactor is the factor by which a forecast changes to count as revised,
	// and revisionWeight the least weight of the observations behind it. Forecasts
	// by less change with each run.
	revisionFactor = 1.5
	revisionWeight = 8
)

// Model is what has been learned. It is not safe for concurrent use.
type Model struct {
	groups map[Key]*group
	// uses counts the uses of groups, for eviction.
	uses uint64
	// scratch is used while a curve is computed.
	scratch []mass
}

// New returns a model without observations.
func New() *Model {
	return &Model{groups: map[Key]*group{}}
}

// Observe adds an observation. It reports whether the forecast of the observation's
// narrowest group was revised.
func (m *Model) Observe(o Observation) (Revision, bool) {
	if o.Taken <= 0 || !(o.Weight > 0) {
		return Revision{}, false
	}
	taken := clamp(o.Taken).Seconds()
	narrowest := m.group(o.Key)
	for g := narrowest; g != nil; g = g.parent {
		if !o.CutShort {
			m.score(g, taken, o)
		}
		g.lengths.add(taken, o.Weight, o.CutShort)
		if o.Estimate > 0 {
			g.ratios.add(taken/clamp(o.Estimate).Seconds(), o.Weight, o.CutShort)
		}
	}
	return m.revision(narrowest)
}

// score measures how far the group's forecasts would have been off.
func (m *Model) score(g *group, taken float64, o Observation) {
	if c := m.lengthCurve(g); c != nil {
		g.lengthError.add(math.Abs(math.Log(taken)-c.median()), o.Weight)
	}
	if o.Estimate > 0 {
		forecast := m.ratioCurve(g).median() + math.Log(clamp(o.Estimate).Seconds())
		g.ratioError.add(math.Abs(math.Log(taken)-forecast), o.Weight)
	}
}

// revision compares the group's forecast with the last one that was reported. It
// compares ratios to the estimate if the group prefers those, else lengths.
func (m *Model) revision(g *group) (Revision, bool) {
	if g.lengths.weight() < revisionWeight {
		return Revision{}, false
	}
	c := m.lengthCurve(g)
	if c == nil {
		return Revision{}, false
	}
	now := c.median()
	if !g.reported {
		g.reported, g.reportedMedian = true, now
		return Revision{}, false
	}
	if math.Abs(now-g.reportedMedian) <= math.Log(revisionFactor) {
		return Revision{}, false
	}
	r := Revision{Key: g.key, Old: duration(g.reportedMedian), New: duration(now)}
	g.reportedMedian = now
	return r, true
}

// Forecast returns the distribution of the run time of a task with the estimate, which
// is 0 if there is none. It is valid until the next observation.
func (m *Model) Forecast(key Key, estimate time.Duration) Forecast {
	f := Forecast{}
	if estimate > 0 {
		f.ratios = &unlearned
		f.ratioShare = 1
		f.logEstimate = math.Log(clamp(estimate).Seconds())
	}
	g := m.find(key)
	if g == nil {
		return f
	}
	f.observations = g.lengths.weight()
	f.lengths = m.lengthCurve(g)
	switch {
	case estimate <= 0:
		f.ratioShare = 0
	case f.lengths == nil:
		f.ratios = m.ratioCurve(g)
	default:
		f.ratios = m.ratioCurve(g)
		f.ratioShare = g.ratioShare()
	}
	return f
}

// Groups returns the number of groups that are kept.
func (m *Model) Groups() int {
	return len(m.groups)
}

// wider returns the key of the next wider group.
func (k Key) wider() (Key, bool) {
	switch {
	case k.Team != "":
		return Key{Queue: k.Queue, Shape: k.Shape}, true
	case k.Shape != Shape{}:
		return Key{Queue: k.Queue}, true
	default:
		return Key{}, false
	}
}

// find returns the narrowest group for the key, or nil if there is none.
func (m *Model) find(key Key) *group {
	for {
		if g := m.groups[key]; g != nil {
			m.touch(g)
			return g
		}
		wider, ok := key.wider()
		if !ok {
			return nil
		}
		key = wider
	}
}

// group returns the group of the key, and creates it and the wider ones if needed.
func (m *Model) group(key Key) *group {
	g := m.groups[key]
	if g == nil {
		g = newGroup(key)
		if wider, ok := key.wider(); ok {
			g.parent = m.group(wider)
		}
		m.evict()
		m.groups[key] = g
	}
	m.touch(g)
	return g
}

// touch marks a group as used, and then those around it, so that no group is evicted
// before those that lean on it.
func (m *Model) touch(g *group) {
	for ; g != nil; g = g.parent {
		m.uses++
		g.usedAt = m.uses
	}
}

// evict makes room for one more group.
func (m *Model) evict() {
	if len(m.groups) < maxGroups {
		return
	}
	var oldest *group
	for _, g := range m.groups {
		if oldest == nil || g.usedAt < oldest.usedAt {
			oldest = g
		}
	}
	delete(m.groups, oldest.key)
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, minTaken), maxTaken)
}

// duration returns the duration of which log is the logarithm of the seconds.
func duration(log float64) time.Duration {
	return time.Duration(min(math.Exp(log), maxTaken.Seconds()) * float64(time.Second))
}

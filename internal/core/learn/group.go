package learn

import (
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// accuracy is the relative accuracy of the values in a sketch. Forecasts are
	// much less accurate than this.
	accuracy = 0.03
	// halfLife is the weight of newer observations after which one counts half: few
	// enough to follow a change within some fifty runs, enough to know the length
	// that one run in twenty exceeds.
	halfLife = 32
	// maxUnit is the unit at which the weights in a sketch are scaled down.
	maxUnit = 1 << 20
	// wideWeight is the weight of the wider group's distribution in that of a narrow
	// group, in observations.
	wideWeight = 4
	// rebuildShare is the share of a sketch's weight by which new observations leave
	// its curve as it is. rebuildWide is the same for rebuilds of the wider curve.
	rebuildShare = 1.0 / 32
	rebuildWide  = 4
)

// indexes assigns the values of all sketches to buckets.
var indexes = newIndexes()

func newIndexes() *mapping.LogarithmicMapping {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err) // only for an accuracy that is not between 0 and 1
	}
	return m
}

// logBase and logStep give the logarithm of the value of a bucket.
var (
	logBase = math.Log(indexes.Value(0))
	logStep = math.Log(indexes.Value(1)) - logBase
)

func logOf(index int) float64 {
	return logBase + float64(index)*logStep
}

// indexOf returns the bucket whose value is nearest.
func indexOf(log float64) int {
	return int(math.Round((log - logBase) / logStep))
}

// group holds the observations of similar tasks.
type group struct {
	key Key
	// parent is the next wider group, or nil.
	parent *group
	usedAt uint64

	lengths survival
	ratios  survival
	// lengthError and ratioError are how far forecasts by either were off.
	lengthError meanError
	ratioError  meanError

	// reportedMedian is the logarithm of the median length that was last reported.
	reported       bool
	reportedMedian float64
}

func newGroup(key Key) *group {
	return &group{key: key, lengths: newSurvival(), ratios: newSurvival()}
}

// survival holds a decaying sample of values, some of which are only known to be
// exceeded.
type survival struct {
	ended *ddsketch.DDSketch
	cut   *ddsketch.DDSketch
	// unit is the weight of a new observation in the sketches. It grows, which has
	// the same effect as if the older ones shrank.
	unit float64
	// pending is the weight that was added since the curve was computed.
	pending float64

	curve curve
	// known is set if the curve rests on any observation or on a wider curve.
	known bool
	// builds counts how often the curve was computed, and wideBuilds is the same
	// count of the wider curve that it rests on.
	builds, wideBuilds int
}

func newSurvival() survival {
	return survival{ended: newSketch(), cut: newSketch(), unit: 1}
}

func newSketch() *ddsketch.DDSketch {
	// The second store is for negative values, of which there are none.
	return ddsketch.NewDDSketch(indexes, store.NewDenseStore(), store.NewSparseStore())
}

// add adds a value. Values out of the mapping's range can't occur, since times are
// limited.
func (s *survival) add(value, weight float64, cut bool) {
	s.unit *= math.Exp2(weight / halfLife)
	if s.unit > maxUnit {
		_ = s.ended.Reweight(1 / s.unit)
		_ = s.cut.Reweight(1 / s.unit)
		s.unit = 1
	}
	sketch := s.ended
	if cut {
		sketch = s.cut
	}
	_ = sketch.AddWithCount(value, weight*s.unit)
	s.pending += weight
}

// weight returns the weight of the values that are known exactly.
func (s *survival) weight() float64 {
	return s.ended.GetCount() / s.unit
}

// stale reports whether the curve has to be computed anew. wide is the wider sample,
// or nil.
func (s *survival) stale(wide *survival) bool {
	switch {
	case s.builds == 0, s.pending > 0 && s.pending >= rebuildShare*s.weight():
		return true
	default:
		return wide != nil && wide.builds-s.wideBuilds >= rebuildWide
	}
}

// rebuild computes the curve from the sample, and from the wider one's curve if that
// is known.
func (m *Model) rebuild(s *survival, wide *curve, wideBuilds int) {
	s.known = wide != nil || !s.ended.IsEmpty()
	if s.known {
		lowest, highest := s.span(wide)
		m.scratch = slices.Grow(m.scratch[:0], highest-lowest+1)[:highest-lowest+1]
		clear(m.scratch)
		s.ended.GetPositiveValueStore().ForEach(func(index int, count float64) bool {
			m.scratch[index-lowest].ended += count / s.unit
			return false
		})
		s.cut.GetPositiveValueStore().ForEach(func(index int, count float64) bool {
			m.scratch[index-lowest].cut += count / s.unit
			return false
		})
		if wide != nil {
			for _, log := range wide.logs {
				m.scratch[indexOf(log)-lowest].ended += wideWeight / float64(curvePoints)
			}
		}
		s.curve.build(lowest, m.scratch)
	}
	s.pending = 0
	s.builds++
	s.wideBuilds = wideBuilds
}

// span returns the lowest and the highest bucket of the sample and the wider curve, of
// which at least one is not empty.
func (s *survival) span(wide *curve) (lowest, highest int) {
	lowest, highest = math.MaxInt, math.MinInt
	for _, sketch := range []*ddsketch.DDSketch{s.ended, s.cut} {
		if sketch.IsEmpty() {
			continue
		}
		// Neither can fail if there is a value.
		first, _ := sketch.GetPositiveValueStore().MinIndex()
		last, _ := sketch.GetPositiveValueStore().MaxIndex()
		lowest, highest = min(lowest, first), max(highest, last)
	}
	if wide != nil {
		lowest = min(lowest, indexOf(wide.logs[0]))
		highest = max(highest, indexOf(wide.logs[curvePoints-1]))
	}
	return lowest, highest
}

// lengthCurve returns the distribution of the group's lengths, or nil if nothing is
// known of them.
func (m *Model) lengthCurve(g *group) *curve {
	var wide *curve
	var wider *survival
	if g.parent != nil {
		wide = m.lengthCurve(g.parent)
		wider = &g.parent.lengths
	}
	m.refresh(&g.lengths, wider, wide)
	if !g.lengths.known {
		return nil
	}
	return &g.lengths.curve
}

// ratioCurve returns the distribution of the group's ratios of length to estimate.
func (m *Model) ratioCurve(g *group) *curve {
	wide := &unlearned
	var wider *survival
	if g.parent != nil {
		wide = m.ratioCurve(g.parent)
		wider = &g.parent.ratios
	}
	m.refresh(&g.ratios, wider, wide)
	return &g.ratios.curve
}

// refresh rebuilds the curve of a sample if it is stale. wider is the sample of the wider
// group, or nil, and wide the curve to lean on, or nil.
func (m *Model) refresh(s, wider *survival, wide *curve) {
	if !s.stale(wider) {
		return
	}
	wideBuilds := 0
	if wider != nil {
		wideBuilds = wider.builds
	}
	m.rebuild(s, wide, wideBuilds)
}

const (
	// errorHalfLife is the half-life of the mean errors, like halfLife.
	errorHalfLife = 32
	// unlearnedLengthError and unlearnedRatioError are the errors that are assumed
	// before there are observations: estimates are off by a factor of about two, and
	// the tasks of a queue differ somewhat more than that.
	unlearnedLengthError = 0.7
	unlearnedRatioError  = 0.55
)

// meanError is a decaying mean of the errors of forecasts, as logarithms.
type meanError struct {
	sum, weight float64
}

func (e *meanError) add(x, weight float64) {
	keep := math.Exp2(-weight / errorHalfLife)
	e.sum = e.sum*keep + x*weight
	e.weight = e.weight*keep + weight
}

// mean returns the mean error. With few observations it is near the given one.
func (e *meanError) mean(assumed float64) float64 {
	return (e.sum + wideWeight*assumed) / (e.weight + wideWeight)
}

// errors returns the mean errors of forecasts by lengths and by ratios.
func (g *group) errors() (lengths, ratios float64) {
	lengths, ratios = unlearnedLengthError, unlearnedRatioError
	if g.parent != nil {
		lengths, ratios = g.parent.errors()
	}
	return g.lengthError.mean(lengths), g.ratioError.mean(ratios)
}

// ratioShare returns the weight of the forecast by the estimate, between 0 and 1. The
// weights fall with the fourth power of the errors, so that a forecast that is off by
// twice as much counts for little.
func (g *group) ratioShare() float64 {
	lengths, ratios := g.errors()
	l, r := lengths*lengths*lengths*lengths, ratios*ratios*ratios*ratios
	if l+r == 0 {
		return 0.5
	}
	return l / (l + r)
}

package learn

import (
	"cmp"
	"encoding/binary"
	"iter"
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// format is the version of the row's format.
	format = 1
	// maxRowBytes limits the row. The platform's rows hold 64 KB, in an encoding
	// that adds a third.
	maxRowBytes = 47 << 10
	// weightUnits is the number of units of weight in an observation. Buckets with less
	// than half a unit are left out; in a group with a few long runs, those count.
	weightUnits = 64
	// maxUnits limits the weight of a bucket, far above what a decaying sketch holds.
	maxUnits = 1 << 16
	// thousandths is the number of units of an error and of its weight.
	thousandths = 1000
)

// Sentinel errors of Restore and Check.
var (
	// ErrUnreadable means that the row is damaged.
	ErrUnreadable = errors.New("run times are unreadable")
	// ErrNewer means that a newer version wrote the row.
	ErrNewer = errors.New("run times have a newer format")
)

// Encode returns the row from which Restore restores the model. Groups that were used
// least recently are left out if there is no room for them.
func (m *Model) Encode() ([]byte, error) {
	groups := make([]*group, 0, len(m.groups))
	for _, g := range m.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int { return cmp.Compare(b.usedAt, a.usedAt) })
	row := encodedRow{Format: format}
	size := 0
	for _, g := range groups {
		data, err := cbor.Marshal(g.encode())
		if err != nil {
			return nil, err
		}
		if size += len(data); size > maxRowBytes {
			break
		}
		row.Groups = append(row.Groups, data)
	}
	return cbor.Marshal(row)
}

// encodedRow is a record.RunTimes with groups that are encoded.
type encodedRow struct {
	Format int               `json:"format"`
	Groups []cbor.RawMessage `json:"groups"`
}

func (g *group) encode() record.RunTimeGroup {
	return record.RunTimeGroup{
		Queue: g.key.Queue, Team: g.key.Team,
		Tasks: g.key.Shape.Tasks, Need: g.key.Shape.Need, Image: int64(g.key.Shape.Image),
		Lengths:     encodeSketch(g.lengths.ended, g.lengths.unit),
		CutLengths:  encodeSketch(g.lengths.cut, g.lengths.unit),
		Ratios:      encodeSketch(g.ratios.ended, g.ratios.unit),
		CutRatios:   encodeSketch(g.ratios.cut, g.ratios.unit),
		LengthError: g.lengthError.encode(),
		RatioError:  g.ratioError.encode(),
	}
}

// encodeSketch returns pairs of the distance from the bucket before and the weight.
func encodeSketch(s *ddsketch.DDSketch, unit float64) []byte {
	var pairs []byte
	last := 0
	s.GetPositiveValueStore().ForEach(func(index int, count float64) bool {
		if units := int(math.Round(count / unit * weightUnits)); units > 0 {
			pairs = binary.AppendVarint(pairs, int64(index-last))
			pairs = binary.AppendVarint(pairs, int64(min(units, maxUnits)))
			last = index
		}
		return false
	})
	return pairs
}

func (e *meanError) encode() []int {
	if e.weight == 0 {
		return nil
	}
	return []int{int(e.sum / e.weight * thousandths), int(e.weight * thousandths)}
}

// Check reports whether Restore can read the row.
func Check(data []byte) error {
	_, err := decode(data)
	return err
}

// Restore adds what an earlier model's Encode returned. It changes nothing if it
// returns an error.
func (m *Model) Restore(data []byte) error {
	row, err := decode(data)
	if err != nil {
		return err
	}
	// The most recently used group comes first and must be the last to be touched.
	for _, stored := range slices.Backward(row.Groups) {
		g := m.group(Key{Team: stored.Team, Queue: stored.Queue, Shape: Shape{
			Tasks: stored.Tasks, Need: stored.Need, Image: uint64(stored.Image),
		}})
		g.lengths.restore(stored.Lengths, stored.CutLengths)
		g.ratios.restore(stored.Ratios, stored.CutRatios)
		g.lengthError.restore(stored.LengthError)
		g.ratioError.restore(stored.RatioError)
	}
	return nil
}

func (s *survival) restore(ended, cut []byte) {
	restoreSketch(s.ended, ended, s.unit)
	restoreSketch(s.cut, cut, s.unit)
	s.builds = 0
}

func restoreSketch(s *ddsketch.DDSketch, pairs []byte, unit float64) {
	for index, units := range buckets(pairs) {
		_ = s.AddWithCount(indexes.Value(index), float64(units)/weightUnits*unit)
	}
}

// buckets yields the buckets of a checked histogram and their weights.
func buckets(pairs []byte) iter.Seq2[int, int] {
	return func(yield func(int, int) bool) {
		index := 0
		for len(pairs) > 0 {
			step, n := binary.Varint(pairs)
			units, k := binary.Varint(pairs[n:])
			pairs = pairs[n+k:]
			index += int(step)
			if !yield(index, int(units)) {
				return
			}
		}
	}
}

func (e *meanError) restore(pair []int) {
	if len(pair) == 2 {
		weight := float64(pair[1]) / thousandths
		e.sum += float64(pair[0]) / thousandths * weight
		e.weight += weight
	}
}

// decode reads and checks a row.
func decode(data []byte) (record.RunTimes, error) {
	var head struct {
		Format int `cbor:"format"`
	}
	if err := cbor.Unmarshal(data, &head); err != nil {
		return record.RunTimes{}, errors.Mark(err, ErrUnreadable)
	}
	if head.Format > format {
		return record.RunTimes{}, errors.Wrapf(ErrNewer, "format %d", head.Format)
	}
	var row record.RunTimes
	if err := cbor.Unmarshal(data, &row); err != nil {
		return record.RunTimes{}, errors.Mark(err, ErrUnreadable)
	}
	if row.Format != format || len(row.Groups) > maxGroups {
		return record.RunTimes{}, errors.Wrapf(ErrUnreadable, "format %d, %d groups", row.Format, len(row.Groups))
	}
	for i := range row.Groups {
		if !valid(&row.Groups[i]) {
			return record.RunTimes{}, errors.Wrapf(ErrUnreadable, "group %d", i)
		}
	}
	return row, nil
}

func valid(g *record.RunTimeGroup) bool {
	lowest, highest := indexes.Index(minValue), indexes.Index(maxValue)
	for _, pairs := range [][]byte{g.Lengths, g.CutLengths, g.Ratios, g.CutRatios} {
		if !validPairs(pairs, lowest, highest) {
			return false
		}
	}
	return validError(g.LengthError) && validError(g.RatioError)
}

// minValue and maxValue limit the lengths in seconds and the ratios of two lengths.
var (
	minValue = minTaken.Seconds() / maxTaken.Seconds()
	maxValue = maxTaken.Seconds() / minTaken.Seconds()
)

// validPairs reports whether the buckets ascend between the given ones and have a
// weight.
func validPairs(pairs []byte, lowest, highest int) bool {
	index := int64(0)
	for first := true; len(pairs) > 0; first = false {
		step, n := binary.Varint(pairs)
		if n <= 0 || !first && step <= 0 || step < int64(lowest) || step > int64(highest-lowest) {
			return false
		}
		units, k := binary.Varint(pairs[n:])
		if k <= 0 || units <= 0 || units > maxUnits {
			return false
		}
		pairs = pairs[n+k:]
		index += step
		if index < int64(lowest) || index > int64(highest) {
			return false
		}
	}
	return true
}

// validError reports whether the numbers are a mean error and its weight.
func validError(pair []int) bool {
	const most = maxUnits * thousandths
	switch len(pair) {
	case 0:
		return true
	case 2:
		return pair[0] >= 0 && pair[0] <= most && pair[1] >= 0 && pair[1] <= most
	default:
		return false
	}
}

package fleet

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// maxRowBytes is the largest value that the leader stores. The platform's rows hold
	// 64 KB, in an encoding that adds a third.
	maxRowBytes = 48 << 10
	// maxInflatedBytes bounds a compressed value, since one row must not use up a host's
	// memory.
	maxInflatedBytes = 16 << 20
)

// errTooLarge means that a stored value is larger than any that is written.
var errTooLarge = errors.New("stored value is too large")

// encodePacked returns the stored form of a value. That of a large one is a byte string
// that holds the compressed form.
func encodePacked(value any) ([]byte, error) {
	plain, err := encode(value)
	if err != nil || len(plain) <= maxRowBytes {
		return plain, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return encode(compressed.Bytes())
}

// unpacked returns the encoding that a stored value holds, compressed or not.
func unpacked(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0]>>majorShift != majorBytes {
		return data, nil
	}
	var compressed []byte
	if err := unmarshal(data, &compressed); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxInflatedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxInflatedBytes {
		return nil, errTooLarge
	}
	return plain, nil
}

// The first three bits of a value's encoding tell its type; majorBytes is that of
// a byte string.
const (
	majorShift = 5
	majorBytes = 2
)

// encodeProgress returns the stored form of a row of a job's progress. If the row would be
// too large, its losses are left out, and then its checkpoints, the longest first: a gang
// without one begins anew after a takeover. It reports whether it has left something out.
func encodeProgress(p record.Progress) (value []byte, reduced bool, err error) {
	value, err = encodePacked(p)
	if err != nil || len(value) <= maxRowBytes {
		return value, false, err
	}
	p.Gangs = slices.Clone(p.Gangs)
	for i := range p.Gangs {
		p.Gangs[i].Losses = nil
	}
	bySize := make([]*record.GangProgress, len(p.Gangs))
	for i := range p.Gangs {
		bySize[i] = &p.Gangs[i]
	}
	slices.SortStableFunc(bySize, func(a, b *record.GangProgress) int {
		return cmp.Compare(len(b.Checkpoint), len(a.Checkpoint))
	})
	for {
		value, err = encodePacked(p)
		if err != nil || len(value) <= maxRowBytes || len(bySize) == 0 {
			return value, true, err
		}
		// An eighth at a time bounds how often the row is encoded.
		n := min(len(bySize), max(1, len(p.Gangs)/8))
		for _, g := range bySize[:n] {
			g.Checkpoint = ""
		}
		bySize = bySize[n:]
	}
}

// encodeWaiting returns the stored form of the queue lengths. If the row would be too
// large, the expected delays are left out, on which no promise rests. It reports whether
// it has left something out.
func encodeWaiting(w record.Waiting) (value []byte, reduced bool, err error) {
	value, err = encodePacked(w)
	if err != nil || len(value) <= maxRowBytes {
		return value, false, err
	}
	w.Queues = slices.Clone(w.Queues)
	for i := range w.Queues {
		w.Queues[i].Starts = nil
	}
	value, err = encodePacked(w)
	return value, true, err
}

// maxJobBytes is the largest row of a job. The platform's rows hold 64 KB.
const maxJobBytes = 64 << 10

// encodeJob returns the stored form of a job, or errTooLarge if no row can hold it.
func encodeJob(job record.Job) ([]byte, error) {
	value, err := encode(job)
	if err == nil && len(value) > maxJobBytes {
		err = errors.Wrapf(errTooLarge, "row of the job has %d bytes", len(value))
	}
	return value, err
}

package admit

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Errors of a row without a digest that can be used.
var (
	// ErrNone means that the row holds queue lengths only.
	ErrNone = errors.New("the row holds no digest")
	// ErrInvalid means that the digest contradicts itself.
	ErrInvalid = errors.New("invalid digest")
)

// Digest is what the leader tells hosts of the load.
type Digest struct {
	// Epoch is that of the leader.
	Epoch int64
	// ComputedAt is by the store's clock.
	ComputedAt time.Time

	queues          map[string]record.QueueLength
	aboveShare      map[string]bool
	beyondGuarantee map[string]bool
}

// NewDigest reads the digest in a row.
func NewDigest(row record.Waiting) (*Digest, error) {
	if row.Epoch == 0 {
		return nil, ErrNone
	}
	if row.Epoch < 0 || row.ComputedAtMs <= 0 {
		return nil, errors.Wrapf(ErrInvalid, "epoch %d, computed at %d ms", row.Epoch, row.ComputedAtMs)
	}
	d := &Digest{
		Epoch: row.Epoch, ComputedAt: time.UnixMilli(row.ComputedAtMs), queues: make(map[string]record.QueueLength, len(row.Queues)),
		aboveShare: setOf(row.AboveShare), beyondGuarantee: setOf(row.BeyondGuarantee),
	}
	for _, q := range row.Queues {
		if err := check(q); err != nil {
			return nil, err
		}
		d.queues[q.Queue] = q
	}
	return d, nil
}

// Delays reports whether new jobs of some queue have to wait.
func (d *Digest) Delays() bool {
	for _, q := range d.queues {
		if len(q.Starts) > 0 {
			return true
		}
	}
	return false
}

func check(q record.QueueLength) error {
	if len(q.Starts) > 0 && !q.Resource.Valid() || q.RunPercent < 0 {
		return errors.Wrapf(ErrInvalid, "queue %s", q.Queue)
	}
	for _, s := range q.Starts {
		if s.Size <= 0 || s.DelayMillis < 0 || s.DelayMillis > maxDelay.Milliseconds() {
			return errors.Wrapf(ErrInvalid, "queue %s: size %d waits for %d ms", q.Queue, s.Size, s.DelayMillis)
		}
	}
	return nil
}

// maxDelay is the longest delay that a digest can hold.
const maxDelay = time.Hour

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// delay returns the least time, from when the digest was computed, until a job of the
// queue starts that takes the given amounts first. Sizes between those of the digest
// count as the next smaller one.
func delay(q record.QueueLength, needs []record.Amount) time.Duration {
	least := maxDelay
	for _, need := range needs {
		size, longest := amountOf(need, q.Resource), time.Duration(0)
		for _, s := range q.Starts {
			if s.Size <= size {
				longest = max(longest, time.Duration(s.DelayMillis)*time.Millisecond)
			}
		}
		least = min(least, longest)
	}
	return least
}

func amountOf(a record.Amount, r record.Resource) int {
	switch r {
	case record.Accelerators:
		return a.Accelerators
	case record.MilliCores:
		return a.MilliCores
	case record.MemoryMb:
		return a.MemoryMB
	default:
		return 0
	}
}

package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/edge/store"
)

const (
	// maxEntries limits the rows of one transaction. The platform accepts 100
	// entries, of which the leader row needs two.
	maxEntries = 96
	// maxChangeBytes limits the values of one transaction. The platform accepts 1 MB,
	// in an encoding that adds a third.
	maxChangeBytes = 600 << 10
)

// batch splits what the planner wants stored into transactions that the store
// accepts. They are made in order, and each of them leaves a state from which a
// successor can go on.
type batch struct {
	changes        []store.Change
	entries, bytes int
	// reduced names the rows of which something was left out, since they were too large.
	reduced []store.Key
}

// newBatch returns the transactions of a command: at least one, which may be empty.
func newBatch(cmd plan.WriteCmd) (*batch, error) {
	b := &batch{changes: make([]store.Change, 1)}
	for _, p := range cmd.Progress {
		value, reduced, err := encodeProgress(p)
		if err != nil {
			return nil, errors.Wrapf(err, "encode progress of job %s", p.ID)
		}
		key := progressPartKey(p.ID, p.Part)
		if reduced {
			b.reduced = append(b.reduced, key)
		}
		b.put(key, value)
	}
	for _, roster := range cmd.Rosters {
		if err := b.encode(rosterKey(roster.Part), roster); err != nil {
			return nil, err
		}
	}
	if cmd.Waiting != nil {
		value, reduced, err := encodeWaiting(*cmd.Waiting)
		if err != nil {
			return nil, errors.Wrap(err, "encode queue lengths")
		}
		if reduced {
			b.reduced = append(b.reduced, waitingKey)
		}
		b.put(waitingKey, value)
	}
	if cmd.RunTimes != nil {
		b.put(runTimesKey, cmd.RunTimes)
	}
	for _, part := range cmd.Dropped {
		b.remove(progressPartKey(part.Job, part.Part))
	}
	for _, id := range cmd.Deleted {
		b.remove(progressKey(id), jobKey(id), cancelKey(id))
	}
	return b, nil
}

// encode adds the row that holds a value.
func (b *batch) encode(key store.Key, value any) error {
	encoded, err := encodePacked(value)
	if err != nil {
		return errors.Wrapf(err, "encode row %s", key.Name)
	}
	b.put(key, encoded)
	return nil
}

func (b *batch) put(key store.Key, value []byte) {
	change := b.reserve(1, len(value))
	change.Put = append(change.Put, store.Row{Key: key, Value: value})
}

// remove removes rows in one transaction: a job without its progress would be run
// again.
func (b *batch) remove(keys ...store.Key) {
	change := b.reserve(len(keys), 0)
	change.Remove = append(change.Remove, keys...)
}

// reserve returns the transaction that has room for so many more entries and bytes.
func (b *batch) reserve(entries, size int) *store.Change {
	if b.entries > 0 && (b.entries+entries > maxEntries || b.bytes+size > maxChangeBytes) {
		b.changes = append(b.changes, store.Change{})
		b.entries, b.bytes = 0, 0
	}
	b.entries += entries
	b.bytes += size
	return &b.changes[len(b.changes)-1]
}

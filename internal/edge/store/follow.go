package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Follower keeps up with what changes in one table.
type Follower struct {
	client *Client
	table  string
	// after is the version up to which changes were read.
	after int64
}

// NewFollower returns a follower of what changes after a version; 0 means that
// nothing was read yet.
func NewFollower(c *Client, table string, after int64) *Follower {
	return &Follower{client: c, table: table, after: after}
}

// Next returns the rows that have changed since the reading before, with those
// that were removed marked as deleted. It returns all rows, and says so, at
// first and when the store no longer has the changes. The store may hold the
// answer that nothing has changed back for a while; without such a wait, Next
// tries until ctx ends.
func (f *Follower) Next(ctx context.Context, wait time.Duration) (changed Rows, whole bool, err error) {
	if f.after > 0 {
		changed, err = f.changes(ctx, f.after, wait)
		if !errors.Is(err, ErrHistoryGone) {
			return f.read(changed, false, err)
		}
	}
	changed, err = f.client.ReadAll(ctx, f.table, "")
	return f.read(changed, true, err)
}

func (f *Follower) changes(ctx context.Context, after int64, wait time.Duration) (Rows, error) {
	if wait > 0 {
		return f.client.Changes(ctx, f.table, after, wait)
	}
	return f.client.repeat(ctx, func(try context.Context) (Rows, error) {
		return f.client.Changes(try, f.table, after, 0)
	})
}

func (f *Follower) read(changed Rows, whole bool, err error) (Rows, bool, error) {
	if err == nil {
		f.after = changed.Version
	}
	return changed, whole, err
}

package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Follower keeps up with what changes in one table.
type Follower struct {
	client *Client
	table  string
	// after is the version up to which changes were read.
	after int64
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(c *Client, table string) *Follower {
	return &Follower{client: c, table: table}
}

// Next returns the rows that have changed since the reading before, with those
// that were removed marked as deleted. It returns all rows, and says so, at
// first and when the store no longer has the changes. It tries until ctx ends.
func (f *Follower) Next(ctx context.Context) (changed Rows, whole bool, err error) {
	if after := f.after; after > 0 {
		changed, err = f.client.repeat(ctx, func(try context.Context) (Rows, error) {
			return f.client.Changes(try, f.table, after, 0)
		})
		if !errors.Is(err, ErrHistoryGone) {
			return f.read(changed, false, err)
		}
	}
	changed, err = f.client.ReadAll(ctx, f.table, "")
	return f.read(changed, true, err)
}

func (f *Follower) read(changed Rows, whole bool, err error) (Rows, bool, error) {
	if err == nil {
		f.after = changed.Version
	}
	return changed, whole, err
}

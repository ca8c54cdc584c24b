package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Follower follows the change feed of one table.
type Follower struct {
	client *Client
	table  string
	// parts lists the parts that are read when the changes are not enough.
	parts []string
	// version is the version up to which changes have been read.
	version int64
}

// NewFollower returns a follower of the changes after a version. With version 0 it
// starts by reading all rows of the table. Without parts, the table has only the
// unnamed one.
func NewFollower(c *Client, table string, after int64, parts ...string) *Follower {
	if len(parts) == 0 {
		parts = []string{""}
	}
	return &Follower{client: c, table: table, parts: parts, version: after}
}

// Next returns the rows that have changed since the previous call; removed rows
// are marked as deleted. On the first call, and when the store no longer keeps the
// changes, it returns all rows of the table and full is true. If nothing has
// changed, the store may wait up to wait before it answers. With wait 0 the call
// is hedged and retried until ctx ends.
func (f *Follower) Next(ctx context.Context, wait time.Duration) (changed Rows, full bool, err error) {
	if f.version > 0 {
		changed, err = f.changes(ctx, f.version, wait)
		if !errors.Is(err, ErrHistoryGone) {
			return f.advance(changed, false, err)
		}
	}
	changed, err = f.client.ReadParts(ctx, f.table, f.parts)
	return f.advance(changed, true, err)
}

func (f *Follower) changes(ctx context.Context, after int64, wait time.Duration) (Rows, error) {
	if wait > 0 {
		return f.client.Changes(ctx, f.table, after, wait)
	}
	return f.client.retryRead(ctx, func(attempt context.Context) (Rows, error) {
		return f.client.Changes(attempt, f.table, after, 0)
	})
}

// advance moves the follower to the version of the rows that it read.
func (f *Follower) advance(changed Rows, full bool, err error) (Rows, bool, error) {
	if err == nil {
		f.version = changed.Version
	}
	return changed, full, err
}

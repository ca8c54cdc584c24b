// Package store is what the project asks of the platform's transactional
// store: rows in tables, changes under conditions, and a feed of what changed.
// The platform's adapter implements it.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of a store.
var (
	// ErrRefused says that the store did nothing and said so.
	ErrRefused = errors.New("store refused the call")
	// ErrRejected says that the store will never take the call as it is.
	ErrRejected = errors.New("store rejected the call")
	// ErrUnanswered says that no whole answer came. A change may have been
	// made, or may still be made while its conditions hold.
	ErrUnanswered = errors.New("store did not answer")
	// ErrHistoryGone says that the changes asked for are no longer kept.
	ErrHistoryGone = errors.New("store no longer has these changes")
	// ErrFenced says that another writer has written the lane's row.
	ErrFenced = errors.New("lane row was written by another")
)

// Key names a row.
type Key struct {
	Table string
	Name  string
}

// Row is a row as it was at some version. Version 0 means that it is absent.
type Row struct {
	Key     Key
	Value   []byte
	Version int64
	Deleted bool
}

// Rows are rows as of one version of the store.
type Rows struct {
	Rows    []Row
	Version int64
	// Clock is the store's own steady clock.
	Clock time.Time
	// More says that the range goes on after the last row.
	More bool
}

// Change is made whole or not at all, and only if every expected row has the
// version given.
type Change struct {
	Expect []Row
	Put    []Row
	Remove []Key
}

// Outcome says whether a change was made. When it was not, Current holds the
// expected rows as they are.
type Outcome struct {
	Made    bool
	Version int64
	// Clock is the store's own steady clock.
	Clock   time.Time
	Current []Row
}

// Store is the platform's transactional store.
type Store interface {
	// Transact makes a change.
	Transact(ctx context.Context, change Change) (Outcome, error)
	// Range reads the rows of a table from one name up to, not including,
	// another; an empty one leaves that side open. limit 0 is the store's own.
	Range(ctx context.Context, table, from, to string, limit int) (Rows, error)
	// Changes returns what changed in a table after a version, at most wait
	// later.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Rows, error)
}

// Scan reads a whole range, page by page. Rows changed between two pages may
// be seen as of either; Version is that of the first page, so that the changes
// after it complete the picture.
func Scan(ctx context.Context, s Store, table, from, to string) (Rows, error) {
	var all Rows
	for {
		page, err := s.Range(ctx, table, from, to, 0)
		if err != nil {
			return Rows{}, err
		}
		if all.Version == 0 {
			all.Version, all.Clock = page.Version, page.Clock
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}

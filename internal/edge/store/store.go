// Package store defines the interface to the platform's transactional row
// store, which has conditional changes and a change feed per table. Its client
// adds hedged calls, fenced writers, batched commits and followers of the feed.
// The platform's adapter implements the interface.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of a store.
var (
	// ErrRefused means that the store answered that it did not carry out the
	// call. A later attempt may succeed.
	ErrRefused = errors.New("store refused the call")
	// ErrInvalid means that the store will never accept this call; repeating
	// it is useless.
	ErrInvalid = errors.New("store reports the call as invalid")
	// ErrUnanswered means that no complete answer arrived. The change may have
	// been committed, or may still be committed while its conditions hold.
	ErrUnanswered = errors.New("store did not answer")
	// ErrHistoryGone means that the store no longer keeps the requested changes.
	ErrHistoryGone = errors.New("store no longer keeps the requested changes")
	// ErrFenced means that another writer has written the fence row.
	ErrFenced = errors.New("fence row was written by another writer")
)

// Key identifies a row. The store carries out the changes of one part, in all
// tables, one after the other, and those of different parts at the same time.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Span names the rows of one part of a table whose names are in [From, To). An
// empty bound leaves that side open.
type Span struct {
	Table    string
	Part     string
	From, To string
}

// Row is a row as of Version. Version 0 means that the row does not exist.
type Row struct {
	Key     Key
	Value   []byte
	Version int64
	Deleted bool
}

// Rows holds rows as of one version of the store.
type Rows struct {
	Rows    []Row
	Version int64
	// Clock is the store's monotonic clock when it answered.
	Clock time.Time
	// More reports that the range continues after the last row.
	More bool
}

// Change is one atomic transaction. It is committed only if every row in Expect
// has the given version. It takes longer if its rows lie in several parts.
type Change struct {
	Expect []Row
	Put    []Row
	Remove []Key
}

// Outcome tells whether a change was committed. If it was not, Current holds the
// present state of the expected rows.
type Outcome struct {
	Applied bool
	Version int64
	// Clock is the store's monotonic clock when it answered.
	Clock   time.Time
	Current []Row
	// FenceValue is the value of the fence row that was committed, if a FencedWriter has
	// made the change.
	FenceValue []byte
}

// Store is the platform's transactional store. An implementation that transfers large
// answers reports them through ReportArrival, so that they are not given up meanwhile.
type Store interface {
	// Transact commits the change if its conditions hold.
	Transact(ctx context.Context, change Change) (Outcome, error)
	// Range reads the rows of a span. With limit 0 the store uses its own limit.
	Range(ctx context.Context, span Span, limit int) (Rows, error)
	// Changes returns the rows of a table, in all parts, that changed after a version. If there
	// are none yet, the store may wait up to wait for one before it answers.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Rows, error)
}

// Scan reads a complete span, page by page. A row that changes while the pages are
// read may appear in its old or its new state. Version is that of the first page,
// so that following the changes after Version gives a consistent state.
func Scan(ctx context.Context, s Store, span Span) (Rows, error) {
	var all Rows
	for {
		page, err := s.Range(ctx, span, 0)
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
		span.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}

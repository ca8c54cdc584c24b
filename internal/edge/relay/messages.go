package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	wire "github.com/rattanshore/rattanshore/internal/wire/relay"
)

// statuses pairs the errors of a store with the status that stands for each.
var statuses = []struct {
	status wire.Status
	err    error
}{
	{wire.Refused, store.ErrRefused},
	{wire.Invalid, store.ErrInvalid},
	{wire.HistoryGone, store.ErrHistoryGone},
	{wire.Unanswered, store.ErrUnanswered},
}

// rowsResponse returns the response with what the store has answered.
func rowsResponse(request wire.Request, rows store.Rows, err error) wire.Response {
	r := wire.Response{
		Number: request.Number, Status: wire.Answered,
		Version: rows.Version, ClockMillis: rows.Clock.UnixMilli(), More: rows.More,
	}
	for _, row := range rows.Rows {
		r.Rows = append(r.Rows, wire.Row{Part: row.Key.Part, Name: row.Key.Name, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	if err != nil {
		r.Status, r.Problem = statusOf(err), err.Error()
	}
	return r
}

// Testimony is the answer of a witness.
type Testimony struct {
	// Host and Incarnation tell which run of which host's process answers.
	Host, Incarnation string
	// Agreed is set if the witness vouches, or has withdrawn, as it was asked to.
	Agreed bool
}

func testimonyResponse(request wire.Request, t Testimony) wire.Response {
	return wire.Response{
		Number: request.Number, Status: wire.Answered, Host: t.Host, Incarnation: t.Incarnation, Agreed: t.Agreed,
	}
}

// spanOf returns the span that a request reads.
func spanOf(request wire.Request) store.Span {
	return store.Span{Table: request.Table, Part: request.Part, From: request.From, To: request.To}
}

// statusOf returns the status that stands for an error.
func statusOf(err error) wire.Status {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return wire.Unanswered
}

// statusError returns the store's error that a response stands for. A status that
// is not known here leaves the outcome open.
func statusError(r wire.Response) error {
	if r.Status == wire.Answered {
		return nil
	}
	err := errors.Newf("peer: %.200s", r.Problem)
	for _, s := range statuses {
		if s.status == r.Status {
			return errors.Mark(err, s.err)
		}
	}
	return errors.Mark(err, store.ErrUnanswered)
}

// response is a peer's response in the store's terms.
type response struct {
	wire.Response
}

// toRows returns the rows of a read of the table.
func (r response) toRows(table string) store.Rows {
	rows := store.Rows{Version: r.Version, Clock: time.UnixMilli(r.ClockMillis).UTC(), More: r.More}
	for _, row := range r.Rows {
		rows.Rows = append(rows.Rows, store.Row{
			Key: store.Key{Table: table, Part: row.Part, Name: row.Name}, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
		})
	}
	return rows
}

// outcome returns the outcome of an insertion.
func (r response) outcome(request wire.Request) store.Outcome {
	rows := r.toRows(request.Table)
	return store.Outcome{Applied: r.Applied, Version: rows.Version, Clock: rows.Clock, Current: rows.Rows}
}

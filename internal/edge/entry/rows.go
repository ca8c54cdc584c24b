package entry

import (
	"context"
	"encoding/json"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
)

// readTimeoutFactor limits a read with all its attempts to this multiple of the
// timeout of one call.
const readTimeoutFactor = 3

// keyOf returns the key of the row with the given name.
func keyOf(name string) store.Key {
	return store.Key{Table: rows.Table(name), Name: name}
}

// rowOf returns a row with the encoded value.
func rowOf(name string, value any) store.Row {
	return store.Row{Key: keyOf(name), Value: encode(value)}
}

// expected returns the condition that a row has the given version; 0 means that
// it is absent.
func expected(name string, version int64) store.Row {
	return store.Row{Key: keyOf(name), Version: version}
}

// encode returns a value as it is stored in a row.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("row value cannot be encoded: " + err.Error())
	}
	return data
}

// decode decodes a row's value.
func decode[T any](row store.Row) (T, error) {
	var value T
	err := json.Unmarshal(row.Value, &value)
	return value, err
}

// decodeOrLog decodes a row's value. If that fails it logs the row as skipped and
// returns false.
func decodeOrLog[T any](log *zerolog.Logger, row store.Row) (T, bool) {
	value, err := decode[T](row)
	if err != nil {
		logev.RowSkipped.Log(log).Str("table", row.Key.Table).Str("row", row.Key.Name).Err(err).Send()
	}
	return value, err == nil
}

// readRow reads one row; version 0 means that it is absent.
func (h *Host) readRow(ctx context.Context, name string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutFactor*h.settings.Timing.TableTimeout)
	defer cancel()
	return h.store.Read(ctx, keyOf(name))
}

// readRows reads the rows of a table whose names begin with a prefix.
func (h *Host) readRows(ctx context.Context, table, prefix string) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutFactor*h.settings.Timing.TableTimeout)
	defer cancel()
	found, err := h.store.ReadAll(ctx, table, prefix)
	return found.Rows, err
}

// follow reads the changes that a follower has not returned yet.
func (h *Host) follow(ctx context.Context, f *store.Follower) (store.Rows, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutFactor*h.settings.Timing.TableTimeout)
	defer cancel()
	return f.Next(ctx, 0)
}

package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// A body is read in chunks, the first of firstChunkBytes and each next one twice as large
// up to maxChunkBytes. A caller may announce more than it sends, and chunks that are
// copied to larger ones would leave garbage as large as the body.
const (
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 64 << 10
)

// Take takes n bytes for the request that ctx belongs to, until its connection has answered
// it. It fails with ErrFull or ErrTooLarge. Without a guard it does nothing.
func Take(ctx context.Context, n int64) error {
	if c := connOf(ctx); c != nil {
		return c.guard.take(c, n)
	}
	return nil
}

// Give gives back n bytes that Take or ReadAll has taken, before the request ends.
func Give(ctx context.Context, n int64) {
	if c := connOf(ctx); c != nil {
		c.guard.give(c, n)
	}
}

// ReadBody reads the body of a request and takes its memory. It fails with ErrTooLarge if
// the body is larger than limit, and with ErrFull. After it has returned, the connection is
// not closed for another one until its answer is written.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r.Context())
	if c == nil {
		return readBody(r, limit)
	}
	data, err := readBody(r, limit)
	if err != nil {
		c.bodyUnread = true
		return nil, err
	}
	c.guard.setBusy(c, true)
	return data, nil
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		if c := connOf(r.Context()); c != nil {
			c.guard.reporter.Refused(Body)
		}
		return nil, errors.Wrapf(ErrTooLarge, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	return ReadAll(r.Context(), r.Body, limit)
}

// ReadAll reads to the end of r and takes the memory of the result, which is its capacity.
// It fails as ReadBody does.
func ReadAll(ctx context.Context, r io.Reader, limit int64) ([]byte, error) {
	var chunks [][]byte
	total, size := int64(0), firstChunkBytes
	for {
		if err := Take(ctx, int64(size)); err != nil {
			return nil, err
		}
		chunk := make([]byte, size)
		n, err := io.ReadFull(r, chunk)
		total += int64(n)
		if total > limit {
			if c := connOf(ctx); c != nil {
				c.guard.reporter.Refused(Body)
			}
			return nil, errors.Wrapf(ErrTooLarge, "the limit is %d bytes", limit)
		}
		chunks = append(chunks, chunk[:n])
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return join(ctx, chunks, total)
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxChunkBytes)
	}
}

// join returns the chunks as one, and gives back what they took beyond that.
func join(ctx context.Context, chunks [][]byte, total int64) ([]byte, error) {
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	if err := Take(ctx, total); err != nil {
		return nil, err
	}
	whole := bytes.Join(chunks, nil)
	held := int64(0)
	for _, chunk := range chunks {
		held += int64(cap(chunk))
	}
	Give(ctx, held+total-int64(cap(whole)))
	return whole, nil
}

const (
	// objectBytes is the memory of a decoded object in a list, and of what the list loses
	// as it grows by doubling.
	objectBytes = 512
	// itemBytes is the same for a number in a list.
	itemBytes = 48
	// textFactor is how many copies of a text decoding makes at most.
	textFactor = 4
)

// ListBytes returns the most memory that decoding a JSON value takes whose type has lists.
// If maxObjects is not 0, decoding must end with the first object above it.
func ListBytes(data []byte, maxObjects int) int64 {
	objects := bytes.Count(data, []byte("{"))
	if maxObjects > 0 {
		objects = min(objects, maxObjects+1)
	}
	items := bytes.Count(data, []byte(",")) + bytes.Count(data, []byte("["))
	return TextBytes(data) + int64(objects)*objectBytes + int64(items)*itemBytes
}

// TextBytes is ListBytes for a type without lists.
func TextBytes(data []byte) int64 {
	return int64(len(data)) * textFactor
}

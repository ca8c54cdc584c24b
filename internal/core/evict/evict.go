// Package evict decides which connection is closed when all connections of a listener
// together hold as much as they may. It answers the load of callers that open many
// connections, send parts of large requests and stop midway: the connection that holds most
// is closed first, so that callers with small requests get in. Package guard calls it. It
// performs no I/O.
package evict

import (
	"iter"
	"time"
)

// Conn is what the decision knows of one connection.
type Conn struct {
	// Bytes is the memory that the connection holds or is about to hold.
	Bytes int64
	// ActiveAt is when bytes were last read from the connection or written to it.
	ActiveAt time.Time
	// Busy is set while a complete request of the connection is being handled. Closing it
	// would free nothing, and leave the outcome of the request open.
	Busy bool
}

// Choose returns the connection that is closed first: the one that holds most, and of those
// that hold the same the one that has been inactive longest. Busy ones are never closed. It
// returns false if there is none.
func Choose[K any](conns iter.Seq2[K, Conn]) (chosen K, ok bool) {
	var first Conn
	for key, c := range conns {
		if c.Busy || ok && !closesBefore(c, first) {
			continue
		}
		chosen, first, ok = key, c, true
	}
	return chosen, ok
}

// closesBefore reports whether a is closed before b.
func closesBefore(a, b Conn) bool {
	if a.Bytes != b.Bytes {
		return a.Bytes > b.Bytes
	}
	return a.ActiveAt.Before(b.ActiveAt)
}

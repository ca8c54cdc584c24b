package relay

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	wire "github.com/rattanshore/rattanshore/internal/wire/relay"
)

const (
	// maxCallsPerLink limits the calls that one peer may have in progress.
	maxCallsPerLink = 64
	// storeTimeout is how long a call to the store for a peer may make no progress,
	// apart from its wait for changes. A peer that saw no progress has given up by then.
	storeTimeout = time.Second
	// progressInterval is the least time between two signs to a peer that an answer
	// of the store is arriving.
	progressInterval = 200 * time.Millisecond
	// maxRequestBytes bounds the request of a peer. The largest holds one row, of at most
	// 64 KB.
	maxRequestBytes = 256 << 10
	// answerTimeout is how long a peer may take to read an answer, also a large one over a
	// slow link.
	answerTimeout = 30 * time.Second
	// maxWait bounds how long a peer may let the store wait for a change.
	maxWait = 5 * time.Second
)

// errNotAllowed means that a peer has asked for something that is not relayed.
var errNotAllowed = errors.New("request is not relayed")

// Server answers the calls of peers.
type Server struct {
	store store.Store
	// insertable lists the tables into which peers may insert rows.
	insertable []string
	witness    Witness
	log        *zerolog.Logger
}

// Witness is what a host does as a witness of another host that leads.
type Witness interface {
	// Vouch reports whether the host vouches for the leader that has stored the given
	// version of the leader row.
	Vouch(version int64) Testimony
	// Withdraw makes the host vouch no more for leaders up to that version.
	Withdraw(version int64) Testimony
}

// NewServer returns a server that uses this host's own connections to the store.
func NewServer(direct store.Store, insertable []string, witness Witness, log *zerolog.Logger) *Server {
	return &Server{store: direct, insertable: insertable, witness: witness, log: log}
}

// Handler returns the handler that accepts links, for the given server.
func Handler(s *Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, s.accept)
	return mux
}

// accept serves one link until it breaks. A message that cannot be decoded ends it.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxRequestBytes)
	slots := make(chan struct{}, maxCallsPerLink)
	for {
		data, err := readMessage(r.Context(), conn)
		if err != nil {
			return
		}
		request, err := Decode(data)
		if err != nil {
			logev.RelayRefused.Log(s.log).Str("peer", r.RemoteAddr).Err(err).Send()
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			defer guard.Give(r.Context(), int64(cap(data)))
			s.answer(r.Context(), conn, request)
		}()
	}
}

// readMessage reads the next message of a link, within the memory that the listener's
// guard allows.
func readMessage(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	_, message, err := conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return guard.ReadAll(ctx, message, maxRequestBytes)
}

// Decode decodes one request.
func Decode(data []byte) (wire.Request, error) {
	var request wire.Request
	err := cbor.Unmarshal(data, &request)
	return request, err
}

// answer carries out a request and sends the response.
func (s *Server) answer(ctx context.Context, conn *websocket.Conn, request wire.Request) {
	response := s.perform(reportToPeer(ctx, conn), request)
	data, err := cbor.Marshal(response)
	if err != nil {
		logev.InternalProblem.Log(s.log).Err(err).Send()
		return
	}
	if err := guard.Take(ctx, int64(len(data))); err != nil {
		// A peer that gets no response counts the outcome as unknown.
		_ = conn.CloseNow()
		return
	}
	defer guard.Give(ctx, int64(len(data)))
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_ = conn.Write(ctx, websocket.MessageBinary, data)
}

// reportToPeer returns a context whose calls send pings to the peer while a large
// answer arrives, so that the peer goes on waiting.
func reportToPeer(ctx context.Context, conn *websocket.Conn) context.Context {
	var sentAt atomic.Int64
	return store.OnArrival(ctx, func() {
		now := time.Now()
		if now.Before(time.Unix(0, sentAt.Load()).Add(progressInterval)) {
			return
		}
		sentAt.Store(now.UnixNano())
		go func() {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			// The peer's pong does not matter, nor does a link that has broken.
			_ = conn.Ping(ctx)
		}()
	})
}

// perform carries out a request and returns the response.
func (s *Server) perform(ctx context.Context, request wire.Request) wire.Response {
	wait := min(max(0, time.Duration(request.WaitMillis)*time.Millisecond), maxWait)
	ctx, cancel := store.WithIdleTimeout(ctx, storeTimeout+wait)
	defer cancel()
	switch request.Operation {
	case wire.Vouch:
		return testimonyResponse(request, s.witness.Vouch(request.RowVersion))
	case wire.Withdraw:
		return testimonyResponse(request, s.witness.Withdraw(request.RowVersion))
	case wire.Insert:
		return s.insert(ctx, request)
	case wire.Range:
		rows, err := s.store.Range(ctx, spanOf(request), request.Limit)
		return rowsResponse(request, rows, err)
	case wire.Changes:
		rows, err := s.store.Changes(ctx, request.Table, request.After, wait)
		return rowsResponse(request, rows, err)
	default:
		return s.refuse(request)
	}
}

func (s *Server) insert(ctx context.Context, request wire.Request) wire.Response {
	if !slices.Contains(s.insertable, request.Table) || request.Name == "" {
		return s.refuse(request)
	}
	key := store.Key{Table: request.Table, Part: request.Part, Name: request.Name}
	outcome, err := s.store.Transact(ctx, store.Change{
		Expect: []store.Row{{Key: key}}, Put: []store.Row{{Key: key, Value: request.Value}},
	})
	response := rowsResponse(request, store.Rows{Rows: outcome.Current, Version: outcome.Version, Clock: outcome.Clock}, err)
	response.Applied = outcome.Applied
	return response
}

// refuse returns the response to a request that is not relayed.
func (s *Server) refuse(request wire.Request) wire.Response {
	logev.RelayRefused.Log(s.log).Str("operation", string(request.Operation)).Str("table", request.Table).Send()
	return wire.Response{Number: request.Number, Status: wire.Invalid, Problem: errNotAllowed.Error()}
}

// Package peers connects the entry hosts: each dials every other live host and
// sends it messages over WebSocket, encoded as CBOR. It carries messages only and
// makes no decisions.
package peers

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// KeyHeader is the HTTP header that carries the peers' key.
	KeyHeader = "X-Rattanshore-Key"
	// peerPath is the path at which a host accepts links.
	peerPath        = "/peer"
	maxMessageBytes = 8 << 20
	// redialPause is the pause before a peer is dialed again.
	redialPause = 300 * time.Millisecond
	// sendTimeout limits dialing a peer and writing one message.
	sendTimeout = time.Second
)

// Hub accepts links from the peers of one host and keeps a link to each of them.
type Hub struct {
	key          string
	onMessage    func(schema.PeerMessage)
	onLinkChange func(peer string, up bool)
	encMode      cbor.EncMode

	mu    sync.Mutex
	links map[string]*link
}

// link is an outgoing connection to one peer, which is dialed again when it breaks.
type link struct {
	address netip.AddrPort
	outbox  chan schema.PeerMessage
	cancel  context.CancelFunc
}

// New returns a hub without links. onMessage is called for each received message,
// onLinkChange when an outgoing link goes up or down.
func New(key string, onMessage func(schema.PeerMessage), onLinkChange func(peer string, up bool)) (*Hub, error) {
	encMode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, err
	}
	return &Hub{key: key, onMessage: onMessage, onLinkChange: onLinkChange, encMode: encMode, links: map[string]*link{}}, nil
}

// Handler returns a handler that accepts links from peers that send the key.
func (h *Hub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+peerPath, h.accept)
	return mux
}

func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(KeyHeader)
	if subtle.ConstantTimeCompare([]byte(key), []byte(h.key)) != 1 {
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	for {
		_, data, err := conn.Read(r.Context())
		if err != nil {
			return
		}
		msg, err := Decode(data)
		if err != nil {
			return
		}
		h.onMessage(msg)
	}
}

// Decode decodes one message.
func Decode(data []byte) (schema.PeerMessage, error) {
	var msg schema.PeerMessage
	err := cbor.Unmarshal(data, &msg)
	return msg, err
}

// SetPeers replaces the set of peers: it opens links to new peers and to peers whose
// address has changed, and closes the links to all others that are not in peers.
func (h *Hub) SetPeers(ctx context.Context, peers map[string]netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, l := range h.links {
		if address, wanted := peers[id]; !wanted || address != l.address {
			l.cancel()
			delete(h.links, id)
		}
	}
	for id, address := range peers {
		if _, exists := h.links[id]; exists {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{address: address, outbox: make(chan schema.PeerMessage, 16), cancel: cancel}
		h.links[id] = l
		go h.maintain(linkCtx, id, l)
	}
}

// Send queues a message to one peer. It drops the message if the queue is full;
// that is safe because every message holds the sender's full state.
func (h *Hub) Send(id string, msg schema.PeerMessage) {
	h.mu.Lock()
	l, ok := h.links[id]
	h.mu.Unlock()
	if !ok {
		return
	}
	select {
	case l.outbox <- msg:
	default:
	}
}

// Peers returns the identifiers of the present peers.
func (h *Hub) Peers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := make([]string, 0, len(h.links))
	for id := range h.links {
		ids = append(ids, id)
	}
	return ids
}

// maintain keeps a link to a peer, dialing it again when the link breaks, until ctx
// ends.
func (h *Hub) maintain(ctx context.Context, id string, l *link) {
	for ctx.Err() == nil {
		h.runLink(ctx, id, l)
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// runLink dials a peer and sends it the queued messages until the link breaks.
func (h *Hub) runLink(ctx context.Context, id string, l *link) {
	dialCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(KeyHeader, h.key)
	conn, response, err := websocket.Dial(dialCtx, "ws://"+l.address.String()+peerPath, &websocket.DialOptions{HTTPHeader: header})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	h.onLinkChange(id, true)
	defer h.onLinkChange(id, false)
	closed := conn.CloseRead(ctx)
	for {
		select {
		case <-closed.Done():
			return
		case msg := <-l.outbox:
			if h.write(ctx, conn, msg) != nil {
				return
			}
		}
	}
}

func (h *Hub) write(ctx context.Context, conn *websocket.Conn, msg schema.PeerMessage) error {
	data, err := h.encMode.Marshal(msg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

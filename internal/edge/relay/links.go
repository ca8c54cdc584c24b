package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/rattanshore/rattanshore/internal/edge/store"
	wire "github.com/rattanshore/rattanshore/internal/wire/relay"
)

const (
	// Path is the path at which a host accepts links.
	Path = "/relay"
	// dialTimeout bounds opening a link.
	dialTimeout = 400 * time.Millisecond
	// callTimeout is how long a call through a peer may make no progress, apart from
	// its wait for changes.
	callTimeout = 700 * time.Millisecond
	// linkIdle is how long an unused link stays open.
	linkIdle = 10 * time.Second
	// maxMessageBytes bounds one message.
	maxMessageBytes = 8 << 20
	// largeMessageBytes is how much of a message arrives before the rest is progress
	// for the calls that wait behind it.
	largeMessageBytes = 16 << 10
)

// errNoPeer means that this host knows no peer.
var errNoPeer = errors.New("no peer is known")

// Links sends calls to peers. It opens a link when it is first needed.
type Links struct {
	mu    sync.Mutex
	peers []netip.AddrPort
	open  map[netip.AddrPort]*link
	// preferred is the peer through which the store has answered last.
	preferred netip.AddrPort
}

// NewLinks returns links without peers.
func NewLinks() *Links {
	return &Links{open: map[netip.AddrPort]*link{}}
}

// SetPeers replaces the addresses of the peers.
func (l *Links) SetPeers(peers []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// known returns the number of peers.
func (l *Links) known() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers)
}

// choose returns the preferred peer, or any if there is none.
func (l *Links) choose() (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.preferred.IsValid() {
		return l.preferred, true
	}
	if len(l.peers) == 0 {
		return netip.AddrPort{}, false
	}
	return l.peers[rand.IntN(len(l.peers))], true
}

// call sends a request to a peer and returns its response, or a store's error.
func (l *Links) call(ctx context.Context, request wire.Request) (response, error) {
	peer, ok := l.choose()
	if !ok {
		return response{}, errors.Mark(errNoPeer, store.ErrRefused)
	}
	ctx, cancel := store.WithIdleTimeout(ctx, callTimeout+time.Duration(request.WaitMillis)*time.Millisecond)
	defer cancel()
	answer, err := l.callPeer(ctx, peer, request)
	l.observe(peer, err)
	return response{answer}, err
}

// callPeer sends a request to one peer.
func (l *Links) callPeer(ctx context.Context, peer netip.AddrPort, request wire.Request) (wire.Response, error) {
	k := l.link(peer)
	if err := k.connect(ctx); err != nil {
		return wire.Response{}, errors.Mark(err, store.ErrRefused)
	}
	answer, err := k.roundTrip(ctx, request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if !errors.Is(err, context.Canceled) {
			k.close()
		}
		return wire.Response{}, errors.Mark(err, store.ErrUnanswered)
	}
	return answer, statusError(answer)
}

// link returns the link to a peer.
func (l *Links) link(peer netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.open[peer]
	if k == nil {
		k = newLink(peer, func() { l.remove(peer) })
		l.open[peer] = k
	}
	return k
}

func (l *Links) remove(peer netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, peer)
}

// observe prefers the peer if the store has answered through it.
func (l *Links) observe(peer netip.AddrPort, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, context.Canceled):
	case store.IsFinal(err):
		l.preferred = peer
	case l.preferred == peer:
		l.preferred = netip.AddrPort{}
	}
}

// link is a connection to one peer, opened by the first call on it.
type link struct {
	peer netip.AddrPort
	// onClose is called once when the link is closed.
	onClose func()
	// opening holds a value while no caller opens the connection.
	opening chan struct{}
	closing sync.Once
	closed  chan struct{}
	idle    *time.Timer

	mu      sync.Mutex
	conn    *websocket.Conn
	number  int64
	waiting map[int64]waitingCall
}

// waitingCall is a call that waits for its response.
type waitingCall struct {
	response chan wire.Response
	// progressed is called when the call has made progress.
	progressed func()
}

func newLink(peer netip.AddrPort, onClose func()) *link {
	k := &link{
		peer: peer, onClose: onClose, opening: make(chan struct{}, 1), closed: make(chan struct{}),
		waiting: map[int64]waitingCall{},
	}
	k.opening <- struct{}{}
	k.idle = time.AfterFunc(linkIdle, k.close)
	return k
}

// connect opens the connection unless it is open.
func (k *link) connect(ctx context.Context) error {
	select {
	case <-k.opening:
		defer func() { k.opening <- struct{}{} }()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	k.mu.Lock()
	open := k.conn != nil
	k.mu.Unlock()
	if open {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(ctx, "ws://"+k.peer.String()+Path, &websocket.DialOptions{OnPingReceived: k.handlePing})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	if err != nil {
		k.close()
		return err
	}
	conn.SetReadLimit(maxMessageBytes)
	k.mu.Lock()
	k.conn = conn
	k.mu.Unlock()
	go k.read(conn)
	return nil
}

// read hands each response to its caller until the connection breaks.
func (k *link) read(conn *websocket.Conn) {
	defer k.close()
	for {
		_, message, err := conn.Reader(context.Background())
		if err != nil {
			return
		}
		data, err := io.ReadAll(store.ReportReads(message, largeMessageBytes, k.reportProgress))
		if err != nil {
			return
		}
		var answer wire.Response
		if err := cbor.Unmarshal(data, &answer); err != nil {
			return
		}
		k.mu.Lock()
		caller := k.waiting[answer.Number]
		delete(k.waiting, answer.Number)
		k.mu.Unlock()
		if caller.response != nil {
			caller.response <- answer
		}
	}
}

// handlePing handles the sign of the peer that a large answer is arriving there. It
// returns true, so that the ping is answered.
func (k *link) handlePing(context.Context, []byte) bool {
	k.reportProgress()
	return true
}

// reportProgress reports progress to all waiting calls while a large answer arrives,
// here or at the peer: their responses come after it, if not with it.
func (k *link) reportProgress() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.waiting {
		w.progressed()
	}
}

// roundTrip sends a request and waits for its response.
func (k *link) roundTrip(ctx context.Context, request wire.Request) (wire.Response, error) {
	k.idle.Reset(linkIdle)
	caller := waitingCall{make(chan wire.Response, 1), func() { store.ReportProgress(ctx) }}
	k.mu.Lock()
	k.number++
	request.Number = k.number
	k.waiting[request.Number] = caller
	conn := k.conn
	k.mu.Unlock()
	data, err := cbor.Marshal(request)
	if err != nil {
		return wire.Response{}, err
	}
	defer k.forget(request.Number)
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return wire.Response{}, err
	}
	select {
	case answer := <-caller.response:
		return answer, nil
	case <-k.closed:
		return wire.Response{}, errors.Newf("link to %s was closed", k.peer)
	case <-ctx.Done():
		return wire.Response{}, context.Cause(ctx)
	}
}

// forget removes a call that waits no more.
func (k *link) forget(number int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, number)
}

// close closes the link. Calls on it end without an answer.
func (k *link) close() {
	k.closing.Do(func() {
		k.onClose()
		close(k.closed)
		k.idle.Stop()
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.conn != nil {
			_ = k.conn.CloseNow()
		}
	})
}

package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkMode says what a link does with what passes.
type linkMode int

const (
	linkPasses linkMode = iota
	// linkDelays holds everything back for a while.
	linkDelays
	// linkSilent lets nothing through, without a reset.
	linkSilent
	// linkOneWay lets calls through and no answers.
	linkOneWay
	// linkResets ends connections, and new ones at once.
	linkResets
)

// linkDelay is how long a link that delays holds each piece back.
const linkDelay = 150 * time.Millisecond

// link is a loopback proxy to one address.
type link struct {
	address netip.AddrPort
	target  netip.AddrPort

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]struct{}
}

func newLink(target netip.AddrPort) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{
		address: netip.MustParseAddrPort(listener.Addr().String()),
		target:  target,
		conns:   map[net.Conn]struct{}{},
	}
	go l.accept(listener)
	return l, nil
}

// set changes what the link does. Resets end what is open.
func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode != linkResets {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) now() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		if l.now() == linkResets {
			_ = near.Close()
			continue
		}
		far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		l.track(near, far)
		go l.copy(far, near, false)
		go l.copy(near, far, true)
	}
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
}

// copy passes bytes on. What a silent link has swallowed is lost for good, so
// the connection never delivers anything after it.
func (l *link) copy(to, from net.Conn, answers bool) {
	defer l.drop(to, from)
	buffer := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(buffer)
		mode := l.now()
		if mode == linkDelays {
			time.Sleep(linkDelay)
		}
		broken = broken || n > 0 && (mode == linkSilent || mode == linkOneWay && answers)
		if n > 0 && !broken {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

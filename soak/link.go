package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkMode selects what a link does with its traffic.
type linkMode int

const (
	// linkNormal forwards everything.
	linkNormal linkMode = iota
	// linkDelayed forwards everything after linkDelay.
	linkDelayed
	// linkBlackhole drops everything and keeps connections open.
	linkBlackhole
	// linkOneWay forwards requests and drops responses.
	linkOneWay
	// linkReset closes all connections, and new ones at once.
	linkReset
)

// linkDelay is how long linkDelayed holds back each chunk of data.
const linkDelay = 150 * time.Millisecond

// link is a TCP proxy on loopback to one address.
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

// setMode changes the link's mode. linkReset closes all open connections.
func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if mode != linkReset {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) currentMode() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if l.currentMode() == linkReset {
			_ = client.Close()
			continue
		}
		upstream, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		l.track(client, upstream)
		go l.copy(upstream, client, false)
		go l.copy(client, upstream, true)
	}
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
}

// copy forwards bytes from src to dst. Once it has dropped any, it never forwards
// again, since the stream would have a gap.
func (l *link) copy(dst, src net.Conn, responses bool) {
	defer l.closeConns(dst, src)
	buffer := make([]byte, 32<<10)
	blackholed := false
	for {
		n, err := src.Read(buffer)
		mode := l.currentMode()
		if mode == linkDelayed {
			time.Sleep(linkDelay)
		}
		blackholed = blackholed || n > 0 && (mode == linkBlackhole || mode == linkOneWay && responses)
		if n > 0 && !blackholed {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// closeConns closes connections and stops tracking them.
func (l *link) closeConns(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

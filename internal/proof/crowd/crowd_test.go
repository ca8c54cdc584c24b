// Package crowd_test runs hosts as processes on loopback addresses and sets crowds of
// callers on them that do not behave. Whatever a crowd does, the process lives, its memory
// and its descriptors stay within those of a machine, and an ordinary request is answered
// while the crowd holds its connections.
package crowd_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	megabyte = 1 << 20
	// leaderMemoryMB is what the leader of 3,000 workers holds. What is left of a machine
	// is what callers may add.
	leaderMemoryMB = 184
	addedBytes     = (machineMemoryMB - leaderMemoryMB) * megabyte
	// fileDescriptors are reserved for files on the users' machines.
	fileDescriptors = 200
	// sendTimeout ends a caller whose host does not read, settleTime lets the host handle
	// what has arrived.
	sendTimeout = 10 * time.Second
	settleTime  = 1500 * time.Millisecond
)

// crowd is a number of callers that each send the same bytes and then hold their connection
// open without reading from it.
type crowd struct {
	name     string
	listener string
	callers  int
	payload  []byte
	// dialing is the number of callers that connect at the same time.
	dialing int
}

const post = "POST /quotes/%016x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token key\r\n"

// head returns the head of a request that ends short of its empty line, with lines up to a
// size. line returns the n-th line.
func head(size int, line func(n int) string) []byte {
	var out bytes.Buffer
	out.WriteString("GET / HTTP/1.1\r\nHost: desk.example\r\n")
	for n := 0; out.Len() < size; n++ {
		out.WriteString(line(n))
	}
	return out.Bytes()[:size]
}

func distinctLine(n int) string { return fmt.Sprintf("%x:\n", n) }
func sameLine(int) string       { return "a:\n" }

// body returns a request with a body of the given length that lacks its last byte.
func body(requestLine string, size int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n{\"spec\":\"%s", requestLine, size, strings.Repeat("x", size-10))
}

// chunkedBody returns the same in pieces of 1 KB.
func chunkedBody(requestLine string, size int) []byte {
	out := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\nc\r\n{\"spec\":\"abc\r\n", requestLine)
	for range size/1024 - 1 {
		out = fmt.Appendf(out, "400\r\n%s\r\n", strings.Repeat("x", 1024))
	}
	return out
}

// wholeList returns a request whose body is a list of very many empty objects.
func wholeList(requestLine, begin, end string, size int) []byte {
	text := begin + strings.TrimSuffix(strings.Repeat("{},", (size-len(begin)-len(end))/3), ",") + end
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", requestLine, len(text), text)
}

// longMessage returns a WebSocket handshake and a message that lacks its last byte.
func longMessage(path string, size int) []byte {
	out := []byte("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\x82\xff")
	out = binary.BigEndian.AppendUint64(out, uint64(size))
	return append(out, make([]byte, 4+size-1)...)
}

const (
	callRequest   = "POST /v1/call HTTP/1.1\r\nHost: a\r\n"
	configRequest = "PUT /v1/config HTTP/1.1\r\nHost: a\r\nX-Rattanshore-Key: desk-key\r\n"
)

// heads are the crowds that send only heads, to any listener.
func heads(listener string) []crowd {
	return []crowd{
		{name: "lines of distinct names", listener: listener, callers: 40, payload: head(megabyte, distinctLine)},
		{name: "lines of one name", listener: listener, callers: 100, payload: head(megabyte, sameLine)},
		{name: "short heads of odd lines", listener: listener, callers: 1000, payload: head(15<<10, distinctLine)},
	}
}

// endless are crowds that send parts of a request without end.
func endless(listener string) []crowd {
	const size = 2 * megabyte
	first := func(text, repeated string) []byte { return []byte(text + strings.Repeat(repeated, size/len(repeated))) }
	chunked := fmt.Sprintf(post, 1) + "Transfer-Encoding: chunked\r\n\r\n"
	return []crowd{
		{name: "a header line without end", listener: listener, callers: 200, payload: first("GET / HTTP/1.1\r\nHost: a\r\nA: ", "x")},
		{name: "empty lines without end", listener: listener, callers: 200, payload: first("", "\r\n")},
		{name: "a chunk extension without end", listener: listener, callers: 100, payload: first(chunked+"1;", "x")},
		{name: "trailers without end", listener: listener, callers: 100, payload: first(chunked+"0\r\n", "a:\r\n")},
		{name: "requests whose answers nobody reads", listener: listener, callers: 100, payload: first("", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")},
	}
}

// fleetCrowds are the crowds against a host that serves with --fleet. Bodies are of the
// largest size that the configuration allows.
func fleetCrowds() []crowd {
	const size = 262144
	request := fmt.Sprintf(post, 1)
	steps := func(begin, step, end string) []byte {
		return []byte(begin + strings.TrimSuffix(strings.Repeat(step+",", (size-len(begin)-len(end))/(len(step)+1)), ",") + end)
	}
	after := steps(`{"steps":[{"count":1,"after":[`, "0", "]}]}")
	all := append(heads("callers"), endless("callers")...)
	return append(all,
		crowd{name: "bodies short of their last byte", listener: "callers", callers: 1000, payload: body(request, size)},
		crowd{name: "bodies piece by piece", listener: "callers", callers: 1000, payload: chunkedBody(request, size)},
		crowd{name: "bodies of very many empty steps", listener: "callers", callers: 30, payload: wholeList(request, `{"steps":[`, "]}", size)},
		crowd{name: "a body with a long list of dependencies", listener: "callers", callers: 100,
			payload: fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", request, len(after), after)},
		crowd{name: "messages short of their last byte", listener: "peers", callers: 60, payload: longMessage("/relay", 8*megabyte-1)},
	)
}

// entryCrowds are the crowds against a host that serves the product's own interface.
func entryCrowds() []crowd {
	all := append(heads("callers"), endless("callers")...)
	return append(all,
		crowd{name: "bodies short of their last byte", listener: "callers", callers: 300, payload: body(callRequest, megabyte)},
		crowd{name: "bodies piece by piece", listener: "callers", callers: 300, payload: chunkedBody(callRequest, megabyte)},
		crowd{name: "documents of very many empty teams", listener: "operators", callers: 30,
			payload: wholeList(configRequest, `{"document":{"teams":[`, "]}}", megabyte)},
	)
}

// TestCrowdFleet sets each crowd on a new host of a platform.
func TestCrowdFleet(t *testing.T) {
	for _, c := range fleetCrowds() {
		t.Run(c.name, func(t *testing.T) { c.press(t, startHost(t, "fleet", machineDescriptors)) })
	}
}

// TestCrowdEntry sets each crowd on a new host of the product's own interface.
func TestCrowdEntry(t *testing.T) {
	for _, c := range entryCrowds() {
		t.Run(c.name, func(t *testing.T) { c.press(t, startHost(t, "serve", machineDescriptors)) })
	}
}

// TestCrowdOtherListeners sets heads on the listeners that are not for callers.
func TestCrowdOtherListeners(t *testing.T) {
	for _, l := range []struct{ way, listener string }{
		{"fleet", "ready"}, {"fleet", "peers"}, {"serve", "operators"}, {"serve", "peers"},
	} {
		for _, c := range heads(l.listener) {
			t.Run(l.way+"/"+l.listener+"/"+c.name, func(t *testing.T) { c.press(t, startHost(t, l.way, machineDescriptors)) })
		}
	}
}

// TestCrowdUnreadLists asks a host for long lists that nobody reads: 5 MB each.
func TestCrowdUnreadLists(t *testing.T) {
	p := startHost(t, "serve", machineDescriptors)
	const jobs = 200
	p.submitJobs(t, jobs, 25_000)
	if n := p.countJobs(t); n != jobs {
		t.Errorf("a list that is read has %d of %d jobs", n, jobs)
	}
	p.idleBytes = p.memory(t, "VmRSS")
	crowd{listener: "callers", callers: 40, payload: []byte("GET /v1/jobs HTTP/1.1\r\nHost: a\r\n\r\n")}.press(t, p)
}

// TestCrowdCalm guards against limits that refuse a large call when there is no crowd.
func TestCrowdCalm(t *testing.T) {
	p := startHost(t, "serve", machineDescriptors)
	if err := p.call(t.Context(), "run-for=5ms "+strings.Repeat("x", megabyte-300)); err != nil {
		t.Error(err)
	}
}

// TestCrowdOneAfterTheOther guards against memory that stays with the process after a
// crowd, so that the next one of another form comes on top.
func TestCrowdOneAfterTheOther(t *testing.T) {
	for way, crowds := range map[string][]crowd{"fleet": fleetCrowds(), "serve": entryCrowds()} {
		t.Run(way, func(t *testing.T) {
			p := startHost(t, way, machineDescriptors)
			for _, c := range crowds {
				c.press(t, p)
			}
		})
	}
}

// TestCrowdBesideLeader guards against callers that take the memory or the descriptors of
// what a leader needs for its workers: all must fit the machine together.
func TestCrowdBesideLeader(t *testing.T) {
	const workers = 3000
	p := &process{}
	p.startFleet(t, machineDescriptors, workers)
	p.waitAnswered(t)
	for end := time.Now().Add(time.Minute); p.descriptors() < workers && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d MB with %d descriptors before the crowds", p.memory(t, "VmRSS")/megabyte, p.descriptors())
	for _, c := range fleetCrowds() {
		_, most := c.send(t, p)
		p.waitAnswered(t)
		memory := p.memory(t, "VmHWM")
		t.Logf("%d MB at most, %d descriptors: %s", memory/megabyte, most, c.name)
		if memory > machineMemoryMB*megabyte {
			t.Errorf("%s: the process took %d MB, the machine has %d MB", c.name, memory/megabyte, machineMemoryMB)
		}
		if bound := machineDescriptors - fileDescriptors; most > bound {
			t.Errorf("%s: the process had %d descriptors open, the bound is %d", c.name, most, bound)
		}
	}
}

// TestCrowdIdleConnections guards against connections that take the descriptors of the
// host's own calls, and keep ordinary callers out by holding all that callers may have.
func TestCrowdIdleConnections(t *testing.T) {
	const descriptors = 1024
	for _, l := range []struct{ way, listener string }{
		{"fleet", "callers"}, {"fleet", "ready"}, {"fleet", "peers"},
		{"serve", "callers"}, {"serve", "operators"}, {"serve", "peers"},
	} {
		t.Run(l.way+"/"+l.listener, func(t *testing.T) {
			p := startHost(t, l.way, descriptors)
			crowd{listener: l.listener, callers: 1500, dialing: 50}.press(t, p)
		})
	}
}

// press sets the crowd on the host and checks what must hold while its connections are
// held.
func (c crowd) press(t *testing.T, p *process) {
	t.Helper()
	conns, most := c.send(t, p)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	p.waitAnswered(t)
	if !p.alive() {
		t.Fatal("the process has ended")
	}
	added := p.memory(t, "VmHWM") - p.idleBytes
	t.Logf("%d MB idle, %d MB more at most, %d descriptors", p.idleBytes/megabyte, added/megabyte, most)
	if added > addedBytes {
		t.Errorf("%s: the process took %d MB more, the bound is %d MB", c.name, added/megabyte, addedBytes/megabyte)
	}
	if bound := p.maxDescriptors - fileDescriptors; most > bound {
		t.Errorf("%s: the process had %d descriptors open, the bound is %d", c.name, most, bound)
	}
}

// send sends what the crowd sends, and returns its connections and the largest number of
// descriptors that the process had open.
func (c crowd) send(t *testing.T, p *process) (conns []net.Conn, most int) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	dialing := make(chan struct{}, max(c.dialing, 200))
	for range c.callers {
		dialing <- struct{}{}
		wg.Go(func() {
			conn := connect(p.listeners[c.listener])
			<-dialing
			if conn == nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			// The host may close the connection at any point.
			_, _ = io.Copy(conn, bytes.NewReader(c.payload))
		})
		most = max(most, p.descriptors())
	}
	wg.Wait()
	time.Sleep(settleTime)
	return conns, max(most, p.descriptors())
}

// connect opens a connection, or returns nil if the host does not take it.
func connect(address netip.AddrPort) net.Conn {
	conn, err := net.DialTimeout("tcp", address.String(), sendTimeout)
	if err != nil {
		return nil
	}
	// Answers that nobody reads stay with the host.
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	return conn
}

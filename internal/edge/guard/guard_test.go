package guard_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/edge/guard"
)

const (
	maxConnections = 4
	maxBody        = 64 << 10
	timeout        = 5 * time.Second
)

// counts counts what a guard reports, by reason.
type counts struct {
	mu              sync.Mutex
	closed, refused map[guard.Reason]int
}

func (c *counts) Closed(r guard.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[r]++
}

func (c *counts) Refused(r guard.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[r]++
}

// testServer answers each request with the size of its body. Requests to /wait are answered
// when release is closed.
type testServer struct {
	guard   *guard.Guard
	counts  *counts
	address string
	// waiting has a value for each request to /wait that is being handled.
	waiting, release chan struct{}
}

func newTestServer(t *testing.T, memory int64) *testServer {
	s := &testServer{
		counts:  &counts{closed: map[guard.Reason]int{}, refused: map[guard.Reason]int{}},
		waiting: make(chan struct{}, maxConnections), release: make(chan struct{}),
	}
	s.guard = guard.New(guard.Limits{
		Connections: func() int { return maxConnections }, MemoryBytes: memory, HeadBytes: 16 << 10,
		Request: func() guard.RequestLimits { return guard.RequestLimits{HeadBytes: 8 << 10} },
	}, s.counts)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: timeout, IdleTimeout: timeout}
	s.guard.Protect(server)
	go func() { _ = server.Serve(s.guard.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	data, err := guard.ReadBody(r, maxBody)
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		s.waiting <- struct{}{}
		<-s.release
	}
	_, _ = fmt.Fprint(w, len(data))
}

// open opens a connection and sends the text.
func (s *testServer) open(g *WithT, text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	return conn
}

// status returns the status of the next answer, or 0 if the connection was closed.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

const ordinary = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against idle connections that keep ordinary callers out.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, 1<<20)
	var idle []net.Conn
	for range maxConnections {
		idle = append(idle, s.open(g, ordinary))
		g.Expect(status(idle[len(idle)-1])).To(Equal(http.StatusOK))
	}
	g.Expect(status(s.open(g, ordinary))).To(Equal(http.StatusOK))
	_, err := idle[0].Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF), "the connection that was idle longest")
	g.Expect(s.counts.closed).To(Equal(map[guard.Reason]int{guard.Connections: 1}))
}

// Guards against bodies that stop short of their end and hold all the memory.
func TestTheLargestMakesRoom(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, 160<<10)
	stopped := s.open(g, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("x", 29_000))
	g.Eventually(func() int64 { _, n := s.guard.Usage(); return n }, timeout).Should(BeNumerically(">", 40_000))
	large := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20_000)
	g.Expect(status(s.open(g, large))).To(Equal(http.StatusOK))
	g.Expect(status(stopped)).To(BeZero())
}

// Guards against a request that is cut off while it is handled: its caller would not know
// whether it has run. New callers are told that theirs has not.
func TestRequestsInProgressAreKept(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, 1<<20)
	var waiting []net.Conn
	for range maxConnections {
		waiting = append(waiting, s.open(g, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"))
		g.Eventually(s.waiting, timeout).Should(Receive())
	}
	response, err := http.ReadResponse(bufio.NewReader(s.open(g, "")), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Retry-After")).To(Equal("1"))
	close(s.release)
	for _, conn := range waiting {
		g.Expect(status(conn)).To(Equal(http.StatusOK))
	}
	g.Expect(s.counts.closed).To(BeEmpty())
}

// Guards against large requests that keep small ones out for as long as they are handled.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, 400<<10)
	large := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n%s", path, strings.Repeat("x", 60_000))
	}
	for range 2 {
		s.open(g, large("/wait"))
		g.Eventually(s.waiting, timeout).Should(Receive())
	}
	g.Expect(status(s.open(g, large("/")))).To(Equal(http.StatusServiceUnavailable))
	g.Expect(status(s.open(g, ordinary))).To(Equal(http.StatusOK))
	close(s.release)
}

// Guards against memory that is taken and not given back.
func TestAllIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, 1<<20)
	for _, text := range []string{
		ordinary,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n" + strings.Repeat("x", 30_000),
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\nhalf",
		"GET / HTTP/1.1\r\nHost: a\r\nhal",
		"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 9<<10) + "\r\n\r\n",
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", maxBody+1),
	} {
		conn := s.open(g, text)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	g.Eventually(func() [2]int64 {
		n, bytes := s.guard.Usage()
		return [2]int64{int64(n), bytes}
	}, timeout).Should(Equal([2]int64{}))
}

// Guards against requests above a limit that are handled, and those within it that are not.
func TestLimitsOfOneRequest(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, 4<<20)
	post := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	}
	head := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", size) + "\r\n\r\n"
	}
	for text, want := range map[string]int{
		post(maxBody):     http.StatusOK,
		post(maxBody + 1): http.StatusRequestEntityTooLarge,
		head(7 << 10):     http.StatusOK,
		head(9 << 10):     http.StatusRequestHeaderFieldsTooLarge,
		head(32 << 10):    http.StatusRequestHeaderFieldsTooLarge,
		strings.Replace(post(maxBody), "Host", "A: "+strings.Repeat("x", 9<<10)+"\r\nHost", 1): http.StatusRequestHeaderFieldsTooLarge,
	} {
		g.Expect(status(s.open(g, text))).To(Equal(want), "%.80q", text)
	}
}

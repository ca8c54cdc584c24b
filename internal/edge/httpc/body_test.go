package httpc_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/edge/httpc"
)

func TestACallerThatStopsMidwayIsCutOff(t *testing.T) {
	g := NewWithT(t)
	const timeout = 200 * time.Millisecond
	server := httptest.NewServer(httpc.LimitBodyTime(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}), timeout))
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	begin := time.Now()
	_, err = io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred(), "the connection was still open")
	g.Expect(time.Since(begin)).To(BeNumerically("<", 2*time.Second))
}

func TestAHandlerMayTakeLongerThanTheBody(t *testing.T) {
	g := NewWithT(t)
	const timeout = 100 * time.Millisecond
	server := httptest.NewServer(httpc.LimitBodyTime(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		select {
		case <-r.Context().Done():
			t.Error("the handler was cancelled")
		case <-time.After(4 * timeout):
		}
	}), timeout))
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
	}
}

package fleet_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/platform"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// keyAge is more than two waits for a change of the configuration, each of which
// confirms the configuration as of its begin, and less than the test lasts.
const keyAge = 2600 * time.Millisecond

// storePath is one host's way to the store, which a test can cut.
type storePath struct {
	address netip.AddrPort
	// refusing makes the store turn the host away, silent leaves its calls
	// unanswered.
	refusing, silent atomic.Bool
}

func newStorePath(p *fake.Platform) *storePath {
	s := &storePath{}
	ended := make(chan struct{})
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: p.Address().String()})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case s.refusing.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case s.silent.Load():
			<-ended
		default:
			proxy.ServeHTTP(w, r)
		}
	}))
	DeferCleanup(func() {
		close(ended)
		server.Close()
	})
	s.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return s
}

// registered reports whether a host has written its row, which it does once it has read
// those of its peers.
func registered(p *fake.Platform, name string) func() bool {
	reader := platform.NewStore(p.Address(), "test")
	return func() bool {
		rows, err := reader.Range(context.Background(), store.Span{Table: "hosts", Part: "hosts"}, 10)
		return err == nil && slices.ContainsFunc(rows.Rows, func(r store.Row) bool { return r.Key.Name == name })
	}
}

// A host that cannot reach the store goes on serving callers through a peer.
var _ = Describe("a host without a way to the store", func() {
	var (
		p      *fake.Platform
		caller fake.Caller
		path   *storePath
		cut    *testHost
		peer   *testHost
	)
	ctx := context.Background()
	submit := func(h *testHost, number int) int {
		job := newJob(p, number)
		status, _ := caller.Call(ctx, h.callers, http.MethodPost, job.ID, fake.Submission(job), callTimeout)
		return status
	}
	configure := func(version int64, key string) {
		p.Configure(rules.Config{
			Version: version, Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: "bells", EnforcesCapacity: true}},
			Teams: []rules.Team{{Name: "parish", Keys: []string{key}, Guaranteed: 8}},
		})
	}

	BeforeEach(func() {
		var err error
		p, err = fake.New(1, 300*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		caller = fake.Caller{Queue: queue, Key: "key-1", HTTP: &http.Client{}}
		configure(1, "key-1")
		Expect(p.AddWorkers(6, "bells", "hall-a", "hall-b")).To(Succeed())
		// The peer leads from the start.
		peer = startHost(p, "peer")
		Eventually(func() int { return submit(peer, 1) }, 5*time.Second).Should(Equal(http.StatusOK))
		// A host that loses the store before it has read its peers' rows, within some
		// 20 ms of its start, has nobody to ask and can only refuse.
		Eventually(registered(p, "peer"), 5*time.Second, 5*time.Millisecond).Should(BeTrue())
		path = newStorePath(p)
		cut = startHostWithStore(path.address, "cut", keyAge)
		Eventually(func() int { return submit(cut, 2) }, 5*time.Second).Should(Equal(http.StatusOK))
		Eventually(registered(p, "cut"), 5*time.Second, 5*time.Millisecond).Should(BeTrue())
	})

	AfterEach(func() {
		p.WithLock(func() { Expect(p.Pool.Problems()).To(BeEmpty()) })
	})

	DescribeTable("takes jobs, shows their states and cancels them through a peer", func(fault func(*storePath)) {
		fault(path)
		// A call that must not run twice gets no second try after an unknown
		// outcome, so the very first one has to succeed.
		Expect(submit(cut, 3)).To(Equal(http.StatusOK))
		// The configuration is confirmed through the peer as well.
		deadline := time.Now().Add(keyAge + time.Second)
		for number := 4; time.Now().Before(deadline); number++ {
			Expect(submit(cut, number)).To(Equal(http.StatusOK))
			time.Sleep(100 * time.Millisecond)
		}
		id := newJob(p, 3).ID
		Eventually(func() string {
			s, _ := caller.State(ctx, cut.callers, id, callTimeout)
			return s
		}, 4*time.Second).Should(Equal("completed"))
		long := newJob(p, 100)
		Expect(submit(cut, 100)).To(Equal(http.StatusOK))
		status, _ := caller.Call(ctx, cut.callers, http.MethodDelete, long.ID, nil, callTimeout)
		Expect(status).To(Equal(http.StatusOK))
	},
		Entry("while the store turns it away", func(s *storePath) { s.refusing.Store(true) }),
		Entry("while its calls get no answer", func(s *storePath) { s.silent.Store(true) }),
	)

	It("refuses a key that is revoked meanwhile", func() {
		path.refusing.Store(true)
		Expect(submit(cut, 3)).To(Equal(http.StatusOK))
		configure(2, "key-2")
		Eventually(func() int { return submit(cut, 4) }, 2*time.Second).Should(Equal(http.StatusUnauthorized))
	})

	It("refuses what no peer can store", func() {
		path.refusing.Store(true)
		p.Store.SetFaults(fake.StoreFaults{Refuse: true})
		for range 5 {
			begin := time.Now()
			Expect(submit(cut, 3)).To(Equal(http.StatusServiceUnavailable))
			// The caller can come back soon only if it is refused soon.
			Expect(time.Since(begin)).To(BeNumerically("<", 600*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
		p.Store.SetFaults(fake.StoreFaults{})
		id := newJob(p, 3).ID
		Consistently(func() bool {
			started := false
			p.WithLock(func() { _, started = p.Pool.FirstStart(id) })
			return started
		}, time.Second).Should(BeFalse())
	})
})

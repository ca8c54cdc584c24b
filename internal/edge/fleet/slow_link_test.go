package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// newLink returns the address at which a host reaches the store over a link of its
// own.
func newLink(p *fake.Platform, bytesPerSecond int) netip.AddrPort {
	server := httptest.NewServer(fake.NewLink(p.Store, bytesPerSecond))
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// grownConfig returns a configuration with the queue of the tests, others besides and
// one key.
func grownConfig(version int64, others int, key string) rules.Config {
	config := rules.Config{
		Version: version, Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: queue.Target, EnforcesCapacity: true}},
		Teams: []rules.Team{{Name: "parish", Keys: []string{key}}},
	}
	for i := range others {
		config.Queues = append(config.Queues, rules.Queue{
			Name: fmt.Sprintf("queue-%d", i), Host: "other.example", Prefix: fmt.Sprintf("/queue-%d/", i),
			Target: queue.Target, Objective: time.Second,
		})
	}
	return config
}

var _ = Describe("a host on a slow link", func() {
	// manyQueues makes an answer with the configuration 380 KB long.
	const manyQueues = 1500
	// inForceWithin is how soon a configuration must be in force.
	const inForceWithin = 4 * time.Second

	// startOn starts a host on a link, and returns a function that calls it with a key.
	startOn := func(p *fake.Platform, bytesPerSecond int) func(key string) func() int {
		Expect(p.AddWorkers(4, queue.Target, "hall-a")).To(Succeed())
		p.Configure(grownConfig(1, 0, "key-1"))
		host := startHostWithStore(newLink(p, bytesPerSecond), "host-1", keyAge)
		return func(key string) func() int {
			caller := fake.Caller{Queue: queue, Key: key, HTTP: &http.Client{}}
			return func() int {
				code, _ := caller.Call(context.Background(), host.callers, http.MethodGet, "", nil, callTimeout)
				return code
			}
		}
	}

	var p *fake.Platform
	BeforeEach(func() {
		var err error
		p, err = fake.New(1, 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
	})

	// Guards against a host that refuses all calls for good, since it never receives
	// the whole configuration while it repeats its reads.
	It("serves callers after the configuration has grown", func() {
		status := startOn(p, 200_000)
		Eventually(status("key-1"), inForceWithin).Should(Equal(http.StatusOK))
		for version := 2; version < 5; version++ {
			key := fmt.Sprintf("key-%d", version)
			p.Configure(grownConfig(int64(version), manyQueues, key))
			Eventually(status(key), inForceWithin).Should(Equal(http.StatusOK))
		}
	})

	// Guards against a host that has the newest configuration and refuses all calls
	// until its next wait for a change is over, since it asked for it long ago.
	It("serves callers as soon as a configuration that took long has arrived", func() {
		status := startOn(p, 127_000)
		Eventually(status("key-1"), inForceWithin).Should(Equal(http.StatusOK))
		p.Configure(grownConfig(2, manyQueues, "key-2"))
		Eventually(status("key-2"), inForceWithin).Should(Equal(http.StatusOK))
	})

	// Guards against a leader that never plans, since each load of the stored state is
	// given up while the rows still arrive.
	It("plans although the stored jobs take long to load", func() {
		const jobs = 220
		const loadedWithin = 20 * time.Second
		for number := range jobs {
			job := newJob(p, number+1)
			job.Queue, job.Team, job.SubmittedAt = queue.Name, "parish", time.Now()
			job.Payload = strings.Repeat("x", 4000)
			value, err := cbor.Marshal(job)
			Expect(err).NotTo(HaveOccurred())
			p.Store.Put("jobs", job.ID, value)
		}
		startOn(p, 150_000)
		progress := func() int { return len(p.Store.Rows("progress")) }
		Eventually(progress, loadedWithin, 100*time.Millisecond).Should(BeNumerically(">", 0))
	})
})

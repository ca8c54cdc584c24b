package fleet_test

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/platform/fake"
)

var _ = Describe("hosts beside entries of another writer", func() {
	// Guards against odd entries among those of the workers, with which every leader stores a
	// roster that no row holds and gives its term up, or sees no sound worker any more.
	It("start jobs on the sound workers", func() {
		p, err := fake.New(1, 300*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		p.Configure(rules.Config{
			Version: 1, Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: "bells", EnforcesCapacity: true}},
			Teams: []rules.Team{{Name: "parish", Keys: []string{"key-1"}}},
		})
		Expect(p.AddWorkers(6, "bells", "hall-a")).To(Succeed())
		long := make([]byte, 45000)
		_, err = rand.Read(long)
		Expect(err).NotTo(HaveOccurred())
		const entry = `{"service":"bells","addr":%s,"zone":"%s","state":"ready","labels":["a"],"born":%s,"capacity":{"cpu":%s,"mem_mb":1,"gpu":8}}`
		for i := range 40 {
			for name, odd := range map[string]string{
				"long":   fmt.Sprintf(entry, `"127.0.0.1:1"`, base64.StdEncoding.EncodeToString(long), "1", "1"),
				"port":   fmt.Sprintf(entry, `"127.0.0.1:99999"`, "hall-a", "1", "1"),
				"huge":   fmt.Sprintf(entry, `"127.0.0.1:1"`, "hall-a", "1e99", "9e18"),
				"nested": strings.Repeat("[", 30000),
				"types":  `{"service":7,"addr":{},"capacity":"all"}`,
			} {
				p.Store.Put("servers", fmt.Sprintf("%s-%d", name, i), []byte(odd))
			}
		}
		h := startHost(p, "one")
		caller := fake.Caller{Queue: queue, Key: "key-1", HTTP: &http.Client{}}
		job := newJob(p, 1)
		Eventually(func() int {
			status, _ := caller.Call(context.Background(), h.callers, http.MethodPost, job.ID, fake.Submission(job), callTimeout)
			return status
		}, 5*time.Second).Should(Equal(http.StatusOK))
		Eventually(func() string {
			state, _ := caller.State(context.Background(), h.callers, job.ID, callTimeout)
			return state
		}, 10*time.Second).Should(Equal("completed"))
	})
})

package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// Guards against calls inside the configuration's limits that are refused, and calls beyond
// them that are read.
var _ = It("serves calls up to the limits of the configuration", func() {
	// headerBytes and bodyBytes are the limits that the fake platform sets.
	const headerBytes, bodyBytes = 16384, 262144
	p, err := fake.New(1, 100*time.Millisecond)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	p.Configure(rules.Config{
		Version: 1, Queues: []rules.Queue{queue}, Teams: []rules.Team{{Name: "parish", Keys: []string{"key"}}},
		Targets: []rules.Target{{Name: queue.Target, EnforcesCapacity: true}},
	})
	h := startHost(p, "a")
	number := 0
	// submit submits a job in a body of the given size, and with that many bytes of header
	// lines beside those of the client.
	submit := func(body, header int) int {
		number++
		text := `{"spec":"bell","steps":[{"count":1,"cpu":500,"estimate_ms":900}]`
		text += strings.Repeat(" ", body-len(text)-1) + "}"
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/quotes/%016x", h.callers, number), strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		request.Host = queue.Host
		request.Header.Set("Authorization", "Token key")
		request.Header.Set("X-Trace", strings.Repeat("x", header))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	Eventually(func() int { return submit(100, 0) }, 10*time.Second).Should(Equal(http.StatusOK))
	Expect(submit(bodyBytes, 0)).To(Equal(http.StatusOK))
	Expect(submit(bodyBytes+1, 0)).To(Equal(http.StatusRequestEntityTooLarge))
	Expect(submit(100, headerBytes-1000)).To(Equal(http.StatusOK))
	Expect(submit(100, headerBytes)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	Expect(submit(100, 0)).To(Equal(http.StatusOK))
})

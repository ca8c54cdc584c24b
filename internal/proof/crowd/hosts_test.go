package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/fakes/site"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/proof/inproc"
	"github.com/rattanshore/rattanshore/internal/wire/record"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
	"github.com/rattanshore/rattanshore/platform/fake"
)

const (
	// machineMemoryMB and machineDescriptors are those of a small machine of the users.
	machineMemoryMB    = 284
	machineDescriptors = 4100
	// requestTimeout bounds one ordinary request.
	requestTimeout = 5 * time.Second
)

// startHost starts a host in one of the two ways to run: "serve" or "fleet".
func startHost(t *testing.T, way string, descriptors int) *process {
	t.Helper()
	p := &process{}
	if way == "fleet" {
		p.startFleet(t, descriptors, 4)
	} else {
		p.startEntry(t, descriptors)
	}
	p.waitAnswered(t)
	p.idleBytes = p.memory(t, "VmRSS")
	return p
}

const fleetSettings = `host: {id: front-1, failure-domain: hall-a}
listen: {callers: %s, ready: %s, peers: %s}
store: %s
memory-mb: %d
descriptors: %d
`

var queue = rules.Queue{
	Name: "quotes", Host: "desk.example", Prefix: "/quotes/", Target: "bells",
	Stretch: 2, Objective: time.Second, Timeout: 3 * time.Second,
}

// startFleet starts a host that serves with --fleet, alone, beside a fake platform with the
// given number of workers.
func (p *process) startFleet(t *testing.T, descriptors, workers int) {
	t.Helper()
	platform, err := fake.New(1, 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	if err := platform.AddWorkers(workers, queue.Target, "hall-a", "hall-b"); err != nil {
		t.Fatal(err)
	}
	platform.Configure(rules.Config{
		Version: 1, Queues: []rules.Queue{queue}, Teams: []rules.Team{{Name: "parish", Keys: []string{"key"}}},
		Targets: []rules.Target{{Name: queue.Target, EnforcesCapacity: true}},
	})
	p.listeners = map[string]netip.AddrPort{"callers": freeAddress(t), "ready": freeAddress(t), "peers": freeAddress(t)}
	p.start(t, descriptors, fmt.Sprintf(fleetSettings, p.listeners["callers"], p.listeners["ready"], p.listeners["peers"],
		platform.Address(), machineMemoryMB, descriptors), "serve", "--fleet")
	var number atomic.Int64
	p.ask = func(ctx context.Context) error {
		if err := getOK(ctx, p.listeners["ready"], "/rattanshore/ready"); err != nil {
			return err
		}
		if err := getOK(ctx, p.listeners["peers"], "/metrics"); err != nil {
			return err
		}
		job := record.Job{ID: fmt.Sprintf("%016x", number.Add(1)), Team: "parish", Payload: "bell", Steps: []record.Step{{
			Tasks: 2, Gang: true, EstimateMillis: 100, Need: record.Amount{MilliCores: 1000, Accelerators: 1},
		}}}
		platform.RegisterJob(job)
		caller := fake.Caller{Queue: queue, Key: "key", HTTP: newClient()}
		if status, _ := caller.Call(ctx, p.listeners["callers"], http.MethodPost, job.ID, fake.Submission(job), requestTimeout); status != http.StatusOK {
			return errors.Newf("a job was answered with status %d", status)
		}
		return nil
	}
}

// startEntry starts a host that serves the product's own interface, beside a fake site.
func (p *process) startEntry(t *testing.T, descriptors int) {
	t.Helper()
	fakes, err := site.New(site.Layout{
		Domains: []string{"hall-a", "hall-b"}, Workers: 4, Accelerators: 8, WorkersPerRack: 2, Targets: 4, Slots: 8, RejectStale: true,
	}, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fakes.Close)
	settings := inproc.Settings("entry-1", fakes.Address())
	settings.Listen = setng.Listen{Callers: freeAddress(t), Operators: freeAddress(t), Peers: freeAddress(t)}
	text, err := setng.Print(settings)
	if err != nil {
		t.Fatal(err)
	}
	p.listeners = map[string]netip.AddrPort{
		"callers": settings.Listen.Callers, "operators": settings.Listen.Operators, "peers": settings.Listen.Peers,
	}
	p.start(t, descriptors, string(text), "serve")
	caller := &inproc.Caller{Key: inproc.Key}
	configured := false
	var number atomic.Int64
	p.call = func(ctx context.Context, body string) error {
		result := caller.Call(ctx, inproc.Endpoint{Address: p.listeners["callers"]}, schema.CallRequest{
			ID: fmt.Sprintf("quote-%d", number.Add(1)), Kind: "quote", Body: body, Deadline: time.Now().Add(requestTimeout),
		})
		if result.Outcome != check.Answered {
			return errors.Newf("a request ended with %v: %s", result.Outcome, result.Error.Message)
		}
		return nil
	}
	p.ask = func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		if !configured {
			_, err := caller.SetConfig(ctx, inproc.Endpoint{Address: p.listeners["operators"]}, schema.ConfigChange{Document: schema.ConfigDocument{
				Shards: []schema.ShardSpec{{Name: "halls", Domains: []string{"hall-a", "hall-b"}}},
				Teams:  []schema.TeamStatus{{Name: "parish"}},
			}})
			if err != nil {
				return err
			}
			configured = true
		}
		for _, path := range []string{"/readyz", "/metrics"} {
			if err := getOK(ctx, p.listeners["callers"], path); err != nil {
				return err
			}
		}
		return p.call(ctx, "run-for=5ms")
	}
}

// countJobs reads the list of jobs and returns its length.
func (p *process) countJobs(t *testing.T) int {
	t.Helper()
	client, err := schema.NewClientWithResponses("http://" + p.listeners["callers"].String())
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.ListJobsWithResponse(t.Context(), &schema.ListJobsParams{})
	if err != nil || response.JSON200 == nil {
		t.Fatalf("the list of jobs was answered with %v, %v", response.StatusCode(), err)
	}
	return len(response.JSON200.Jobs)
}

// submitJobs submits jobs with inputs of the given size, which stay in the list of jobs.
func (p *process) submitJobs(t *testing.T, n, inputBytes int) {
	t.Helper()
	caller := &inproc.Caller{Key: inproc.Key}
	for i := range n {
		result := caller.Submit(t.Context(), inproc.Endpoint{Address: p.listeners["callers"]}, schema.JobSpec{
			ID: fmt.Sprintf("acoustic-%d", i), Team: "parish", Kind: "model", Class: schema.Patient, Tasks: 1, Accelerators: 1,
			Input: "run-for=10m " + strings.Repeat("x", inputBytes),
		})
		if result.Outcome != check.Answered {
			t.Fatalf("job %d ended with %v: %s", i, result.Outcome, result.Error.Message)
		}
	}
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// getOK returns an error unless the path is answered with status 200.
func getOK(ctx context.Context, address netip.AddrPort, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := newClient().Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s was answered with status %d", path, response.StatusCode)
	}
	return nil
}

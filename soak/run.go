package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
	"github.com/rattanshore/rattanshore/platform/stand"
)

// Options says how large a run is.
type Options struct {
	Seed   uint64
	Binary string
	// Dir takes settings and logs.
	Dir     string
	Hosts   int
	Workers int
	// Faults is for how long faults are injected.
	Faults time.Duration
	// Settle is how long everything may take to end once they are over.
	Settle time.Duration
	// FirstPort is the first of three ports for each host.
	FirstPort uint16
}

// Report is what a run saw.
type Report struct {
	Accepted, Refused, Completed int
	Faults                       []string
	Problems                     []string
}

const (
	callTimeout = 1500 * time.Millisecond
	stopGrace   = 6 * time.Second
	taskWork    = 700 * time.Millisecond
)

var domains = []string{"hall-a", "hall-b", "hall-c", "hall-d"}

// run is one soak under way.
type run struct {
	options  Options
	random   *rand.Rand
	platform *stand.Platform
	hosts    []*host
	caller   stand.Caller
	begun    time.Time

	mu   sync.Mutex
	jobs map[string]*submitted
	seen Report
}

// submitted is what callers know of a job.
type submitted struct {
	accepted, open, cancelled bool
	state                     string
}

// Run injects faults that follow the seed, and returns what was seen.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{options: o, random: rand.New(rand.NewPCG(o.Seed, 3)), jobs: map[string]*submitted{}, begun: time.Now()}
	platform, err := stand.New(o.Seed, taskWork)
	if err != nil {
		return Report{}, err
	}
	defer platform.Close()
	r.platform = platform
	queue := rules.Queue{
		Name: "quotes", Host: "desk.example", Prefix: "/quotes/", Target: "bells",
		Stretch: 2, Objective: time.Second, Timeout: 3 * time.Second,
	}
	r.caller = stand.Caller{Queue: queue, Key: "key-1", HTTP: &http.Client{}}
	platform.Configure(rules.Config{
		Version: 1, Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: "bells", Guards: true}},
		Teams: []rules.Team{{Name: "parish", Keys: []string{"key-1"}, Guaranteed: 16}},
	})
	if err := platform.AddWorkers(o.Workers, "bells", domains...); err != nil {
		return Report{}, err
	}
	if err := r.startHosts(); err != nil {
		return Report{}, err
	}
	defer r.stopHosts()
	r.drive(ctx)
	return r.seen, nil
}

func (r *run) startHosts() error {
	for i := range r.options.Hosts {
		name := fmt.Sprintf("host-%d", i+1)
		port := r.options.FirstPort + uint16(3*i)
		h, err := newHost(r.options.Binary, r.options.Dir, name, domains[i%len(domains)], port, r.platform.Address())
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) stopHosts() {
	for _, h := range r.hosts {
		h.resume()
		h.kill()
		_ = h.log.Close()
	}
}

// drive submits jobs and injects faults at the same time, then lets all end.
func (r *run) drive(ctx context.Context) {
	time.Sleep(time.Second)
	faulty, stop := context.WithTimeout(ctx, r.options.Faults)
	defer stop()
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Add(1)
		seed := rand.NewPCG(r.options.Seed, uint64(10+i))
		go func() {
			defer callers.Done()
			r.call(faulty, rand.New(seed), i)
		}()
	}
	for faulty.Err() == nil {
		r.fault()
		r.rest(faulty, 100, 1500)
	}
	callers.Wait()
	r.heal()
	r.probe(ctx)
	r.settle(ctx)
	r.judge()
}

func (r *run) rest(ctx context.Context, least, most int) {
	pause := time.Duration(least+r.random.IntN(most-least)) * time.Millisecond
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// call submits, cancels and asks, as several clients would.
func (r *run) call(ctx context.Context, random *rand.Rand, caller int) {
	for number := 0; ctx.Err() == nil; number++ {
		job := r.newJob(random, caller, number)
		r.platform.Expect(job)
		r.submit(ctx, random, job)
		if random.IntN(8) == 0 {
			r.cancel(ctx, random, job.ID)
		}
		time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
	}
}

func (r *run) newJob(random *rand.Rand, caller, number int) record.Job {
	step := record.Step{
		Tasks: 1 + random.IntN(5), EstimateMillis: taskWork.Milliseconds(), Gang: random.IntN(2) == 0,
		SameRack: random.IntN(3) == 0, SavesProgress: random.IntN(2) == 0,
		Need: record.Amount{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1 << random.IntN(4)},
	}
	job := record.Job{ID: fmt.Sprintf("%04x%012x", caller+1, number+1), Payload: "bell", Steps: []record.Step{step}}
	if random.IntN(4) == 0 {
		next := step
		next.Tasks, next.After = 2, []int{0}
		job.Steps = append(job.Steps, next)
	}
	return job
}

// submit tries several hosts, as a client does after no or an open answer.
func (r *run) submit(ctx context.Context, random *rand.Rand, job record.Job) {
	s := &submitted{}
	r.mu.Lock()
	r.jobs[job.ID] = s
	r.mu.Unlock()
	for range 4 {
		h := r.hosts[random.IntN(len(r.hosts))]
		status, _ := r.caller.Call(ctx, h.callers, http.MethodPost, job.ID, stand.Submission(job), callTimeout)
		r.mu.Lock()
		s.accepted = status == http.StatusOK
		s.open = s.open || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && !s.accepted
		r.mu.Unlock()
		if s.accepted || ctx.Err() != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *run) cancel(ctx context.Context, random *rand.Rand, id string) {
	h := r.hosts[random.IntN(len(r.hosts))]
	status, _ := r.caller.Call(ctx, h.callers, http.MethodDelete, id, nil, callTimeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	// A cancellation without a clear answer may still take effect.
	r.jobs[id].cancelled = status != http.StatusServiceUnavailable && status != http.StatusGone
}

// probeLimit is how soon after the last fault work must be accepted again.
const probeLimit = 12 * time.Second

// probe submits one more job once all faults are over. It has to be accepted,
// and judge sees that it is completed.
func (r *run) probe(ctx context.Context) {
	job := record.Job{ID: "ffff000000000001", Payload: "bell", Steps: []record.Step{{
		Tasks: 1, EstimateMillis: taskWork.Milliseconds(), Need: record.Amount{MilliCores: 1000, Accelerators: 1},
	}}}
	r.platform.Expect(job)
	limit, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	for limit.Err() == nil {
		r.submit(limit, r.random, job)
		if r.jobs[job.ID].accepted {
			return
		}
	}
	r.problem("no job was accepted within %v of the last fault", probeLimit)
}

// settle asks for every job until all have ended or the time is over.
func (r *run) settle(ctx context.Context) {
	deadline := time.Now().Add(r.options.Settle)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		left := 0
		for id, s := range r.jobs {
			if !s.accepted || s.state == "completed" || s.state == "failed" || s.state == "cancelled" {
				continue
			}
			h := r.hosts[r.random.IntN(len(r.hosts))]
			state, status := r.caller.State(ctx, h.callers, id, callTimeout)
			if status == http.StatusGone {
				r.problem("%s was accepted and is not known", id)
			}
			if state != "" {
				s.state = state
			}
			left++
		}
		if left == 0 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (r *run) problem(format string, args ...any) {
	r.seen.Problems = append(r.seen.Problems, fmt.Sprintf(format, args...))
}

// judge compares what callers were told with what workers did.
func (r *run) judge() {
	r.platform.Do(func() {
		for id, s := range r.jobs {
			r.judgeJob(id, s)
		}
		r.seen.Problems = append(r.seen.Problems, r.platform.Crew.Problems()...)
		if len(r.seen.Problems) > 0 {
			text := ""
			for _, n := range r.platform.Crew.Notes() {
				text += n + "\n"
			}
			_ = os.WriteFile(filepath.Join(r.options.Dir, "workers.log"), []byte(text), 0o600)
		}
	})
}

func (r *run) judgeJob(id string, s *submitted) {
	_, started := r.platform.Crew.FirstStart(id)
	switch {
	case s.accepted:
		r.seen.Accepted++
	case !s.open:
		r.seen.Refused++
		if started {
			r.problem("%s was refused by every host and ran", id)
		}
		return
	default:
		return
	}
	switch s.state {
	case "completed":
		r.seen.Completed++
		r.platform.Crew.CheckCompleted(id)
	case "cancelled":
		if !s.cancelled {
			r.problem("%s is shown as cancelled and nobody cancelled it", id)
		}
	case "failed":
	default:
		r.problem("%s was accepted and is left as %q", id, s.state)
	}
}

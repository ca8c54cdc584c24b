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
	"github.com/rattanshore/rattanshore/platform/fake"
)

// Options configures a run.
type Options struct {
	Seed   uint64
	Binary string
	// Dir is the folder for settings files and logs.
	Dir     string
	Hosts   int
	Workers int
	// Faults is how long faults are injected.
	Faults time.Duration
	// SettleTimeout is how long the accepted jobs may take to end after the last
	// fault.
	SettleTimeout time.Duration
	// FirstPort is the first port of the first host. Each host uses three.
	FirstPort uint16
}

// Report is the result of a run.
type Report struct {
	Accepted, Refused, Completed int
	Faults                       []string
	Problems                     []string
}

const (
	callTimeout  = 1500 * time.Millisecond
	stopGrace    = 6 * time.Second
	taskDuration = 700 * time.Millisecond
)

// team is the team of all jobs.
const team = "parish"

var domains = []string{"hall-a", "hall-b", "hall-c", "hall-d"}

// run is the state of one soak run.
type run struct {
	options  Options
	random   *rand.Rand
	platform *fake.Platform
	config   rules.Config
	// limits draws the team's limits. It is apart from random, so that a seed draws the
	// same faults as before there were limits.
	limits *rand.Rand
	// late draws how late the store carries out the writes that it has left unanswered. It
	// is apart from random for the same reason.
	late *rand.Rand
	// lastLate is when the store carries out such writes for the last time.
	lastLate  time.Time
	hosts     []*host
	caller    fake.Caller
	startedAt time.Time

	mu     sync.Mutex
	jobs   map[string]*trackedJob
	report Report
}

// trackedJob is what callers know of a job. uncertain is set if a submission got
// no clear answer, so that it may have taken effect, and gone if a cancellation was
// answered that there is no such job, so that it never starts.
type trackedJob struct {
	accepted, uncertain, cancelled, gone bool
	state                                string
}

// Run runs hosts under random faults that follow from the seed, and returns
// what it observed.
func Run(ctx context.Context, o Options) (Report, error) {
	r, err := newRun(o, taskDuration)
	if err != nil {
		return Report{}, err
	}
	defer r.platform.Close()
	if err := r.startHosts(); err != nil {
		return Report{}, err
	}
	defer r.stopHosts()
	r.execute(ctx)
	return r.report, nil
}

// newRun starts a platform with workers whose tasks take the given time.
func newRun(o Options, taskDuration time.Duration) (*run, error) {
	r := &run{options: o, random: rand.New(rand.NewPCG(o.Seed, 3)), limits: rand.New(rand.NewPCG(o.Seed, 7)), late: rand.New(rand.NewPCG(o.Seed, 8)), jobs: map[string]*trackedJob{}, startedAt: time.Now()}
	platform, err := fake.New(o.Seed, taskDuration)
	if err != nil {
		return nil, err
	}
	r.platform = platform
	queue := rules.Queue{
		Name: "quotes", Host: "desk.example", Prefix: "/quotes/", Target: "bells",
		Stretch: 2, Objective: time.Second, Timeout: 3 * time.Second,
	}
	r.caller = fake.Caller{Queue: queue, Key: "key-1", HTTP: &http.Client{}}
	r.config = rules.Config{
		Queues: []rules.Queue{queue}, Targets: []rules.Target{{Name: "bells", EnforcesCapacity: true}},
		Teams: []rules.Team{{Name: team, Keys: []string{"key-1"}, Guaranteed: 16}},
	}
	r.setLimit(0)
	if err := platform.AddWorkers(o.Workers, "bells", domains...); err != nil {
		platform.Close()
		return nil, err
	}
	return r, nil
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
		_ = h.logFile.Close()
	}
}

// execute submits jobs while faults are injected, then clears the faults, waits
// for the jobs and verifies the outcome.
func (r *run) execute(ctx context.Context) {
	time.Sleep(time.Second)
	faultCtx, stop := context.WithTimeout(ctx, r.options.Faults)
	defer stop()
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Add(1)
		seed := rand.NewPCG(r.options.Seed, uint64(10+i))
		go func() {
			defer callers.Done()
			r.runCaller(faultCtx, rand.New(seed), i)
		}()
	}
	for faultCtx.Err() == nil {
		r.injectFault()
		r.randomPause(faultCtx, 100, 1500)
	}
	callers.Wait()
	r.clearFaults()
	r.probe(ctx)
	r.waitForJobs(ctx)
	time.Sleep(time.Until(r.lastLate.Add(lateStart)))
	r.verify()
}

// lateStart is more than it takes to start a job that was stored late.
const lateStart = time.Second

// randomPause waits for a random time, or until ctx is done.
func (r *run) randomPause(ctx context.Context, minMillis, maxMillis int) {
	pause := time.Duration(minMillis+r.random.IntN(maxMillis-minMillis)) * time.Millisecond
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// runCaller submits jobs one after the other, as a client does, and cancels some
// of them.
func (r *run) runCaller(ctx context.Context, random *rand.Rand, caller int) {
	// giveUp is apart from random, so that a seed draws the same jobs as before callers gave
	// up.
	giveUp := rand.New(rand.NewPCG(r.options.Seed, uint64(20+caller)))
	for number := 0; ctx.Err() == nil; number++ {
		job := r.newJob(random, caller, number)
		r.platform.RegisterJob(job)
		r.submit(ctx, random, job)
		if random.IntN(8) == 0 {
			r.cancel(ctx, random, job.ID)
		}
		r.giveUp(ctx, giveUp, job)
		time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
	}
}

func (r *run) newJob(random *rand.Rand, caller, number int) record.Job {
	step := record.Step{
		Tasks: 1 + random.IntN(5), EstimateMillis: taskDuration.Milliseconds(), Gang: random.IntN(2) == 0,
		SameRack: random.IntN(3) == 0, SavesProgress: random.IntN(2) == 0,
		Need: record.Amount{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1 << random.IntN(4)},
	}
	job := record.Job{ID: fmt.Sprintf("%04x%012x", caller+1, number+1), Team: team, Payload: "bell", Steps: []record.Step{step}}
	if random.IntN(4) == 0 {
		next := step
		next.Tasks, next.After = 2, []int{0}
		job.Steps = append(job.Steps, next)
	}
	return job
}

// submit tries up to four hosts, as a client does that gets no answer or an
// unclear one.
func (r *run) submit(ctx context.Context, random *rand.Rand, job record.Job) {
	tracked := &trackedJob{}
	r.mu.Lock()
	r.jobs[job.ID] = tracked
	r.mu.Unlock()
	for range 4 {
		h := r.hosts[random.IntN(len(r.hosts))]
		status, _ := r.caller.Call(ctx, h.callers, http.MethodPost, job.ID, fake.Submission(job), callTimeout)
		r.mu.Lock()
		tracked.accepted = status == http.StatusOK
		tracked.uncertain = tracked.uncertain || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && !tracked.accepted
		r.mu.Unlock()
		if tracked.accepted || ctx.Err() != nil {
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
	r.jobs[id].gone = r.jobs[id].gone || status == http.StatusGone
}

// giveUp cancels some of the jobs that were not accepted until that is answered, and then
// submits them again, as a network does that delivers a request twice.
func (r *run) giveUp(ctx context.Context, random *rand.Rand, job record.Job) {
	r.mu.Lock()
	accepted := r.jobs[job.ID].accepted
	r.mu.Unlock()
	if accepted || random.IntN(3) == 0 {
		return
	}
	for ctx.Err() == nil {
		r.cancel(ctx, random, job.ID)
		r.mu.Lock()
		answered := r.jobs[job.ID].cancelled || r.jobs[job.ID].gone
		r.mu.Unlock()
		if answered {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	h := r.hosts[random.IntN(len(r.hosts))]
	status, _ := r.caller.Call(ctx, h.callers, http.MethodPost, job.ID, fake.Submission(job), callTimeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == http.StatusOK && r.jobs[job.ID].gone {
		r.reportProblem("%s was accepted after its cancellation was answered", job.ID)
	}
}

// probeTimeout is how soon after the last fault a job must be accepted.
const probeTimeout = 12 * time.Second

// probe submits one more job after the last fault. It must be accepted, and
// verify checks that it completes.
func (r *run) probe(ctx context.Context) {
	job := record.Job{ID: "ffff000000000001", Payload: "bell", Steps: []record.Step{{
		Tasks: 1, EstimateMillis: taskDuration.Milliseconds(), Need: record.Amount{MilliCores: 1000, Accelerators: 1},
	}}}
	r.platform.RegisterJob(job)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for probeCtx.Err() == nil {
		r.submit(probeCtx, r.random, job)
		if r.jobs[job.ID].accepted {
			return
		}
	}
	r.reportProblem("no job was accepted within %v of the last fault", probeTimeout)
}

// waitForJobs polls the accepted jobs until all have ended or SettleTimeout has
// passed.
func (r *run) waitForJobs(ctx context.Context) {
	deadline := time.Now().Add(r.options.SettleTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		remaining := 0
		for id, j := range r.jobs {
			if !j.accepted || j.state == "completed" || j.state == "failed" || j.state == "cancelled" {
				continue
			}
			h := r.hosts[r.random.IntN(len(r.hosts))]
			state, status := r.caller.State(ctx, h.callers, id, callTimeout)
			if status == http.StatusGone {
				r.reportProblem("%s was accepted but no longer exists", id)
			}
			if state != "" {
				j.state = state
			}
			remaining++
		}
		if remaining == 0 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (r *run) reportProblem(format string, args ...any) {
	r.report.Problems = append(r.report.Problems, fmt.Sprintf(format, args...))
}

// verify compares the answers that callers received with what workers did. If
// there are problems, it writes the workers' events to workers.log.
func (r *run) verify() {
	r.platform.WithLock(func() {
		for id, j := range r.jobs {
			r.verifyJob(id, j)
		}
		r.report.Problems = append(r.report.Problems, r.platform.Pool.Problems()...)
		if len(r.report.Problems) > 0 {
			text := ""
			for _, e := range r.platform.Pool.Events() {
				text += e + "\n"
			}
			_ = os.WriteFile(filepath.Join(r.options.Dir, "workers.log"), []byte(text), 0o600)
		}
	})
}

func (r *run) verifyJob(id string, job *trackedJob) {
	_, started := r.platform.Pool.FirstStart(id)
	if job.gone && started {
		r.reportProblem("%s ran although a cancellation was answered that there is no such job", id)
	}
	switch {
	case job.accepted:
		r.report.Accepted++
	case !job.uncertain:
		r.report.Refused++
		if started {
			r.reportProblem("%s was refused by every host but ran", id)
		}
		return
	default:
		return
	}
	switch job.state {
	case "completed":
		r.report.Completed++
		r.platform.Pool.CheckCompleted(id)
	case "cancelled":
		if !job.cancelled {
			r.reportProblem("%s is reported as cancelled but no caller cancelled it", id)
		}
	case "failed":
	default:
		r.reportProblem("%s was accepted but is still in state %q", id, job.state)
	}
}

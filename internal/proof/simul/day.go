package simul

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Day is a seeded workload of one working day at a bell foundry: long acoustic
// models, season layouts, short alloy estimates and tower load checks that must
// not run twice.
type Day struct {
	Seed uint64
	// Load is the work that arrives, as a share of what the workers can do in
	// the hours of arrival: 1 or more at month-end, a tenth on another day.
	Load float64
	// Hours is the number of hours during which jobs arrive.
	Hours int
	// Workers is the number of workers. Each has 8 accelerators, and a rack
	// holds 6 of them.
	Workers int
	// DomainOut takes a failure domain out of service for an hour in the middle
	// of the day.
	DomainOut bool
	// FailingWorkers is the number of workers on which every task fails.
	FailingWorkers int
	// CancelledShare is the share of jobs that are cancelled.
	CancelledShare float64
}

// Arrival is a job, the time from the start of the day to its submission, and
// its real run time.
type Arrival struct {
	After   time.Duration
	Spec    schema.JobSpec
	RunTime time.Duration
}

// Report holds the results of a day.
type Report struct {
	Urgent, Patient CompletionTimes
	// MaxGangWait is the longest time from submission to first start of a
	// patient gang.
	MaxGangWait time.Duration
	// Stranded is the mean share of capacity that was free but of no use to
	// any waiting gang.
	Stranded float64
	// UseInOutage is the mean share of the accelerators in service that were
	// in use while a failure domain was out of service and for half an hour
	// after.
	UseInOutage float64
	// Reruns is the number of reruns: runs that started after an earlier run
	// of the same job lost its placement.
	Reruns int
	// Ended is the number of jobs that ended, Jobs the number submitted.
	Ended int
	Jobs  int
	// UrgentRunTime is the mean run time of the urgent jobs that were done. No
	// scheduling policy can bring their mean completion time below it.
	UrgentRunTime time.Duration
}

// CompletionTimes summarizes the times from submission to completion.
type CompletionTimes struct {
	Mean, P50, P99 time.Duration
	Count          int
}

// dayStart is the start of every simulated day.
var dayStart = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// Timing returns the timing for simulated days. Its intervals are long, since
// workers report the end of a task at once and no result depends on how often
// they are polled.
func Timing() sched.Timing {
	t := sched.DefaultTiming()
	t.Lease = 10 * time.Minute
	t.SyncInterval = time.Minute
	t.MinPassInterval = time.Second
	return t
}

// Cluster returns the workers and the configuration document of a day.
func (d Day) Cluster() ([]sched.Worker, schema.ConfigDocument) {
	workers := make([]sched.Worker, d.Workers)
	perDomain := (d.Workers + 3) / 4
	for i := range workers {
		domain := fmt.Sprintf("hall-%d", i/perDomain)
		workers[i] = sched.Worker{
			ID: fmt.Sprintf("worker-%04d", i), Domain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, i%perDomain/6),
			Accelerators: 8, Address: fakeAddress,
		}
	}
	scale := max(1, d.Workers/50)
	blocks := func(count, tasks, accelerators int, adjacent bool) []schema.GuaranteeBlock {
		return []schema.GuaranteeBlock{{Shard: "halls", Count: count * scale, Tasks: tasks, Accelerators: accelerators, Adjacent: adjacent}}
	}
	return workers, schema.ConfigDocument{
		Shards: []schema.ShardSpec{{Name: "halls", Domains: []string{"hall-0", "hall-1", "hall-2", "hall-3"}}},
		Teams: []schema.TeamStatus{
			{Name: "acoustics", Guarantee: blocks(2, 4, 8, true)},
			{Name: "estimates", Guarantee: blocks(8, 1, 8, false)},
			{Name: "towers", Guarantee: blocks(8, 1, 4, false)},
			{Name: "guests"},
		},
	}
}

// Arrivals returns the day's jobs, drawn at random from its seed, in the order
// in which they are submitted.
func (d Day) Arrivals() []Arrival {
	random := rand.New(rand.NewPCG(d.Seed, 7))
	remaining := d.Load * float64(d.Workers*8) * float64(d.Hours) * time.Hour.Seconds()
	var list []Arrival
	for n := 0; remaining > 0; n++ {
		a := d.drawArrival(random, n)
		remaining -= a.RunTime.Seconds() * float64(a.Spec.Tasks*a.Spec.Accelerators)
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b Arrival) int { return int(a.After - b.After) })
	return list
}

// drawArrival draws the job with number n.
func (d Day) drawArrival(random *rand.Rand, n int) Arrival {
	a := Arrival{After: time.Duration(random.Int64N(int64(time.Duration(d.Hours) * time.Hour)))}
	minutes := func(low, high float64) time.Duration {
		return time.Duration((low + random.Float64()*(high-low)) * float64(time.Minute))
	}
	a.Spec = schema.JobSpec{ID: fmt.Sprintf("job-%05d", n), Class: schema.Urgent}
	switch kind := random.IntN(20); {
	case kind < 3:
		a.Spec.Kind, a.Spec.Team, a.Spec.Class = "acoustic-model", "acoustics", schema.Patient
		a.Spec.Tasks, a.Spec.Accelerators = 1+random.IntN(6), 8
		a.Spec.Adjacent = random.IntN(2) == 0
		a.RunTime = minutes(20, 120)
	case kind < 5:
		a.Spec.Kind, a.Spec.Team, a.Spec.Class = "season-layout", "guests", schema.Patient
		a.Spec.Tasks, a.Spec.Accelerators = 1+random.IntN(12), 1<<random.IntN(4)
		a.RunTime = minutes(10, 90)
	case kind < 15:
		a.Spec.Kind, a.Spec.Team = "alloy-estimate", "estimates"
		a.Spec.Tasks, a.Spec.Accelerators = 1+random.IntN(2), 1<<random.IntN(3)
		a.RunTime = minutes(1, 8)
	default:
		a.Spec.Kind, a.Spec.Team, a.Spec.NonIdempotent = "tower-load-check", "towers", true
		a.Spec.Tasks, a.Spec.Accelerators = 1, 1<<random.IntN(3)
		a.RunTime = minutes(0.5, 3)
	}
	a.Spec.Input = "run-for=" + a.RunTime.String()
	// Declared run times are wrong by up to a factor of ten either way.
	errorFactor := []float64{0.1, 0.3, 1, 3, 10}[random.IntN(5)]
	a.Spec.DeclaredSeconds = a.RunTime.Seconds() * errorFactor
	return a
}

// Run simulates the day under a policy, with or without the teams' guarantees,
// and returns its results.
func Run[P block.Policy](d Day, policy P, guarantees bool, options ...sched.Option) Report {
	workers, document := d.Cluster()
	if !guarantees {
		for i := range document.Teams {
			document.Teams[i].Guarantee = nil
		}
	}
	random := rand.New(rand.NewPCG(d.Seed, 11))
	sim := New(policy, Timing(), Faults{}, time.Second, random, dayStart, workers, document, options...)
	c := newCollector(d, sim)
	sim.Run(time.Minute, never)
	for i, a := range d.Arrivals() {
		sim.At(a.After, func() { sim.Submit(a.Spec) })
		if random.Float64() < d.CancelledShare {
			sim.At(a.After+time.Duration(random.Int64N(int64(time.Hour))), func() { sim.Cancel(a.Spec.ID) })
		}
		c.runTimes[a.Spec.ID] = a.RunTime
		c.report.Jobs = i + 1
	}
	for i := range d.FailingWorkers {
		sim.SetFailing(workers[i*7%len(workers)].ID, true)
	}
	sim.At(time.Minute, c.sample)
	if d.DomainOut {
		middle := time.Duration(d.Hours) * time.Hour / 2
		sim.At(middle, func() { c.changeDomain(false) })
		sim.At(middle+time.Hour, func() { c.changeDomain(true) })
		sim.At(middle+90*time.Minute, func() { c.outageWindow = false })
	}
	sim.Run(time.Duration(d.Hours*4)*time.Hour, func() bool { return c.report.Ended == c.report.Jobs })
	return c.summarize()
}

func never() bool { return false }

// collector gathers the figures of a day. outageWindow is set while a failure
// domain is out of service and for half an hour after.
type collector[P block.Policy] struct {
	day           Day
	sim           *Simulation[P]
	report        Report
	outageWindow  bool
	urgent        *hdrhistogram.Histogram
	patient       *hdrhistogram.Histogram
	runTimes      map[string]time.Duration
	urgentRunTime time.Duration
	samples       int
	stranded      float64
	outageUse     float64
	outageSamples int
}

func newCollector[P block.Policy](d Day, sim *Simulation[P]) *collector[P] {
	c := &collector[P]{
		day: d, sim: sim, runTimes: map[string]time.Duration{},
		urgent:  hdrhistogram.New(1, (240 * time.Hour).Milliseconds(), 3),
		patient: hdrhistogram.New(1, (240 * time.Hour).Milliseconds(), 3),
	}
	sim.OnJobEnded = c.ended
	sim.OnJobStarted = c.started
	return c
}

func (c *collector[P]) started(job schema.JobStatus) {
	if job.Run > 1 {
		c.report.Reruns++
	}
	gang := job.Spec.Class == schema.Patient && job.Spec.Tasks > 1
	if gang && !c.sim.StartedJobs[job.Spec.ID] {
		c.report.MaxGangWait = max(c.report.MaxGangWait, c.sim.Now.Sub(job.SubmittedAt))
	}
	c.sim.StartedJobs[job.Spec.ID] = true
}

func (c *collector[P]) ended(job schema.JobStatus) {
	c.report.Ended++
	if job.State != schema.Done {
		return
	}
	took := c.sim.Now.Sub(job.SubmittedAt).Milliseconds()
	if job.Spec.Class == schema.Urgent {
		c.urgentRunTime += c.runTimes[job.Spec.ID]
		_ = c.urgent.RecordValue(took)
		return
	}
	_ = c.patient.RecordValue(took)
}

// changeDomain takes the failure domain out of service or puts it back, and
// opens the outage window.
func (c *collector[P]) changeDomain(inService bool) {
	c.outageWindow = true
	c.sim.SetDomain("hall-2", inService)
}

// sampleInterval is the time between two samples of the accelerators' use.
const sampleInterval = 20 * time.Second

// sample records the use of accelerators, and schedules the next sample while
// jobs still arrive.
func (c *collector[P]) sample() {
	u := c.sim.Model.Usage(c.sim.Now)
	if u.Schedulable > 0 {
		c.samples++
		c.stranded += float64(u.Stranded) / float64(u.Schedulable)
	}
	if c.outageWindow && u.Schedulable > 0 {
		c.outageSamples++
		c.outageUse += min(1, float64(u.Running)/float64(u.Schedulable))
	}
	if c.sim.Now.Sub(dayStart) < time.Duration(c.day.Hours)*time.Hour {
		c.sim.At(sampleInterval, c.sample)
	}
}

func (c *collector[P]) summarize() Report {
	c.report.Urgent = timesOf(c.urgent)
	c.report.UrgentRunTime = c.urgentRunTime / time.Duration(max(1, c.report.Urgent.Count))
	c.report.Patient = timesOf(c.patient)
	c.report.Stranded = c.stranded / float64(max(1, c.samples))
	c.report.UseInOutage = c.outageUse / float64(max(1, c.outageSamples))
	return c.report
}

func timesOf(h *hdrhistogram.Histogram) CompletionTimes {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond }
	return CompletionTimes{
		Mean: time.Duration(h.Mean()) * time.Millisecond, P50: at(50), P99: at(99), Count: int(h.TotalCount()),
	}
}

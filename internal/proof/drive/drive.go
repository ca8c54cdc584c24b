// Package drive runs the pure scheduler on a virtual clock against small fakes
// of workers and of the table, for benchmarks and property tests. It has no
// network and no failures but those that its Faults say.
package drive

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/fakes/works"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Faults says what goes wrong with messages. Shares are between 0 and 1.
type Faults struct {
	// Lost is the share of worker calls and answers that are lost.
	Lost float64
	// Doubled is the share of worker calls that arrive twice.
	Doubled float64
	// Delay is the longest time that a message takes. Each takes a random
	// part of it, so messages overtake one another.
	Delay time.Duration
}

// anywhere is the address of every fake worker.
var anywhere = netip.MustParseAddrPort("127.0.0.1:1")

// errLost ends a call whose message or answer was lost.
var errLost = errors.New("the message was lost")

// Drive is a shard's owner with its workers and rows.
type Drive[P block.Policy] struct {
	Now     time.Time
	Model   *sched.Model[P]
	Jobs    map[string]schema.JobStatus
	Records []check.Record
	Ended   func(job schema.JobStatus)
	Started func(job schema.JobStatus)
	// Seen names the jobs that have started before, for the observer.
	Seen     map[string]bool
	Messages int

	policy   P
	options  []sched.Option
	timing   sched.Timing
	faults   Faults
	random   *rand.Rand
	tick     time.Duration
	epoch    int64
	machines map[string]*works.Machine
	down     map[string]bool
	waiting  map[string][]*poll
	workers  []sched.Worker
	config   schema.ConfigVersion
	domains  map[string]sched.Domain
	events   agenda
	serial   int
	stopped  bool
}

// poll is a sync that a worker has not answered yet.
type poll struct {
	call   plat.WorkerCall
	sentAt time.Time
	epoch  int64
	done   bool
}

// New returns a drive at the given time whose owner knows the workers and the
// configuration. tick is the time between two ticks of the owner.
func New[P block.Policy](
	policy P, timing sched.Timing, faults Faults, tick time.Duration, random *rand.Rand,
	now time.Time, workers []sched.Worker, document schema.ConfigDocument, options ...sched.Option,
) *Drive[P] {
	d := &Drive[P]{
		Now: now, Jobs: map[string]schema.JobStatus{}, Ended: func(schema.JobStatus) {},
		Started: func(schema.JobStatus) {}, Seen: map[string]bool{},
		policy: policy, options: options, timing: timing, faults: faults, tick: tick, random: random,
		machines: map[string]*works.Machine{}, down: map[string]bool{}, waiting: map[string][]*poll{},
		workers: workers, domains: map[string]sched.Domain{},
		config: schema.ConfigVersion{Version: 1, Document: document},
	}
	for _, w := range workers {
		host := plat.Host{ID: w.ID, Domain: w.Domain, Rack: w.Rack, Accelerators: w.Accelerators}
		d.machines[w.ID] = works.NewMachine(host, true, d.note)
		if _, known := d.domains[w.Domain]; !known {
			d.domains[w.Domain] = sched.Domain{Status: schema.DomainStatus{ID: w.Domain, InService: true, Epoch: 1}, Version: 1}
		}
	}
	d.Takeover()
	d.schedule(tick, d.ticked)
	return d
}

func (d *Drive[P]) note(r check.Record) {
	if r.At.IsZero() {
		r.At = d.Now
	}
	d.Records = append(d.Records, r)
}

// Takeover replaces the owner by one that knows nothing but the rows.
func (d *Drive[P]) Takeover() {
	d.epoch++
	shard := d.config.Document.Shards[0].Name
	d.Model = sched.New(sched.Shard{Name: shard, Epoch: d.epoch}, d.policy, d.timing, d.options...)
	d.Send(sched.ConfigMsg{Config: d.config, Version: d.config.Version})
	d.Send(sched.DomainsMsg{Domains: d.domainList()})
	d.Send(sched.WorkersMsg{Workers: d.workers})
	for _, id := range d.sortedJobs() {
		d.Send(sched.JobMsg{Job: d.Jobs[id]})
	}
	d.Send(sched.LoadedMsg{})
}

func (d *Drive[P]) sortedJobs() []string {
	ids := make([]string, 0, len(d.Jobs))
	for id, j := range d.Jobs {
		if j.State == schema.Waiting || j.State == schema.Running {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (d *Drive[P]) domainList() []sched.Domain {
	list := make([]sched.Domain, 0, len(d.domains))
	for _, dom := range d.domains {
		list = append(list, dom)
	}
	slices.SortFunc(list, func(a, b sched.Domain) int {
		if a.Status.ID < b.Status.ID {
			return -1
		}
		return 1
	})
	return list
}

// Submit records a job and gives it to the owner.
func (d *Drive[P]) Submit(spec schema.JobSpec) {
	job := schema.JobStatus{Spec: spec, Shard: d.config.Document.Shards[0].Name, State: schema.Waiting, SubmittedAt: d.Now}
	d.Jobs[spec.ID] = job
	d.note(check.Record{Kind: check.CallerSent, Job: spec.ID, NonIdempotent: spec.NonIdempotent, Detail: spec.ID})
	d.note(check.Record{Kind: check.CallerTold, Job: spec.ID, Outcome: check.Answered, Detail: spec.ID})
	d.Send(sched.JobMsg{Job: job})
}

// Cancel records a cancellation and gives it to the owner.
func (d *Drive[P]) Cancel(id string) {
	d.Send(sched.CancelMsg{ID: id})
}

// SetDomain takes a failure domain out or back.
func (d *Drive[P]) SetDomain(id string, inService bool) {
	dom := d.domains[id]
	dom.Version++
	dom.Status = schema.DomainStatus{ID: id, InService: inService, Epoch: dom.Status.Epoch + 1}
	d.domains[id] = dom
	d.note(check.Record{Kind: check.OperatorTold, Domain: id, InService: inService, Version: dom.Status.Epoch})
	if inService {
		d.note(check.Record{Kind: check.RowWritten, Key: rows.Domain(id), Body: `{"in-service":true,"epoch":1000000}`})
	}
	d.schedule(d.delay(), func() { d.Send(sched.DomainsMsg{Domains: d.domainList()}) })
}

// SetDown stops a worker without warning, or lets it answer again.
func (d *Drive[P]) SetDown(worker string, down bool) {
	d.down[worker] = down
	if down {
		d.machines[worker].Kill(d.Now)
	}
}

// SetFailing makes a worker fail every task.
func (d *Drive[P]) SetFailing(worker string, failing bool) {
	d.machines[worker].Failing = failing
}

// Send gives a message to the owner and carries its commands out.
func (d *Drive[P]) Send(msg sched.Msg) {
	d.Messages++
	model, cmds := d.Model.Update(d.Now, msg)
	d.Model = model
	for _, cmd := range cmds {
		d.execute(cmd)
	}
}

func (d *Drive[P]) execute(cmd sched.Cmd) {
	epoch := d.epoch
	switch cmd := cmd.(type) {
	case sched.CallWorkerCmd:
		d.call(cmd, epoch)
	case sched.CommitCmd:
		d.schedule(d.delay(), func() { d.commit(cmd, epoch) })
	case sched.DecisionCmd, sched.DeposedCmd:
	}
}

// commit applies a transaction, unless its owner has been replaced.
func (d *Drive[P]) commit(cmd sched.CommitCmd, epoch int64) {
	if epoch != d.epoch {
		return
	}
	committed := true
	for _, c := range cmd.Conditions {
		for id, dom := range d.domains {
			if c.Row == rows.Domain(id) && c.Version != dom.Version {
				committed = false
			}
		}
	}
	if committed {
		for _, j := range cmd.Jobs {
			d.write(j)
		}
	}
	d.schedule(d.delay(), func() {
		if epoch == d.epoch {
			d.Send(sched.CommittedMsg{Batch: cmd.Batch, Committed: committed})
		}
	})
}

func (d *Drive[P]) write(j schema.JobStatus) {
	was := d.Jobs[j.Spec.ID].State
	d.Jobs[j.Spec.ID] = j
	if j.State == schema.Running {
		d.Started(j)
	}
	if j.State != schema.Waiting && j.State != schema.Running && was != j.State {
		d.Ended(j)
	}
}

func (d *Drive[P]) delay() time.Duration {
	if d.faults.Delay <= 0 {
		return time.Millisecond
	}
	return time.Duration(d.random.Int64N(int64(d.faults.Delay))) + time.Microsecond
}

func (d *Drive[P]) happens(share float64) bool {
	return share > 0 && d.random.Float64() < share
}

func (d *Drive[P]) call(cmd sched.CallWorkerCmd, epoch int64) {
	sentAt := d.Now
	timeout := d.timing.CallTimeout
	if cmd.Call.WaitUntil.After(d.Now) {
		timeout += cmd.Call.WaitUntil.Sub(d.Now)
	}
	p := &poll{call: cmd.Call, sentAt: sentAt, epoch: epoch}
	copies := 1
	if d.happens(d.faults.Doubled) {
		copies = 2
	}
	for range copies {
		if !d.happens(d.faults.Lost) {
			d.schedule(d.delay(), func() { d.arrive(cmd.Worker, p) })
		}
	}
	d.schedule(timeout, func() { d.answer(cmd.Worker, p, plat.WorkerReply{}, errLost) })
}

// arrive carries a call out at its worker. A sync is answered when something
// ends, or when it has waited long enough.
func (d *Drive[P]) arrive(worker string, p *poll) {
	if d.down[worker] {
		return
	}
	machine := d.machines[worker]
	reply := machine.Call(d.Now, p.call)
	d.watch(worker)
	waits := p.call.Verb == plat.Sync && reply.Accepted && p.call.WaitUntil.After(d.Now) && !machine.HasUnseenEnd(p.call)
	if !waits {
		d.sendAnswer(worker, p, reply)
		return
	}
	d.waiting[worker] = append(d.waiting[worker], p)
	d.schedule(p.call.WaitUntil.Sub(d.Now), func() { d.wake(worker) })
}

// watch schedules the worker's next end.
func (d *Drive[P]) watch(worker string) {
	next := d.machines[worker].NextEnd()
	if next.IsZero() {
		return
	}
	d.schedule(max(0, next.Sub(d.Now)), func() {
		if d.machines[worker].Advance(d.Now) {
			d.wake(worker)
			d.watch(worker)
		}
	})
}

// wake answers the syncs that wait at a worker.
func (d *Drive[P]) wake(worker string) {
	polls := d.waiting[worker]
	d.waiting[worker] = nil
	for _, p := range polls {
		if !d.down[worker] {
			d.sendAnswer(worker, p, d.machines[worker].Answer(p.call))
		}
	}
}

func (d *Drive[P]) sendAnswer(worker string, p *poll, reply plat.WorkerReply) {
	if d.happens(d.faults.Lost) {
		return
	}
	d.schedule(d.delay(), func() { d.answer(worker, p, reply, nil) })
}

func (d *Drive[P]) answer(worker string, p *poll, reply plat.WorkerReply, err error) {
	if p.done || p.epoch != d.epoch {
		return
	}
	p.done = true
	d.Send(sched.WorkerMsg{Worker: worker, Call: p.call, Reply: reply, SentAt: p.sentAt, Err: err})
}

func (d *Drive[P]) ticked() {
	if d.stopped {
		return
	}
	d.Send(sched.TickMsg{})
	d.schedule(d.tick, d.ticked)
}

// At schedules something at a time from now.
func (d *Drive[P]) At(after time.Duration, do func()) {
	d.schedule(after, do)
}

// Run lets the given time pass, or less when until holds earlier.
func (d *Drive[P]) Run(length time.Duration, until func() bool) {
	end := d.Now.Add(length)
	for len(d.events) > 0 && !until() {
		next := d.events[0]
		if next.at.After(end) {
			break
		}
		heap.Pop(&d.events)
		d.Now = next.at
		next.do()
	}
	if d.Now.Before(end) && !until() {
		d.Now = end
	}
}

func (d *Drive[P]) schedule(after time.Duration, do func()) {
	d.serial++
	heap.Push(&d.events, event{at: d.Now.Add(after), serial: d.serial, do: do})
}

// event is something that happens at a time. Events at the same time happen
// in the order in which they were scheduled.
type event struct {
	at     time.Time
	serial int
	do     func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].serial < a[j].serial
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

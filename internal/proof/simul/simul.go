// Package simul simulates one shard: it runs the pure scheduler on a virtual
// clock against small fakes of the workers and of the store, for benchmarks and
// property tests. There is no network, and messages are only lost, duplicated
// or delayed as Faults specifies.
package simul

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
	"github.com/rattanshore/rattanshore/internal/fakes/worker"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Faults specifies how messages fail. Shares are between 0 and 1.
type Faults struct {
	// Lost is the share of worker calls and replies that are lost.
	Lost float64
	// Duplicated is the share of worker calls that arrive twice.
	Duplicated float64
	// Delay is the longest time that a message takes. Each message takes a
	// random part of it, so messages can overtake one another.
	Delay time.Duration
}

// fakeAddress is the address of every fake worker. Nothing connects to it.
var fakeAddress = netip.MustParseAddrPort("127.0.0.1:1")

// errLost is the error of a call whose message or reply was lost.
var errLost = errors.New("message or reply lost")

// Simulation is a simulation of a shard's owner with its workers and rows.
type Simulation[P block.Policy] struct {
	// Now is the virtual time.
	Now time.Time
	// Model is the scheduler of the current owner.
	Model *sched.Model[P]
	// Jobs holds the job rows, by identifier.
	Jobs map[string]schema.JobStatus
	// Records is the history, for package check.
	Records []check.Record
	// OnJobEnded is called when a job's row gets a final state, OnJobStarted
	// whenever a row with a running job is written.
	OnJobEnded   func(job schema.JobStatus)
	OnJobStarted func(job schema.JobStatus)
	// StartedJobs holds the jobs that have started at least once. It is for
	// the use of OnJobStarted; the simulation does not set it.
	StartedJobs map[string]bool
	// Messages is the number of messages sent to the owner.
	Messages int

	policy       P
	options      []sched.Option
	timing       sched.Timing
	faults       Faults
	random       *rand.Rand
	tickInterval time.Duration
	epoch        int64
	fakeWorkers  map[string]*worker.StateMachine
	down         map[string]bool
	waitingSyncs map[string][]*pendingCall
	workers      []sched.Worker
	config       schema.ConfigVersion
	domains      map[string]sched.Domain
	events       eventQueue
	sequence     int
}

// pendingCall is a call to a worker that has no reply yet. done is set once it
// has a reply or has timed out.
type pendingCall struct {
	call   plat.WorkerCall
	sentAt time.Time
	epoch  int64
	done   bool
}

// New returns a simulation that starts at now, with an owner that knows the
// workers and the configuration document. tick is the time between two ticks of
// the owner.
func New[P block.Policy](
	policy P, timing sched.Timing, faults Faults, tick time.Duration, random *rand.Rand,
	now time.Time, workers []sched.Worker, document schema.ConfigDocument, options ...sched.Option,
) *Simulation[P] {
	s := &Simulation[P]{
		Now: now, Jobs: map[string]schema.JobStatus{}, OnJobEnded: func(schema.JobStatus) {},
		OnJobStarted: func(schema.JobStatus) {}, StartedJobs: map[string]bool{},
		policy: policy, options: options, timing: timing, faults: faults, tickInterval: tick, random: random,
		fakeWorkers: map[string]*worker.StateMachine{}, down: map[string]bool{}, waitingSyncs: map[string][]*pendingCall{},
		workers: workers, domains: map[string]sched.Domain{},
		config: schema.ConfigVersion{Version: 1, Document: document},
	}
	for _, w := range workers {
		host := plat.Host{ID: w.ID, Domain: w.Domain, Rack: w.Rack, Accelerators: w.Accelerators}
		s.fakeWorkers[w.ID] = worker.NewStateMachine(host, true, s.record)
		if _, known := s.domains[w.Domain]; !known {
			s.domains[w.Domain] = sched.Domain{Status: schema.DomainStatus{ID: w.Domain, InService: true, Epoch: 1}, Version: 1}
		}
	}
	s.Takeover()
	s.schedule(tick, s.onTick)
	return s
}

func (s *Simulation[P]) record(r check.Record) {
	if r.At.IsZero() {
		r.At = s.Now
	}
	s.Records = append(s.Records, r)
}

// Takeover replaces the owner by a new one with a higher epoch, which starts with
// no state but that in the rows.
func (s *Simulation[P]) Takeover() {
	s.epoch++
	shard := s.config.Document.Shards[0].Name
	s.Model = sched.New(sched.Shard{Name: shard, Epoch: s.epoch}, s.policy, s.timing, s.options...)
	s.Send(sched.ConfigMsg{Config: s.config, Version: s.config.Version})
	s.Send(sched.DomainsMsg{Domains: s.sortedDomains()})
	s.Send(sched.WorkersMsg{Workers: s.workers})
	for _, id := range s.activeJobIDs() {
		s.Send(sched.JobMsg{Job: s.Jobs[id]})
	}
	s.Send(sched.LoadedMsg{})
}

// activeJobIDs returns the sorted identifiers of the jobs that are waiting or
// running.
func (s *Simulation[P]) activeJobIDs() []string {
	ids := make([]string, 0, len(s.Jobs))
	for id, j := range s.Jobs {
		if j.State == schema.Waiting || j.State == schema.Running {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *Simulation[P]) sortedDomains() []sched.Domain {
	list := make([]sched.Domain, 0, len(s.domains))
	for _, dom := range s.domains {
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

// Submit records a job and passes it to the owner.
func (s *Simulation[P]) Submit(spec schema.JobSpec) {
	job := schema.JobStatus{Spec: spec, Shard: s.config.Document.Shards[0].Name, State: schema.Waiting, SubmittedAt: s.Now}
	s.Jobs[spec.ID] = job
	s.record(check.Record{Kind: check.CallSent, Job: spec.ID, NonIdempotent: spec.NonIdempotent, Detail: spec.ID})
	s.record(check.Record{Kind: check.CallEnded, Job: spec.ID, Outcome: check.Answered, Detail: spec.ID})
	s.Send(sched.JobMsg{Job: job})
}

// Cancel passes a cancellation to the owner.
func (s *Simulation[P]) Cancel(id string) {
	s.Send(sched.CancelMsg{ID: id})
}

// SetDomain takes a failure domain out of service or puts it back.
func (s *Simulation[P]) SetDomain(id string, inService bool) {
	dom := s.domains[id]
	dom.Version++
	dom.Status = schema.DomainStatus{ID: id, InService: inService, Epoch: dom.Status.Epoch + 1}
	s.domains[id] = dom
	s.record(check.Record{Kind: check.CommandAcknowledged, Domain: id, InService: inService, Version: dom.Status.Epoch})
	if inService {
		// The epoch is higher than that of any outage in the history.
		s.record(check.Record{Kind: check.RowWritten, Key: rows.Domain(id), Body: `{"in-service":true,"epoch":1000000}`})
	}
	s.schedule(s.messageDelay(), func() { s.Send(sched.DomainsMsg{Domains: s.sortedDomains()}) })
}

// SetDown crashes a worker, or makes it answer again.
func (s *Simulation[P]) SetDown(worker string, down bool) {
	s.down[worker] = down
	if down {
		s.fakeWorkers[worker].Kill(s.Now)
	}
}

// SetFailing sets whether every task fails on a worker.
func (s *Simulation[P]) SetFailing(worker string, failing bool) {
	s.fakeWorkers[worker].Failing = failing
}

// Send passes a message to the owner and executes the commands it returns.
func (s *Simulation[P]) Send(msg sched.Msg) {
	s.Messages++
	model, cmds := s.Model.Update(s.Now, msg)
	s.Model = model
	for _, cmd := range cmds {
		s.execute(cmd)
	}
}

func (s *Simulation[P]) execute(cmd sched.Cmd) {
	epoch := s.epoch
	switch cmd := cmd.(type) {
	case sched.CallWorkerCmd:
		s.call(cmd, epoch)
	case sched.CommitCmd:
		s.schedule(s.messageDelay(), func() { s.commit(cmd, epoch) })
	case sched.DecisionCmd, sched.StepDownCmd:
	}
}

// commit applies a transaction unless one of its conditions fails, and sends the
// owner the result. It does nothing if the owner has been replaced.
func (s *Simulation[P]) commit(cmd sched.CommitCmd, epoch int64) {
	if epoch != s.epoch {
		return
	}
	committed := true
	for _, c := range cmd.Conditions {
		for id, dom := range s.domains {
			if c.Row == rows.Domain(id) && c.Version != dom.Version {
				committed = false
			}
		}
	}
	if committed {
		for _, j := range cmd.Jobs {
			s.applyJob(j)
		}
	}
	s.schedule(s.messageDelay(), func() {
		if epoch == s.epoch {
			s.Send(sched.CommitResultMsg{Batch: cmd.Batch, Committed: committed})
		}
	})
}

// applyJob writes a job's row and calls the hooks.
func (s *Simulation[P]) applyJob(j schema.JobStatus) {
	previous := s.Jobs[j.Spec.ID].State
	s.Jobs[j.Spec.ID] = j
	if j.State == schema.Running {
		s.OnJobStarted(j)
	}
	if j.State != schema.Waiting && j.State != schema.Running && previous != j.State {
		s.OnJobEnded(j)
	}
}

func (s *Simulation[P]) messageDelay() time.Duration {
	if s.faults.Delay <= 0 {
		return time.Millisecond
	}
	return time.Duration(s.random.Int64N(int64(s.faults.Delay))) + time.Microsecond
}

// chance returns true at random, with the given probability.
func (s *Simulation[P]) chance(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

// call sends a call to a worker, subject to the faults, and reports errLost to
// the owner if its timeout passes without a reply.
func (s *Simulation[P]) call(cmd sched.CallWorkerCmd, epoch int64) {
	sentAt := s.Now
	timeout := s.timing.CallTimeout
	if cmd.Call.WaitUntil.After(s.Now) {
		timeout += cmd.Call.WaitUntil.Sub(s.Now)
	}
	p := &pendingCall{call: cmd.Call, sentAt: sentAt, epoch: epoch}
	copies := 1
	if s.chance(s.faults.Duplicated) {
		copies = 2
	}
	for range copies {
		if !s.chance(s.faults.Lost) {
			s.schedule(s.messageDelay(), func() { s.deliverCall(cmd.Worker, p) })
		}
	}
	s.schedule(timeout, func() { s.receiveReply(cmd.Worker, p, plat.WorkerReply{}, errLost) })
}

// deliverCall executes a call on its worker. A sync is answered when a task
// ends, or at its WaitUntil.
func (s *Simulation[P]) deliverCall(worker string, p *pendingCall) {
	if s.down[worker] {
		return
	}
	fake := s.fakeWorkers[worker]
	reply := fake.Call(s.Now, p.call)
	s.scheduleNextEnd(worker)
	mustWait := p.call.Verb == plat.Sync && reply.Accepted && p.call.WaitUntil.After(s.Now) && !fake.AnyTaskEnded(p.call)
	if !mustWait {
		s.sendReply(worker, p, reply)
		return
	}
	s.waitingSyncs[worker] = append(s.waitingSyncs[worker], p)
	s.schedule(p.call.WaitUntil.Sub(s.Now), func() { s.answerSyncs(worker) })
}

// scheduleNextEnd schedules the next time at which a task on the worker finishes
// or its lease expires.
func (s *Simulation[P]) scheduleNextEnd(worker string) {
	next := s.fakeWorkers[worker].NextEnd()
	if next.IsZero() {
		return
	}
	s.schedule(max(0, next.Sub(s.Now)), func() {
		if s.fakeWorkers[worker].Advance(s.Now) {
			s.answerSyncs(worker)
			s.scheduleNextEnd(worker)
		}
	})
}

// answerSyncs answers the syncs that wait on a worker, unless it is down.
func (s *Simulation[P]) answerSyncs(worker string) {
	syncs := s.waitingSyncs[worker]
	s.waitingSyncs[worker] = nil
	for _, p := range syncs {
		if !s.down[worker] {
			s.sendReply(worker, p, s.fakeWorkers[worker].Answer(p.call))
		}
	}
}

func (s *Simulation[P]) sendReply(worker string, p *pendingCall, reply plat.WorkerReply) {
	if s.chance(s.faults.Lost) {
		return
	}
	s.schedule(s.messageDelay(), func() { s.receiveReply(worker, p, reply, nil) })
}

// receiveReply passes a reply or an error to the owner that sent the call. Later
// replies to the same call are dropped.
func (s *Simulation[P]) receiveReply(worker string, p *pendingCall, reply plat.WorkerReply, err error) {
	if p.done || p.epoch != s.epoch {
		return
	}
	p.done = true
	s.Send(sched.WorkerReplyMsg{Worker: worker, Call: p.call, Reply: reply, SentAt: p.sentAt, Err: err})
}

func (s *Simulation[P]) onTick() {
	s.Send(sched.TickMsg{})
	s.schedule(s.tickInterval, s.onTick)
}

// At schedules the function do to run after the given virtual time.
func (s *Simulation[P]) At(after time.Duration, do func()) {
	s.schedule(after, do)
}

// Run advances the virtual clock by the given time, or until the function until
// returns true.
func (s *Simulation[P]) Run(length time.Duration, until func() bool) {
	end := s.Now.Add(length)
	for len(s.events) > 0 && !until() {
		next := s.events[0]
		if next.at.After(end) {
			break
		}
		heap.Pop(&s.events)
		s.Now = next.at
		next.do()
	}
	if s.Now.Before(end) && !until() {
		s.Now = end
	}
}

func (s *Simulation[P]) schedule(after time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.Now.Add(after), sequence: s.sequence, do: do})
}

// event is a function that runs at a virtual time. Events at the same time run
// in the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

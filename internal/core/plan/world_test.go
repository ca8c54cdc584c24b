package plan_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/fakes/crew"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// The delays of the fake world.
const (
	orderDelay   = time.Millisecond
	writeDelay   = 8 * time.Millisecond
	orderTimeout = 900 * time.Millisecond
)

var origin = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// world runs planners against stand-ins of workers and of the store on a
// virtual clock.
type world struct {
	*crew.Crew
	now    time.Time
	random *rand.Rand
	events eventQueue
	serial int
	epoch  int64
	// planners holds every planner that believes that it leads.
	planners []*planner
	config   rules.Config

	jobs      map[string]record.Job
	progress  map[string]record.Progress
	cancelled map[string]bool
	rosters   map[int]record.Roster
	storeDown bool
	// apart names workers that only earlier leaders reach, not the newest.
	apart map[string]bool

	// loseAnswer is the chance that a worker's answer is lost, late the chance
	// that an order is carried out seconds later instead.
	loseAnswer, late float64
	// work returns how long a task takes.
	work func(plan.TaskID) time.Duration
	// fails reports whether a task fails at the end.
	fails func(task plan.TaskID, worker string) bool
}

// planner is one leader. Only the newest epoch can store anything.
type planner struct {
	epoch int64
	model *plan.Model
	over  bool
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].serial, q[j].serial)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newWorld(seed uint64, workers int) *world {
	w := &world{
		now:       origin,
		random:    rand.New(rand.NewPCG(seed, 1)),
		jobs:      map[string]record.Job{},
		progress:  map[string]record.Progress{},
		cancelled: map[string]bool{},
		rosters:   map[int]record.Roster{},
		apart:     map[string]bool{},
		work:      func(plan.TaskID) time.Duration { return 2 * time.Second },
		fails:     func(plan.TaskID, string) bool { return false },
		config: rules.Config{
			Version: 1,
			Queues: []rules.Queue{
				{Name: "urgent", Target: "hall", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Objective: 250 * time.Millisecond},
				{Name: "long", Target: "hall", Priority: 1, MaxAttempts: 3, Stretch: 3, Objective: time.Second},
				{Name: "patient", Target: "hall", Priority: 2, MaxAttempts: 3, Stretch: 3, Objective: 3 * time.Second},
			},
			Teams: []rules.Team{{Name: "acoustics", Guaranteed: 16}},
		},
	}
	w.Crew = crew.New(w, w)
	for i := range workers {
		w.addWorker(fmt.Sprintf("worker-%02d", i), fmt.Sprintf("domain-%d", i/6%4), fmt.Sprintf("rack-%d", i/6))
	}
	w.lead()
	return w
}

// Now implements crew.Clock.
func (w *world) Now() time.Time {
	return w.now
}

// After implements crew.Clock.
func (w *world) After(delay time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now.Add(delay), w.serial, do})
}

// Job implements crew.Jobs.
func (w *world) Job(id string) (record.Job, bool) {
	j, ok := w.jobs[id]
	return j, ok
}

// MaxAttempts implements crew.Jobs.
func (w *world) MaxAttempts(job record.Job) int {
	q, _ := w.config.Queue(job.Queue)
	return q.MaxAttempts
}

// Work implements crew.Jobs.
func (w *world) Work(t plan.TaskID) time.Duration {
	return w.work(t)
}

// Fails implements crew.Jobs.
func (w *world) Fails(t plan.TaskID, worker string) bool {
	return w.fails(t, worker)
}

func (w *world) addWorker(id, domain, rack string) *crew.Worker {
	port := uint16(1000 + len(w.IDs()))
	return w.Add(plan.Worker{
		ID: id, Born: w.now, Target: "hall", Domain: domain, Rack: rack, Labels: []string{"kind-a", rack},
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
		Capacity: record.Amount{MilliCores: 64000, MemoryMB: 131072, Accelerators: 8},
	})
}

// lead makes a new planner that reads what is stored, and ends the others.
func (w *world) lead() {
	for _, p := range w.planners {
		p.over = true
	}
	w.planners = nil
	w.leadToo()
}

// leadToo makes a new planner while the others do not know of it yet.
func (w *world) leadToo() {
	w.epoch++
	p := &planner{epoch: w.epoch, model: plan.New(w.now, w.epoch, plan.DefaultTiming())}
	w.planners = append(w.planners, p)
	w.sendTo(p, plan.ConfigMsg{Config: w.config})
	w.sendTo(p, plan.WorkersMsg{Changed: w.Alive(), Whole: true})
	for _, part := range slices.Sorted(maps.Keys(w.rosters)) {
		w.sendTo(p, plan.RosterMsg{Workers: w.rosters[part].Workers})
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		w.sendTo(p, plan.JobMsg{Job: w.jobs[id], Progress: w.progress[id]})
		if w.cancelled[id] {
			w.sendTo(p, plan.CancelMsg{ID: id})
		}
	}
	w.sendTo(p, plan.LoadedMsg{})
	w.tick(p)
}

func (w *world) tick(p *planner) {
	if p.over {
		return
	}
	w.sendTo(p, plan.TickMsg{})
	w.After(50*time.Millisecond, func() { w.tick(p) })
}

// run lets the world go on for a while.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// submit stores a job and hands it to the planners.
func (w *world) submit(job record.Job) {
	job.SubmittedAt = w.now
	w.jobs[job.ID] = job
	w.send(plan.JobMsg{Job: job})
}

func (w *world) cancel(id string) {
	w.cancelled[id] = true
	w.send(plan.CancelMsg{ID: id})
}

// send hands a message to every planner.
func (w *world) send(msg plan.Msg) {
	for _, p := range slices.Clone(w.planners) {
		w.sendTo(p, msg)
	}
}

func (w *world) sendTo(p *planner, msg plan.Msg) {
	if p.over {
		return
	}
	model, cmds := p.model.Update(w.now, msg)
	p.model = model
	reply := func(msg plan.Msg) { w.sendTo(p, msg) }
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case plan.StartCmd:
			silence := plan.StartMsg{
				Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, Outcome: plan.Unanswered, SentAt: w.now,
			}
			w.order(p, func() plan.Msg { return w.Start(cmd) }, silence, cmd.Worker, reply)
		case plan.StopCmd:
			silence := plan.StopMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, SentAt: w.now}
			w.order(p, func() plan.Msg { return w.Stop(cmd) }, silence, cmd.Worker, reply)
		case plan.LookCmd:
			w.look(p, cmd, reply)
		case plan.WriteCmd:
			w.write(cmd, p, reply)
		case plan.DeposedCmd:
			p.over = true
		case plan.DecisionCmd:
			w.Note("decision %d job %s step %d first %d attempt %d worker %s: %s",
				cmd.Kind, cmd.Job, cmd.Step, cmd.First, cmd.Attempt, cmd.Worker, cmd.Detail)
		}
	}
}

// order carries out a start or a stop, maybe late or without an answer.
func (w *world) order(p *planner, do func() plan.Msg, silence plan.Msg, worker string, reply func(plan.Msg)) {
	f := w.Worker(worker)
	switch {
	case !w.reaches(p, f):
		w.After(orderTimeout, func() { reply(silence) })
	case w.random.Float64() < w.late:
		// The order was read by this life of the worker and dies with it.
		w.After(2*time.Second+time.Duration(w.random.Int64N(int64(8*time.Second))), func() {
			if w.Worker(worker) == f {
				do()
			}
		})
		w.After(orderTimeout, func() { reply(silence) })
	case w.random.Float64() < w.loseAnswer:
		w.After(orderDelay, func() { do() })
		w.After(orderTimeout, func() { reply(silence) })
	default:
		w.After(orderDelay, func() {
			answer := do()
			w.After(orderDelay, func() { reply(answer) })
		})
	}
}

// reaches reports whether a leader's calls get to a worker.
func (w *world) reaches(p *planner, f *crew.Worker) bool {
	return !f.Cut && !f.Dead && (!w.apart[f.Entry.ID] || p.epoch < w.epoch)
}

func (w *world) look(p *planner, cmd plan.LookCmd, reply func(plan.Msg)) {
	f := w.Worker(cmd.Worker)
	answered := false
	silence := plan.LookMsg{Worker: cmd.Worker, SentAt: w.now, Acknowledged: cmd.Acknowledged}
	w.After(cmd.Wait+orderTimeout, func() {
		if !answered {
			reply(silence)
		}
	})
	if !w.reaches(p, f) {
		return
	}
	w.After(orderDelay+f.SlowLook, func() {
		if w.random.Float64() < w.loseAnswer {
			return
		}
		w.Look(cmd, func(msg plan.LookMsg) {
			answered = true
			w.After(orderDelay, func() { reply(msg) })
		})
	})
}

func (w *world) write(cmd plan.WriteCmd, by *planner, reply func(plan.Msg)) {
	if w.storeDown {
		w.After(100*time.Millisecond, func() {
			if !by.over {
				w.write(cmd, by, reply)
			}
		})
		return
	}
	w.After(writeDelay, func() {
		if by.epoch != w.epoch {
			by.over = true
			return
		}
		for _, p := range cmd.Progress {
			w.store(p)
		}
		for _, id := range cmd.Forgotten {
			delete(w.progress, id)
			delete(w.jobs, id)
		}
		for _, r := range cmd.Rosters {
			w.rosters[r.Part] = r
		}
		reply(plan.WrittenMsg{Batch: cmd.Batch})
	})
}

func (w *world) store(p record.Progress) {
	before := w.progress[p.ID]
	w.progress[p.ID] = p
	switch before.State {
	case record.Completed, record.Failed, record.Cancelled:
		if before.State != p.State {
			w.Problem("%s was shown as %s and then as %s", p.ID, before.State, p.State)
		}
	case record.Queued, record.Running, "":
	}
	if p.State == record.Completed {
		w.CheckCompleted(p.ID)
	}
}

func (w *world) state(id string) record.JobState {
	return w.progress[id].State
}

// job returns a job of one step.
func job(number int, queue string, step record.Step) record.Job {
	return record.Job{ID: fmt.Sprintf("%016x", number), Queue: queue, Team: "acoustics", Payload: "p", Steps: []record.Step{step}}
}

func step(tasks, accelerators int) record.Step {
	return record.Step{
		Tasks: tasks, EstimateMillis: 2000,
		Need: record.Amount{MilliCores: 4000, MemoryMB: 8000, Accelerators: accelerators},
	}
}

func gangStep(tasks, accelerators int) record.Step {
	s := step(tasks, accelerators)
	s.Gang = true
	return s
}

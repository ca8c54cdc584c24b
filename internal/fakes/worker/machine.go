// Package worker is a fake of the platform's workers. It runs tasks that
// only wait, under leases, and refuses calls with a stale epoch or an expired
// deadline. A worker is a state machine without sockets or a clock, which Worker
// serves over HTTP.
package worker

import (
	"cmp"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
)

// StateMachine is the state machine of a worker. Its callers pass in the time. It
// is not safe for concurrent use.
type StateMachine struct {
	host        plat.Host
	rejectStale bool
	record      func(check.Record)
	// Failing makes every task that is started from now on fail within 50 ms.
	Failing bool

	epochs map[string]int64
	tasks  map[plat.TaskKey]*task
}

type task struct {
	report    plat.TaskReport
	shard     string
	spec      plat.TaskOrder
	endsAt    time.Time
	startedAt time.Time
	fails     bool
	progress  time.Duration
}

// NewStateMachine returns a worker without tasks. With rejectStale it refuses
// stale epochs and expired deadlines. record is called for each start and end of
// a task.
func NewStateMachine(host plat.Host, rejectStale bool, record func(check.Record)) *StateMachine {
	return &StateMachine{
		host:        host,
		rejectStale: rejectStale,
		record:      record,
		epochs:      map[string]int64{},
		tasks:       map[plat.TaskKey]*task{},
	}
}

// Call carries out a call and returns the answer.
func (m *StateMachine) Call(now time.Time, call plat.WorkerCall) plat.WorkerReply {
	m.Advance(now)
	refusal := m.checkEpoch(call)
	if refusal == "" {
		refusal = m.apply(call, now)
	}
	return m.reply(call, refusal)
}

func (m *StateMachine) reply(call plat.WorkerCall, refusal string) plat.WorkerReply {
	return plat.WorkerReply{
		Accepted:    refusal == "",
		Refusal:     refusal,
		NewestEpoch: m.epochs[call.Shard],
		Worker:      m.host.ID,
		Tasks:       m.taskReports(call.Shard),
	}
}

// Answer returns the current answer to a call that has been carried out.
func (m *StateMachine) Answer(call plat.WorkerCall) plat.WorkerReply {
	return m.reply(call, "")
}

// Kill ends all tasks and forgets them, as a power failure does.
func (m *StateMachine) Kill(now time.Time) {
	for _, t := range m.tasks {
		if t.report.State == plat.Running {
			m.recordEnd(t, "killed", now)
		}
	}
	m.tasks = map[plat.TaskKey]*task{}
}

// NextEnd returns when the next running task ends or its lease expires. It
// returns the zero time if no task runs.
func (m *StateMachine) NextEnd() time.Time {
	var next time.Time
	for _, t := range m.tasks {
		if t.report.State != plat.Running {
			continue
		}
		at := t.endsAt
		if t.report.LeaseUntil.Before(at) {
			at = t.report.LeaseUntil
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Advance ends tasks that have run for their duration or whose lease has
// expired, and reports whether there were any.
func (m *StateMachine) Advance(now time.Time) bool {
	changed := false
	for key, t := range m.tasks {
		switch {
		case t.report.State == plat.Running && !now.Before(t.endsAt):
			m.finishTask(t, t.endsAt)
			changed = true
		case t.report.State == plat.Running && !now.Before(t.report.LeaseUntil):
			m.endTask(t, plat.Stopped, "lease expired", now)
			changed = true
		case t.report.State == plat.Held && now.After(t.report.LeaseUntil):
			delete(m.tasks, key)
		}
	}
	return changed
}

func (m *StateMachine) finishTask(t *task, now time.Time) {
	if t.fails {
		m.endTask(t, plat.Failed, "the task failed", now)
		return
	}
	m.endTask(t, plat.Done, "result of "+t.spec.Key.Job, now)
}

func (m *StateMachine) endTask(t *task, state plat.TaskState, detail string, now time.Time) {
	t.report.State = state
	t.report.Detail = detail
	t.report.EndedAt = now
	m.recordEnd(t, string(state)+": "+detail, now)
}

func (m *StateMachine) recordEnd(t *task, detail string, now time.Time) {
	m.record(check.Record{
		Kind: check.TaskEnded, At: now, Who: m.host.ID, Domain: m.host.Domain,
		Job: t.spec.Key.Job, Run: t.spec.Key.Run, Task: t.spec.Key.Task, Detail: detail,
	})
}

// checkEpoch returns why a call is refused for its epoch, or the empty string.
// A newer epoch releases the holds of the shard's earlier owner.
func (m *StateMachine) checkEpoch(call plat.WorkerCall) string {
	newest := m.epochs[call.Shard]
	if call.Epoch < newest && m.rejectStale {
		return "epoch " + strconv.FormatInt(call.Epoch, 10) + " is older than " + strconv.FormatInt(newest, 10)
	}
	if call.Epoch > newest {
		m.epochs[call.Shard] = call.Epoch
		m.releaseHolds(call.Shard)
	}
	return ""
}

func (m *StateMachine) releaseHolds(shard string) {
	for key, t := range m.tasks {
		if t.shard == shard && t.report.State == plat.Held {
			delete(m.tasks, key)
		}
	}
}

func (m *StateMachine) apply(call plat.WorkerCall, now time.Time) string {
	switch call.Verb {
	case plat.Hold:
		return m.holdTasks(call, now)
	case plat.Start:
		return m.startTasks(call, now)
	case plat.Release:
		m.releaseTasks(call)
	case plat.Checkpoint:
		m.stopTasks(call, now, true)
	case plat.Stop:
		m.stopTasks(call, now, false)
	case plat.Sync:
		m.renewLeases(call, now)
	case plat.Throttle:
	}
	return ""
}

func (m *StateMachine) holdTasks(call plat.WorkerCall, now time.Time) string {
	var taken uint64
	for _, t := range m.tasks {
		if t.report.State == plat.Held || t.report.State == plat.Running {
			taken |= t.spec.Mask
		}
	}
	for _, o := range call.Tasks {
		if t, known := m.tasks[o.Key]; known && t.report.State == plat.Held {
			continue
		}
		if taken&o.Mask != 0 {
			return "accelerators are in use"
		}
		if o.Mask>>m.host.Accelerators != 0 {
			return "no such accelerators"
		}
	}
	if !now.Before(call.LeaseUntil) {
		return "the hold's lease has expired"
	}
	for _, o := range call.Tasks {
		m.tasks[o.Key] = &task{
			spec: o, shard: call.Shard,
			report: plat.TaskReport{Key: o.Key, Mask: o.Mask, State: plat.Held, LeaseUntil: call.LeaseUntil},
		}
	}
	return ""
}

func (m *StateMachine) startTasks(call plat.WorkerCall, now time.Time) string {
	if now.After(call.StartBy) && m.rejectStale {
		return "the start-by deadline has passed"
	}
	for _, o := range call.Tasks {
		t, ok := m.tasks[o.Key]
		if !ok || t.report.State != plat.Held && t.report.State != plat.Running && t.report.State != plat.Done {
			return "task is not held"
		}
	}
	for _, o := range call.Tasks {
		t := m.tasks[o.Key]
		if t.report.State != plat.Held {
			continue
		}
		m.startTask(t, now)
		t.report.LeaseUntil = call.LeaseUntil
	}
	return ""
}

func (m *StateMachine) startTask(t *task, now time.Time) {
	duration, fails := parseInput(t.spec.Input)
	if m.Failing {
		duration, fails = min(duration, 50*time.Millisecond), true
	}
	if saved, err := time.ParseDuration(t.spec.Checkpoint); err == nil {
		duration = max(0, duration-saved)
		t.progress = saved
	}
	t.report.State = plat.Running
	t.startedAt = now
	t.endsAt = now.Add(duration)
	t.fails = fails
	m.record(check.Record{
		Kind: check.TaskStarted, At: now, Who: m.host.ID, Domain: m.host.Domain,
		Job: t.spec.Key.Job, Run: t.spec.Key.Run, Task: t.spec.Key.Task,
		Detail: t.spec.Kind,
	})
}

// parseInput reads a task's input: run-for, the task's duration, and fail,
// which makes it fail if set.
func parseInput(input string) (duration time.Duration, fails bool) {
	values, err := url.ParseQuery(input)
	if err != nil {
		return 0, false
	}
	duration, err = time.ParseDuration(values.Get("run-for"))
	if err != nil {
		duration = 100 * time.Millisecond
	}
	return duration, values.Get("fail") != ""
}

func (m *StateMachine) releaseTasks(call plat.WorkerCall) {
	for _, o := range call.Tasks {
		if t, ok := m.tasks[o.Key]; ok && t.report.State == plat.Held {
			delete(m.tasks, o.Key)
		}
	}
}

// stopTasks stops tasks. It keeps an unknown task as stopped, so that the
// answer reports it.
func (m *StateMachine) stopTasks(call plat.WorkerCall, now time.Time, checkpoint bool) {
	for _, o := range call.Tasks {
		t, ok := m.tasks[o.Key]
		switch {
		case !ok:
			t = &task{spec: o, shard: call.Shard}
			t.report = plat.TaskReport{Key: o.Key, Mask: o.Mask, State: plat.Stopped, Detail: "never started here", EndedAt: now}
			m.tasks[o.Key] = t
		case t.report.State == plat.Held:
			t.report.State = plat.Stopped
			t.report.Detail = "never started here"
		case t.report.State == plat.Running:
			if checkpoint {
				t.report.Checkpoint = (t.progress + now.Sub(t.startedAt)).String()
			}
			m.endTask(t, plat.Stopped, "stopped on request", now)
		}
	}
}

// renewLeases extends the leases of running tasks and drops the ended tasks that
// the call says to forget.
func (m *StateMachine) renewLeases(call plat.WorkerCall, now time.Time) {
	for _, o := range call.Tasks {
		t, ok := m.tasks[o.Key]
		if !ok || t.report.State != plat.Running || now.After(t.report.LeaseUntil) {
			continue
		}
		if call.LeaseUntil.After(t.report.LeaseUntil) {
			t.report.LeaseUntil = call.LeaseUntil
		}
	}
	for _, key := range call.Forget {
		if t, ok := m.tasks[key]; ok && t.report.State != plat.Running && t.report.State != plat.Held {
			delete(m.tasks, key)
		}
	}
}

func (m *StateMachine) taskReports(shard string) []plat.TaskReport {
	list := []plat.TaskReport{}
	for _, t := range m.tasks {
		if t.shard == shard {
			list = append(list, t.report)
		}
	}
	slices.SortFunc(list, func(a, b plat.TaskReport) int {
		return cmp.Or(
			cmp.Compare(a.Key.Job, b.Key.Job),
			cmp.Compare(a.Key.Run, b.Key.Run),
			cmp.Compare(a.Key.Task, b.Key.Task),
		)
	})
	return list
}

// AnyTaskEnded reports whether a task of the call is no longer running.
func (m *StateMachine) AnyTaskEnded(call plat.WorkerCall) bool {
	for _, o := range call.Tasks {
		if t, ok := m.tasks[o.Key]; !ok || t.report.State != plat.Running {
			return true
		}
	}
	return false
}

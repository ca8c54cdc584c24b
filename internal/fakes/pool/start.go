package pool

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Start carries out a request to start a task. Repeating the request for a
// running attempt has no effect.
func (p *Pool) Start(cmd plan.StartCmd) plan.StartMsg {
	return p.StartLate(cmd, p.clock.Now())
}

// StartLate does the same for a request that was sent earlier. Whether it brings
// the worker over its capacity is judged as of then.
func (p *Pool) StartLate(cmd plan.StartCmd, sentAt time.Time) plan.StartMsg {
	w, now := p.workers[cmd.Worker], p.clock.Now()
	msg := plan.StartMsg{
		Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, SentAt: now, Clock: p.clockOf(w), Outcome: plan.Started,
	}
	if refusal := w.refusal(cmd, msg.Clock); refusal != 0 {
		msg.Outcome = refusal
		return msg
	}
	w.fence = cmd.Epoch
	p.extendLease(w, cmd.LeaseUntil)
	if r := w.runs[cmd.Task]; r != nil && r.attempt == cmd.Attempt {
		return msg
	}
	job, known := p.workload.Job(cmd.Task.Job)
	switch {
	case !known || cmd.Task.Step >= len(job.Steps):
		p.RecordProblem("%v was never submitted", cmd.Task)
		msg.Outcome = plan.Invalid
	case w.highestAttempt[cmd.Task] >= cmd.Attempt:
		msg.Outcome = plan.Outdated
	case !w.Unguarded && !w.hasCapacity(job.Steps[cmd.Task.Step].Need, w.Entry.Capacity):
		msg.Outcome = plan.NoCapacity
	default:
		p.RecordEvent("%s starts %v attempt %d", w.Entry.ID, cmd.Task, cmd.Attempt)
		p.checkStart(cmd, job)
		p.checkLimit(w, cmd, job.Steps[cmd.Task.Step], sentAt)
		p.addRun(w, cmd, job.Steps[cmd.Task.Step])
		p.checkTeamLimit(cmd, job, sentAt)
		if p.OnStart != nil {
			p.OnStart(w, cmd.Task)
		}
	}
	return msg
}

// refusal returns the outcome of a start that the worker refuses before it looks at the
// task, or 0.
func (w *Worker) refusal(cmd plan.StartCmd, clock time.Time) plan.StartOutcome {
	switch {
	case w.Replaced:
		return plan.Replaced
	case w.Dead:
		return plan.Unanswered
	case cmd.Epoch < w.fence:
		return plan.Fenced
	case !cmd.LeaseUntil.After(clock):
		return plan.Expired
	case w.Sheds:
		return plan.Unhealthy
	default:
		return w.Refuses
	}
}

// addRun adds a run to a worker. The members of a gang begin to work once all of
// them have been started; a member that waits longer than GangWait ends.
func (p *Pool) addRun(w *Worker, cmd plan.StartCmd, step record.Step) {
	workTime := w.scaledTime(p.workload.TaskDuration(cmd.Task))
	r := &run{task: cmd.Task, attempt: cmd.Attempt, need: step.Need, workTime: workTime}
	w.runs[cmd.Task] = r
	if !step.Gang || step.Tasks < 2 {
		p.beginWork(w, r)
		return
	}
	members := p.members(r)
	if len(members) == step.Tasks {
		for _, o := range members {
			p.beginWork(o.worker, o.run)
		}
		return
	}
	p.clock.After(GangWait, func() {
		if w.runs[r.task] == r && !r.working {
			p.end(w, r, plan.EndGangIncomplete)
		}
	})
}

// checkStart records a start, and a problem if the task must not be started
// because it is done, runs elsewhere, has failed too often, or depends on a step
// that is not done.
func (p *Pool) checkStart(cmd plan.StartCmd, job record.Job) {
	if p.ackedDone[cmd.Task] {
		p.RecordProblem("%v started again after it was done", cmd.Task)
	}
	for _, w := range p.workers {
		if w.runs[cmd.Task] != nil && !w.Dead {
			p.RecordProblem("%v started at %s while it runs at %s", cmd.Task, cmd.Worker, w.Entry.ID)
		}
	}
	if p.failures[cmd.Task] >= p.workload.MaxAttempts(job) {
		p.RecordProblem("%v started after %d failures", cmd.Task, p.failures[cmd.Task])
	}
	for _, a := range job.Steps[cmd.Task.Step].After {
		for i := range job.Steps[a].Tasks {
			t := plan.TaskID{Job: job.ID, Occurrence: cmd.Task.Occurrence, Step: a, Index: i}
			if !p.IsDone(t, job.Steps[a]) {
				p.RecordProblem("%v started before %v was done", cmd.Task, t)
			}
		}
	}
	p.checkCrashes(cmd.Task)
	now := p.clock.Now()
	p.lastStart[cmd.Task] = now
	p.starts[cmd.Task]++
	if _, ok := p.firstStart[job.ID]; !ok {
		p.firstStart[job.ID] = now
	}
}

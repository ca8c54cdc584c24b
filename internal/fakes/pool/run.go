package pool

import (
	"cmp"
	"slices"

	"github.com/rattanshore/rattanshore/internal/core/plan"
)

// member is a run of a gang with its worker.
type member struct {
	worker *Worker
	run    *run
}

// members returns the runs of r's gang that are not being stopped, in a fixed order:
// the members of a gang begin and end at the same time, and the order of the events
// decides which worker answers first.
func (p *Pool) members(r *run) []member {
	var members []member
	for _, w := range p.workers {
		for _, o := range w.runs {
			same := o.task.Job == r.task.Job && o.task.Step == r.task.Step && o.task.Occurrence == r.task.Occurrence
			if same && o.attempt == r.attempt && !o.stopping {
				members = append(members, member{w, o})
			}
		}
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.run.task.Index, b.run.task.Index), cmp.Compare(a.worker.Entry.ID, b.worker.Entry.ID))
	})
	return members
}

// beginWork begins the work of a run and schedules its end.
func (p *Pool) beginWork(w *Worker, r *run) {
	r.working = true
	r.begunAt = p.clock.Now()
	if w.Hung {
		return
	}
	p.clock.After(r.workTime, func() {
		if w.Dead || w.runs[r.task] != r || r.stopping || w.Hung {
			return
		}
		r.finished = true
		switch {
		case !p.allFinished(r):
		case p.workload.Fails(r.task, w.Entry.ID):
			p.end(w, r, plan.EndFailed)
		default:
			p.end(w, r, plan.EndDone)
		}
	})
}

// allFinished reports whether every member of a run's gang has finished its
// work.
func (p *Pool) allFinished(r *run) bool {
	job, _ := p.workload.Job(r.task.Job)
	step := job.Steps[r.task.Step]
	if !step.Gang || step.Tasks < 2 {
		return true
	}
	finished := 0
	for _, o := range p.members(r) {
		if o.run.finished {
			finished++
		}
	}
	return finished == step.Tasks
}

// end ends a run, and with it the other members of its gang.
func (p *Pool) end(w *Worker, r *run, kind plan.EndKind) {
	p.RecordEvent("%s ends %v attempt %d kind %d", w.Entry.ID, r.task, r.attempt, kind)
	delete(w.runs, r.task)
	w.highestAttempt[r.task] = max(w.highestAttempt[r.task], r.attempt)
	w.lastEnd++
	w.endTimes[w.lastEnd] = p.clock.Now()
	w.ended = append(w.ended, plan.EndReport{Number: w.lastEnd, Task: r.task, Attempt: r.attempt, Kind: kind})
	switch kind {
	case plan.EndDone:
		p.done[r.task]++
	case plan.EndFailed:
		p.failedRuns[r.task]++
	case plan.EndStopped, plan.EndLeaseExpired, plan.EndMemberEnded, plan.EndGangIncomplete:
	}
	memberKind := plan.EndMemberEnded
	if kind == plan.EndDone {
		memberKind = plan.EndDone
	}
	p.endGangMembers(r, memberKind)
	pendingPolls := w.pendingPolls
	w.pendingPolls = nil
	for _, answer := range pendingPolls {
		answer()
	}
}

// Forget removes a run from the worker without an end.
func (p *Pool) Forget(w *Worker, t plan.TaskID) {
	delete(w.runs, t)
}

// Fail ends a run of the worker in failure, and with it the other members of its gang
// that have begun to work.
func (p *Pool) Fail(w *Worker, t plan.TaskID) {
	if r := w.runs[t]; r != nil && !w.Dead {
		p.end(w, r, plan.EndFailed)
	}
}

// endGangMembers ends the other working members of a run's gang.
func (p *Pool) endGangMembers(r *run, memberKind plan.EndKind) {
	job, _ := p.workload.Job(r.task.Job)
	step := job.Steps[r.task.Step]
	if !step.Gang || step.Tasks < 2 {
		return
	}
	for _, o := range p.members(r) {
		if o.run.working && !o.worker.Dead && o.worker.runs[o.run.task] == o.run {
			p.end(o.worker, o.run, memberKind)
		}
	}
}

// Stop carries out a request to stop a task. The task ends after StopDelay, and
// no attempt up to the request's can be started any more.
func (p *Pool) Stop(cmd plan.StopCmd) plan.StopMsg {
	w := p.workers[cmd.Worker]
	msg := plan.StopMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, SentAt: p.clock.Now(), Replaced: w.Replaced}
	if w.Dead {
		return msg
	}
	if cmd.Epoch < w.fence {
		msg.Fenced = true
		return msg
	}
	w.fence = cmd.Epoch
	msg.Answered, msg.Clock = true, p.clockOf(w)
	w.highestAttempt[cmd.Task] = max(w.highestAttempt[cmd.Task], cmd.Attempt)
	r := w.runs[cmd.Task]
	if r == nil || r.attempt > cmd.Attempt || r.stopping {
		return msg
	}
	r.stopping = true
	p.clock.After(StopDelay, func() {
		if w.runs[cmd.Task] == r && !w.Dead {
			p.end(w, r, plan.EndStopped)
		}
	})
	return msg
}

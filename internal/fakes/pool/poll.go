package pool

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
)

// Poll carries out a status poll, which also renews the worker's lease and
// acknowledges ended runs. reply may be called later; it is not called if the
// worker crashes or is cut off before that.
func (p *Pool) Poll(cmd plan.PollCmd, reply func(plan.PollMsg)) {
	w, sentAt := p.workers[cmd.Worker], p.clock.Now()
	msg := plan.PollMsg{Worker: cmd.Worker, SentAt: sentAt, Acknowledged: cmd.Acknowledged, Replaced: w.Replaced}
	if w.Replaced {
		reply(msg)
		return
	}
	if w.Dead {
		return
	}
	if cmd.Epoch < w.fence {
		msg.Fenced = true
		reply(msg)
		return
	}
	w.fence = cmd.Epoch
	p.extendLease(w, cmd.LeaseUntil)
	p.acknowledge(w, cmd.Acknowledged)
	answered := false
	answer := func() {
		if answered || w.Dead || w.Unreachable {
			return
		}
		answered = true
		now := p.clock.Now()
		msg.Answered, msg.StartedAt, msg.Clock = true, w.Entry.StartedAt, p.clockOf(w)
		msg.Ended = slices.Clone(w.ended)
		if n := p.EndsPerAnswer; len(msg.Ended) >= n {
			msg.Ended, msg.MoreEnds = msg.Ended[:n], true
		}
		for _, r := range w.sortedRuns() {
			msg.Running = append(msg.Running, plan.RunReport{Task: r.task, Attempt: r.attempt, Percent: w.percent(now, r)})
		}
		reply(msg)
	}
	if cmd.Wait == 0 || len(w.ended) > 0 {
		answer()
		return
	}
	w.pendingPolls = append(w.pendingPolls, answer)
	p.clock.After(cmd.Wait, answer)
}

func (w *Worker) percent(now time.Time, r *run) int {
	if !r.working || w.Hung {
		return 0
	}
	return min(100, int(100*now.Sub(r.begunAt)/max(r.workTime, 1)))
}

// acknowledge drops ended runs up to a number. An acknowledged end is final
// unless the worker's lease has expired since the run ended.
func (p *Pool) acknowledge(w *Worker, number int64) {
	w.ended = slices.DeleteFunc(w.ended, func(e plan.EndReport) bool {
		if e.Number > number {
			return false
		}
		at := w.endTimes[e.Number]
		if w.leaseExpiredAt.After(at) {
			return true
		}
		switch e.Kind {
		case plan.EndDone:
			p.recordDone(e.Task, at)
		case plan.EndFailed:
			p.recordFailure(e.Task, at)
		case plan.EndStopped, plan.EndLeaseExpired, plan.EndMemberEnded, plan.EndGangIncomplete:
		}
		return true
	})
}

// recordDone records that a task's end as done was acknowledged, and a problem if
// the task was started again after it.
func (p *Pool) recordDone(t plan.TaskID, at time.Time) {
	p.ackedDone[t] = true
	if p.lastStart[t].After(at) {
		p.RecordProblem("%v was started again after it had ended as done at %v", t, at.Sub(p.startedAt))
	}
}

// recordFailure counts a failed run, and records a problem if the task was
// started again after it had failed too often.
func (p *Pool) recordFailure(t plan.TaskID, at time.Time) {
	p.failures[t]++
	if at.After(p.lastFailure[t]) {
		p.lastFailure[t] = at
	}
	job, _ := p.workload.Job(t.Job)
	if p.failures[t] >= p.workload.MaxAttempts(job) && p.lastStart[t].After(p.lastFailure[t]) {
		p.RecordProblem("%v was started after %d failures", t, p.failures[t])
	}
}

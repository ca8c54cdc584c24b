package plan_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// foreign draws what rows and workers may say that no leader has stored or started.
// The jobs are valid, since those that are not are refused before.
type foreign struct {
	*rapid.T
	// started holds the starts that the planner has sent.
	started []plan.StartCmd
}

func (f *foreign) int(label string) int {
	return rapid.OneOf(rapid.IntRange(-2, 4), rapid.SampledFrom([]int{math.MinInt, math.MaxInt, 1 << 40, -1 << 40})).Draw(f.T, label)
}

func (f *foreign) text(label string, texts ...string) string {
	return rapid.SampledFrom(texts).Draw(f.T, label)
}

func (f *foreign) task() plan.TaskID {
	return plan.TaskID{Job: f.text("job", "", "a", "b", "z"), Occurrence: f.int("occurrence"), Step: f.int("step"), Index: f.int("index")}
}

// run draws a task and an attempt, often of a run that the planner has started.
func (f *foreign) run() (plan.TaskID, int) {
	if len(f.started) == 0 || rapid.IntRange(0, 3).Draw(f.T, "own") == 0 {
		return f.task(), f.int("attempt")
	}
	cmd := rapid.SampledFrom(f.started).Draw(f.T, "started")
	return cmd.Task, cmd.Attempt + rapid.IntRange(-1, 1).Draw(f.T, "off")
}

func (f *foreign) poll() plan.PollMsg {
	msg := plan.PollMsg{
		Worker: f.worker(), SentAt: f.clock(), Answered: rapid.IntRange(0, 5).Draw(f.T, "answered") > 0, Clock: f.clock(),
		Acknowledged: int64(f.int("acknowledged")), Replaced: rapid.IntRange(0, 9).Draw(f.T, "replaced") == 0,
	}
	if rapid.IntRange(0, 5).Draw(f.T, "restarted") == 0 {
		msg.StartedAt = f.clock()
	}
	for range rapid.IntRange(0, 3).Draw(f.T, "running") {
		task, attempt := f.run()
		msg.Running = append(msg.Running, plan.RunReport{Task: task, Attempt: attempt, Percent: f.int("percent"), Checkpoint: f.text("checkpoint", "", "c")})
	}
	for i := range rapid.IntRange(0, 3).Draw(f.T, "ended") {
		task, attempt := f.run()
		kind := plan.EndKind(rapid.IntRange(-1, 8).Draw(f.T, "kind"))
		msg.Ended = append(msg.Ended, plan.EndReport{Number: int64(f.int("number") + i), Task: task, Attempt: attempt, Kind: kind})
	}
	return msg
}

func (f *foreign) worker() string {
	return f.text("worker", "", "w1", "w2", "w9")
}

func (f *foreign) clock() time.Time {
	return rapid.SampledFrom([]time.Time{{}, foreignStart, foreignStart.Add(time.Minute), time.UnixMilli(math.MaxInt64), time.UnixMilli(-5)}).Draw(f.T, "clock")
}

func (f *foreign) amount() record.Amount {
	if rapid.Bool().Draw(f.T, "usual") {
		return record.Amount{MilliCores: 8000, MemoryMB: 8000, Accelerators: 2}
	}
	return record.Amount{MilliCores: f.int("cores"), MemoryMB: f.int("memory"), Accelerators: f.int("accelerators")}
}

func (f *foreign) entry() plan.Worker {
	return plan.Worker{
		ID: f.worker(), StartedAt: f.clock(), Target: f.text("target", "", "bells"), Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Domain: f.text("domain", "", "d"), Rack: f.text("rack", "", "r"), Capacity: f.amount(),
		Draining: rapid.Bool().Draw(f.T, "draining"), Remaining: time.Duration(f.int("remaining")),
	}
}

func (f *foreign) rows() []record.Progress {
	rows := make([]record.Progress, rapid.IntRange(0, 3).Draw(f.T, "rows"))
	for i := range rows {
		rows[i] = f.progress()
	}
	return rows
}

func (f *foreign) progress() record.Progress {
	p := record.Progress{ID: "a", Part: f.int("part"), State: record.JobState(f.text("state", "", "queued", "running", "odd")), Attempt: f.int("attempt")}
	for range rapid.IntRange(0, 4).Draw(f.T, "gangs") {
		p.Gangs = append(p.Gangs, record.GangProgress{
			Attempt: f.int("attempt"), Done: rapid.Bool().Draw(f.T, "done"), First: f.int("first"), Occurrence: f.int("occurrence"),
			Step: f.int("step"), Slice: f.int("slice"), FailedAttempts: []int{f.int("failed")}, Checkpoint: f.text("checkpoint", "", "c"),
			Places: []record.Place{{Index: f.int("index"), Worker: f.worker()}, {Index: f.int("index"), Worker: f.worker()}},
		})
	}
	return p
}

func (f *foreign) job(id string) record.Job {
	return record.Job{ID: id, Queue: f.text("queue", "q", "gone"), Team: "t", Occurrences: rapid.IntRange(0, 3).Draw(f.T, "occurrences"), Steps: []record.Step{
		{Tasks: 3, Gang: rapid.Bool().Draw(f.T, "gang"), SameRack: true, EstimateMillis: 1 << 40, Need: record.Amount{Accelerators: 1}},
		{Tasks: 2, After: []int{0}, SavesProgress: true, SpreadLimit: 1, NearRack: "r", Perpetual: rapid.Bool().Draw(f.T, "perpetual")},
	}}
}

func (f *foreign) message() plan.Msg {
	switch rapid.IntRange(0, 9).Draw(f.T, "message") {
	case 0:
		return plan.JobMsg{Job: f.job(f.text("id", "a", "b")), Progress: f.rows()}
	case 1:
		return plan.CancelMsg{ID: f.text("id", "a", "b", "z")}
	case 2:
		return plan.RosterMsg{Workers: []record.RosterEntry{{ID: f.worker(), Address: f.text("address", "", "no", "127.0.0.1:2")}}}
	case 3:
		return plan.WorkersMsg{Changed: []plan.Worker{f.entry(), f.entry()}, Gone: []string{f.worker()}, Complete: rapid.Bool().Draw(f.T, "complete")}
	case 4, 5:
		return f.poll()
	case 6:
		task, attempt := f.run()
		return plan.StartMsg{Worker: f.worker(), Task: task, Attempt: attempt, Outcome: plan.StartOutcome(rapid.IntRange(0, 10).Draw(f.T, "outcome")), Clock: f.clock()}
	case 7:
		task, attempt := f.run()
		return plan.StopMsg{Worker: f.worker(), Task: task, Attempt: attempt, Answered: true, Replaced: rapid.Bool().Draw(f.T, "replaced")}
	case 8:
		return plan.WrittenMsg{Batch: f.int("batch")}
	default:
		return plan.TickMsg{}
	}
}

var foreignStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against a row, an entry or a worker's list that ends the leader's process.
// Answers to the planner's own calls are mixed in, so that runs get under way.
func TestForeignMessages(t *testing.T) {
	config := rules.Config{
		Version: 1, Queues: []rules.Queue{{Name: "q", Target: "bells", MaxAttempts: 2, Stretch: 2, Objective: time.Second}},
		Targets: []rules.Target{{Name: "bells"}}, Teams: []rules.Team{{Name: "t", Guaranteed: 2}},
	}
	rapid.Check(t, func(r *rapid.T) {
		f := &foreign{T: r}
		now := foreignStart
		m := plan.New(now, 3, plan.DefaultTiming(), plan.Policy{})
		var pending []plan.Msg
		update := func(msg plan.Msg) {
			var cmds []plan.Cmd
			m, cmds = m.Update(now, msg)
			for _, cmd := range cmds {
				pending = append(pending, answerTo(f, now, cmd)...)
			}
		}
		update(plan.ConfigMsg{Config: config})
		for range rapid.IntRange(0, 6).Draw(r, "loaded") {
			update(f.message())
		}
		update(plan.LoadedMsg{})
		for range rapid.IntRange(1, 80).Draw(r, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond)
			if len(pending) > 0 && rapid.IntRange(0, 3).Draw(r, "answer") > 0 {
				msg := pending[0]
				pending = pending[1:]
				update(msg)
				continue
			}
			update(f.message())
		}
	})
}

// reports returns the newest starts as running.
func (f *foreign) reports() []plan.RunReport {
	var reports []plan.RunReport
	for _, cmd := range f.started[max(0, len(f.started)-6):] {
		reports = append(reports, plan.RunReport{Task: cmd.Task, Attempt: cmd.Attempt, Percent: f.int("percent")})
	}
	return reports
}

// answerTo returns the good answer to a command.
func answerTo(f *foreign, now time.Time, cmd plan.Cmd) []plan.Msg {
	switch cmd := cmd.(type) {
	case plan.WriteCmd:
		return []plan.Msg{plan.WrittenMsg{Batch: cmd.Batch}}
	case plan.StartCmd:
		f.started = append(f.started, cmd)
		return []plan.Msg{plan.StartMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, Outcome: plan.Started, SentAt: now, Clock: now}}
	case plan.StopCmd:
		return []plan.Msg{plan.StopMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, Answered: true, SentAt: now}}
	case plan.PollCmd:
		return []plan.Msg{plan.PollMsg{Worker: cmd.Worker, SentAt: now, Answered: true, Clock: now, Running: f.reports()}}
	default:
		return nil
	}
}

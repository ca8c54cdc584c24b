package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// wideRun is a run of a planTester's worker.
type wideRun struct {
	attempt    int
	checkpoint string
}

// planTester drives planners whose rows it checks and keeps, with workers that start what
// they are told. Each run has a checkpoint of its own that no compression makes smaller.
type planTester struct {
	t       *testing.T
	model   *plan.Model
	now     time.Time
	epoch   int64
	job     record.Job
	entries []plan.Worker
	rows    map[store.Key]store.Row
	version int64
	running map[string]map[plan.TaskID]wideRun
	ended   map[string][]plan.EndReport
	lastEnd int64
	done    map[plan.TaskID]bool
	random  *rand.Rand
	queue   []plan.Cmd
	// storeDelay is how long the store takes, written the batch that is being stored, and
	// writtenAt when that is done.
	storeDelay time.Duration
	written    int
	writtenAt  time.Time
	// openSince is since when no end of the first worker was acknowledged, though it
	// had one.
	openSince time.Time
	// waiting holds the polls that are answered at a time, or once the worker has ends.
	waiting map[string]waitingPoll
}

// waitingPoll is a poll whose answer waits for an end.
type waitingPoll struct {
	cmd   plan.PollCmd
	until time.Time
}

func newPlanTester(t *testing.T, steps ...record.Step) *planTester {
	p := &planTester{
		t: t, now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), rows: map[store.Key]store.Row{},
		running: map[string]map[plan.TaskID]wideRun{}, ended: map[string][]plan.EndReport{},
		done: map[plan.TaskID]bool{}, random: rand.New(rand.NewPCG(1, 1)),
		job: record.Job{ID: "00000000000000aa", Queue: "long", Team: "acoustics", Payload: "p", Steps: steps},
	}
	for i := range 30 {
		w := plan.Worker{
			ID: fmt.Sprintf("i-%016x", p.random.Uint64()), StartedAt: p.now, Target: "hall", Domain: "domain-a",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(2000+i)),
			Rack:    fmt.Sprintf("rack-%d", i/6), Capacity: record.Amount{MilliCores: 800_000, MemoryMB: 800_000},
		}
		p.entries = append(p.entries, w)
		p.running[w.ID] = map[plan.TaskID]wideRun{}
	}
	p.lead()
	return p
}

// lead replaces the leader by one that reads what is stored.
func (p *planTester) lead() {
	p.epoch++
	p.model, p.queue = plan.New(p.now, p.epoch, plan.DefaultTiming(), plan.Policy{}), nil
	p.waiting, p.written = map[string]waitingPoll{}, 0
	p.send(plan.ConfigMsg{Config: rules.Config{
		Version: 1, Queues: []rules.Queue{{Name: "long", Target: "hall", Priority: 1, MaxAttempts: 3, Stretch: 3}},
		Teams: []rules.Team{{Name: "acoustics"}},
	}})
	p.send(plan.WorkersMsg{Changed: p.entries, Complete: true})
	var rows []store.Row
	for _, r := range p.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	var progress []record.Progress
	for _, r := range rows {
		p.readRow(r, &progress)
	}
	p.send(plan.JobMsg{Job: p.job, Progress: progress})
	p.send(plan.LoadedMsg{})
}

// readRow sends a roster to the planner, and collects progress.
func (p *planTester) readRow(r store.Row, progress *[]record.Progress) {
	if _, part, ok := progressPartOf(r.Key.Name); r.Key.Table == tableProgress && ok {
		var row record.Progress
		if err := decode(r.Value, &row); err != nil || row.Part != part {
			p.t.Fatalf("row %s holds part %d: %v", r.Key.Name, row.Part, err)
		}
		*progress = append(*progress, row)
		return
	}
	var roster record.Roster
	if decode(r.Value, &roster) == nil {
		p.send(plan.RosterMsg{Workers: roster.Workers})
	}
}

func (p *planTester) send(msg plan.Msg) {
	var cmds []plan.Cmd
	p.model, cmds = p.model.Update(p.now, msg)
	p.queue = append(p.queue, cmds...)
}

// run carries out what the planner wants for so long.
func (p *planTester) run(length time.Duration) {
	const step = 20 * time.Millisecond
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(step) {
		p.send(plan.TickMsg{})
		if p.written > 0 && !p.now.Before(p.writtenAt) {
			batch := p.written
			p.written = 0
			p.send(plan.WrittenMsg{Batch: batch})
		}
		cmds := p.queue
		p.queue = nil
		for _, cmd := range cmds {
			p.execute(cmd)
		}
		for _, w := range p.entries {
			poll, waits := p.waiting[w.ID]
			if waits && (len(p.ended[w.ID]) > 0 || !p.now.Before(poll.until)) {
				delete(p.waiting, w.ID)
				p.answerPoll(poll.cmd)
			}
		}
	}
}

func (p *planTester) execute(cmd plan.Cmd) {
	switch cmd := cmd.(type) {
	case plan.WriteCmd:
		p.store(cmd)
		p.written, p.writtenAt = cmd.Batch, p.now.Add(p.storeDelay)
	case plan.StartCmd:
		p.start(cmd)
	case plan.StopCmd:
		p.t.Errorf("%v attempt %d is stopped", cmd.Task, cmd.Attempt)
	case plan.PollCmd:
		if cmd.Worker == p.entries[0].ID && len(p.ended[cmd.Worker]) > 0 && p.ended[cmd.Worker][0].Number <= cmd.Acknowledged {
			p.openSince = time.Time{}
		}
		p.ended[cmd.Worker] = slices.DeleteFunc(p.ended[cmd.Worker], func(e plan.EndReport) bool { return e.Number <= cmd.Acknowledged })
		p.waiting[cmd.Worker] = waitingPoll{cmd, p.now.Add(cmd.Wait)}
	}
}

// store keeps the rows of a batch, each of which the platform's store has to accept.
func (p *planTester) store(cmd plan.WriteCmd) {
	b, err := newBatch(cmd)
	if err != nil {
		p.t.Fatal(err)
	}
	for _, key := range b.reduced {
		p.t.Errorf("something was left out of row %s", key.Name)
	}
	for _, change := range b.changes {
		for _, r := range change.Put {
			if len(r.Value) > maxRowBytes {
				p.t.Errorf("row %s/%s has %d bytes", r.Key.Table, r.Key.Name, len(r.Value))
			}
			p.version++
			p.rows[r.Key] = store.Row{Key: r.Key, Value: r.Value, Version: p.version}
		}
		for _, key := range change.Remove {
			delete(p.rows, key)
		}
	}
}

// checkpointBytes is the length of each checkpoint, several times that of the platform's.
const checkpointBytes = 128

func (p *planTester) start(cmd plan.StartCmd) {
	if p.done[cmd.Task] {
		p.t.Errorf("%v is started again, attempt %d", cmd.Task, cmd.Attempt)
	}
	checkpoint := make([]byte, checkpointBytes)
	for i := range checkpoint {
		checkpoint[i] = byte(' ' + p.random.IntN(95))
	}
	p.running[cmd.Worker][cmd.Task] = wideRun{attempt: cmd.Attempt, checkpoint: string(checkpoint)}
	p.send(plan.StartMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, Outcome: plan.Started, SentAt: p.now, Clock: p.now})
}

func (p *planTester) answerPoll(cmd plan.PollCmd) {
	msg := plan.PollMsg{
		Worker: cmd.Worker, SentAt: p.now, Answered: true, StartedAt: p.entries[0].StartedAt, Clock: p.now,
		Acknowledged: cmd.Acknowledged, Ended: slices.Clone(p.ended[cmd.Worker]),
	}
	for task, r := range p.running[cmd.Worker] {
		msg.Running = append(msg.Running, plan.RunReport{Task: task, Attempt: r.attempt, Checkpoint: r.checkpoint, Percent: 100})
	}
	p.send(msg)
}

// end ends the runs that match as done.
func (p *planTester) end(match func(plan.TaskID) bool) {
	for _, w := range p.entries {
		for task, r := range p.running[w.ID] {
			if !match(task) {
				continue
			}
			p.done[task] = true
			delete(p.running[w.ID], task)
			p.lastEnd++
			p.ended[w.ID] = append(p.ended[w.ID], plan.EndReport{Number: p.lastEnd, Task: task, Attempt: r.attempt, Kind: plan.EndDone, Checkpoint: r.checkpoint})
		}
	}
}

func (p *planTester) runs() int {
	n := 0
	for _, runs := range p.running {
		n += len(runs)
	}
	return n
}

// state returns the stored state of the job.
func (p *planTester) state() record.JobState {
	var row record.Progress
	if err := decode(p.rows[progressKey(p.job.ID)].Value, &row); err != nil {
		p.t.Fatal(err)
	}
	return row.State
}

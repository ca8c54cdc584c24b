package entry

import (
	"context"
	"strings"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/membr"
	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/edge/runner"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

type scheduler = runner.Runner[*sched.Model[block.BestFit], sched.Msg, sched.Cmd]

// shardRow is the value of a shard's row.
type shardRow struct {
	Sequence    int64     `json:"sequence"`
	Shard       string    `json:"shard"`
	Owner       string    `json:"owner"`
	Incarnation string    `json:"incarnation"`
	Epoch       int64     `json:"epoch"`
	ExpiresAt   time.Time `json:"expires-at"`
}

func (r shardRow) lease(version int64) membr.Lease {
	return membr.Lease{
		Shard: r.Shard, Owner: r.Owner, Incarnation: r.Incarnation,
		Epoch: r.Epoch, ExpiresAt: r.ExpiresAt, Version: version,
	}
}

// owner runs the scheduler of a shard that this host owns.
type owner struct {
	host   *Host
	shard  string
	epoch  int64
	lane   *store.Lane
	runner *scheduler
	cancel context.CancelFunc
	// apply writes the shard's row and job rows. It outlives the runner, so
	// that a commit under way at a hand-over is finished and not left open.
	apply func(store.Change) (store.Outcome, error)
	poll  chan struct{}
	// jobs follows the rows of jobs and cancellations.
	jobs *store.Follower
	// sequence tells two values of the shard's row apart; its lane uses it.
	sequence int64
}

func (h *Host) owners() []*owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*owner, 0, len(h.owned))
	for _, o := range h.owned {
		list = append(list, o)
	}
	return list
}

func (h *Host) ownerOf(shard string) *owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owned[shard]
}

func (h *Host) wakeOwners() {
	for _, o := range h.owners() {
		o.wake()
	}
}

func (o *owner) wake() {
	select {
	case o.poll <- struct{}{}:
	default:
	}
}

// takeShards tries to take the shards that this host should own and nobody
// does.
func (h *Host) takeShards(ctx context.Context) {
	if h.isStopping() || !h.view.isPolled() || h.store.Health() == store.Down {
		return
	}
	config, _ := h.view.currentConfig()
	var leases []membr.Lease
	for _, s := range config.Document.Shards {
		if h.ownerOf(s.Name) == nil {
			leases = append(leases, h.view.lease(s.Name))
		}
	}
	wanted := membr.Wanted(time.Now(), h.settings.Host.ID, leases, h.view.members(), h.settings.Timing.ClockBound)
	for _, l := range wanted {
		h.takeShard(ctx, l)
	}
}

func (h *Host) takeShard(ctx context.Context, l membr.Lease) {
	o := &owner{host: h, shard: l.Shard, epoch: l.Epoch + 1, poll: make(chan struct{}, 1)}
	o.lane = store.NewLane(h.store, keyOf(rows.Shard(l.Shard)), l.Version)
	o.jobs = store.NewFollower(h.store, rows.ShardJobs, 0)
	call, cancelCall := context.WithTimeout(ctx, h.settings.Timing.ShardLease)
	defer cancelCall()
	if outcome, err := o.lane.Apply(call, store.Change{}, o.row); err != nil || !outcome.Made {
		return
	}
	logev.ShardTaken.Log(h.log).Str("shard", o.shard).Int64("epoch", o.epoch).Str("from", l.Owner).Send()
	child, cancel := context.WithCancel(ctx)
	o.cancel = cancel
	o.apply = func(c store.Change) (store.Outcome, error) { return o.lane.Apply(ctx, c, o.row) }
	model := sched.New(sched.Shard{Name: o.shard, Epoch: o.epoch}, block.BestFit{}, h.schedTiming())
	o.runner = runner.New(model, o.execute, time.Now, sched.Msg(sched.TickMsg{}))
	h.mu.Lock()
	h.owned[o.shard] = o
	h.mu.Unlock()
	h.goDo(func() { o.runner.Run(child) })
	h.goDo(func() { o.feed(child) })
}

func (h *Host) schedTiming() sched.Timing {
	t := h.settings.Timing
	timing := sched.DefaultTiming()
	timing.Lease = t.TaskLease
	timing.SyncInterval = t.WorkerSync
	timing.CallTimeout = t.WorkerTimeout
	timing.StartWindow = t.StartWindow
	timing.ReclaimGrace = t.ReclaimGrace
	timing.ClockBound = t.ClockBound
	timing.UrgentLead = t.UrgentLead
	timing.Patience = t.GangPatience
	timing.SetAside = t.SetAside
	return timing
}

func (o *owner) row() []byte {
	o.sequence++
	return encode(shardRow{
		Sequence:    o.sequence,
		Shard:       o.shard,
		Owner:       o.host.settings.Host.ID,
		Incarnation: o.host.incarnation,
		Epoch:       o.epoch,
		ExpiresAt:   time.Now().Add(o.host.settings.Timing.ShardLease),
	})
}

// freeRow is the shard's row once it is given up.
func (o *owner) freeRow() []byte {
	return encode(shardRow{Shard: o.shard, Epoch: o.epoch, ExpiresAt: time.Now()})
}

// feed gives the scheduler the rows that existed at takeover, and then those
// that are new.
func (o *owner) feed(ctx context.Context) {
	h := o.host
	config, row := h.view.currentConfig()
	o.runner.Send(sched.ConfigMsg{Config: config, Version: row})
	o.runner.Send(sched.DomainsMsg{Domains: h.view.tableDomains()})
	o.runner.Send(sched.WorkersMsg{Workers: h.view.shardWorkers(o.shard)})
	loaded := false
	for ctx.Err() == nil {
		if err := o.readNew(ctx); err == nil && !loaded {
			loaded = true
			o.runner.Send(sched.LoadedMsg{})
		}
		select {
		case <-ctx.Done():
		case <-o.poll:
		}
	}
}

func (o *owner) readNew(ctx context.Context) error {
	changed, _, err := o.host.follow(ctx, o.jobs)
	if err != nil {
		return err
	}
	for _, row := range changed.Rows {
		if strings.HasPrefix(row.Key.Name, rows.Jobs(o.shard)) && !row.Deleted {
			o.sendJob(row)
		}
	}
	// A cancellation must not reach the scheduler before its job.
	for _, row := range changed.Rows {
		if id, ok := strings.CutPrefix(row.Key.Name, rows.Cancels(o.shard)); ok && !row.Deleted {
			o.runner.Send(sched.CancelMsg{ID: id})
		}
	}
	return nil
}

func (o *owner) sendJob(row store.Row) {
	if job, ok := decodeLogged[schema.JobStatus](o.host.log, row); ok {
		o.runner.Send(sched.JobMsg{Job: job})
	}
}

// execute carries out one command of the scheduler.
func (o *owner) execute(ctx context.Context, cmd sched.Cmd) {
	switch cmd := cmd.(type) {
	case sched.CallWorkerCmd:
		o.host.metrics.Sched.WorkerCalls.Inc()
		o.host.goDo(func() { o.callWorker(ctx, cmd) })
	case sched.CommitCmd:
		o.host.goDo(func() { o.commit(cmd) })
	case sched.DecisionCmd:
		o.logDecision(cmd)
	case sched.DeposedCmd:
		o.stepDown("a worker has seen a newer owner")
	}
}

func (o *owner) callWorker(ctx context.Context, cmd sched.CallWorkerCmd) {
	sentAt := time.Now()
	reply, err := o.host.workers.Call(ctx, cmd.Address, cmd.Call)
	o.runner.Send(sched.WorkerMsg{Worker: cmd.Worker, Call: cmd.Call, Reply: reply, SentAt: sentAt, Err: err})
}

func (o *owner) commit(cmd sched.CommitCmd) {
	var change store.Change
	for _, c := range cmd.Conditions {
		change.Expect = append(change.Expect, expected(c.Row, c.Version))
	}
	for _, j := range cmd.Jobs {
		o.addJob(&change, j)
	}
	for _, id := range cmd.Cleared {
		change.Remove = append(change.Remove, keyOf(rows.Cancel(o.shard, id)))
	}
	outcome, err := o.apply(change)
	if err != nil {
		o.stepDown(err.Error())
		return
	}
	if !outcome.Made {
		o.host.nudgePoll()
	}
	o.runner.Send(sched.CommittedMsg{Batch: cmd.Batch, Committed: outcome.Made})
}

// addJob adds a job's row to a change. A job that has ended moves to the rows
// of past jobs, so that a takeover reads only what is alive.
func (o *owner) addJob(change *store.Change, j schema.JobStatus) {
	name := rows.Job(o.shard, j.Spec.ID)
	if j.State == schema.Waiting || j.State == schema.Running {
		change.Put = append(change.Put, rowOf(name, j))
		return
	}
	change.Remove = append(change.Remove, keyOf(name))
	change.Put = append(change.Put, rowOf(rows.Past(o.shard, j.Spec.ID), j))
}

// stepDown stops deciding for the shard.
func (o *owner) stepDown(reason string) {
	h := o.host
	h.mu.Lock()
	current := h.owned[o.shard] == o
	if current {
		delete(h.owned, o.shard)
	}
	h.mu.Unlock()
	if current {
		logev.ShardLost.Log(h.log).Str("shard", o.shard).Int64("epoch", o.epoch).Str("reason", reason).Send()
	}
	o.cancel()
}

var decisionEvents = map[sched.DecisionKind]logev.Event{
	sched.Placed:    logev.GangPlaced,
	sched.Kept:      logev.GangKept,
	sched.Reclaimed: logev.GangReclaimed,
	sched.Started:   logev.GangStarted,
	sched.Broken:    logev.GangBroken,
	sched.Ended:     logev.GangEnded,
	sched.SetAside:  logev.WorkerSetAside,
	sched.Taken:     logev.GangTaken,
	sched.Evacuated: logev.GangEvacuated,
}

func (o *owner) logDecision(d sched.DecisionCmd) {
	meters := &o.host.metrics.Sched
	switch d.Kind {
	case sched.Placed:
		meters.Placed.Inc()
	case sched.Started:
		meters.Started.Inc()
	case sched.Ended:
		meters.Ended.Inc()
	case sched.Reclaimed:
		meters.Reclaimed.Inc()
	case sched.Broken:
		meters.Broken.Inc()
	case sched.Kept, sched.SetAside, sched.Taken, sched.Evacuated:
	}
	line := decisionEvents[d.Kind].Log(o.host.log).Str("shard", o.shard).
		Str("job", d.Job).Str("team", d.Team).Int("run", d.Run).Str("rule", d.Rule).
		Int64("config-version", d.ConfigVersion)
	if d.Worker != "" {
		line = line.Str("worker", d.Worker)
	}
	if d.Detail != "" {
		line = line.Str("detail", d.Detail)
	}
	if d.Kind == sched.Placed {
		line = line.Strs("workers", workersOf(d.Places))
	}
	line.Send()
}

func workersOf(places []schema.TaskPlace) []string {
	var names []string
	seen := map[string]bool{}
	for _, p := range places {
		if !seen[p.Worker] {
			seen[p.Worker] = true
			names = append(names, p.Worker)
		}
	}
	return names
}

func (v *view) isPolled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.polled
}

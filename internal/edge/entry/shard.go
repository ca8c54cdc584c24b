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

// shardRow is the value of a shard's lease row.
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

// ownedShard runs the scheduler of one shard that this host owns.
type ownedShard struct {
	host      *Host
	shard     string
	epoch     int64
	writer    *store.FencedWriter
	scheduler *scheduler
	cancel    context.CancelFunc
	// apply commits a change together with the lease row. It does not end with
	// the scheduler, so that a commit in progress during a handover completes.
	apply   func(store.Change) (store.Outcome, error)
	pollNow chan struct{}
	// jobs reads changes to the rows of jobs and cancellations.
	jobs *store.Follower
	// sequence makes each value written to the lease row unique, as the fenced
	// writer requires.
	sequence int64
}

func (h *Host) ownedShards() []*ownedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*ownedShard, 0, len(h.owned))
	for _, o := range h.owned {
		list = append(list, o)
	}
	return list
}

// findOwned returns the shard if this host owns it, or nil.
func (h *Host) findOwned(shard string) *ownedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owned[shard]
}

func (h *Host) wakeShards() {
	for _, o := range h.ownedShards() {
		o.wake()
	}
}

// wake makes the shard read its rows at once.
func (o *ownedShard) wake() {
	select {
	case o.pollNow <- struct{}{}:
	default:
	}
}

// acquireShards tries to acquire the free shards that this host should own.
func (h *Host) acquireShards(ctx context.Context) {
	if h.isStopping() || !h.view.isPolled() || h.store.Health() == store.Down {
		return
	}
	config, _ := h.view.currentConfig()
	var leases []membr.Lease
	for _, s := range config.Document.Shards {
		if h.findOwned(s.Name) == nil {
			leases = append(leases, h.view.lease(s.Name))
		}
	}
	wanted := membr.LeasesToAcquire(time.Now(), h.settings.Host.ID, leases, h.view.members(), h.settings.Timing.ClockBound)
	for _, l := range wanted {
		h.acquireShard(ctx, l)
	}
}

// acquireShard writes the shard's lease row under a new epoch and, if that
// succeeds, starts the shard's scheduler.
func (h *Host) acquireShard(ctx context.Context, l membr.Lease) {
	o := &ownedShard{host: h, shard: l.Shard, epoch: l.Epoch + 1, pollNow: make(chan struct{}, 1)}
	o.writer = store.NewFencedWriter(h.store, keyOf(rows.Shard(l.Shard)), l.Version)
	o.jobs = store.NewFollower(h.store, rows.ShardJobs, 0)
	leaseCtx, cancelLease := context.WithTimeout(ctx, h.settings.Timing.ShardLease)
	defer cancelLease()
	if outcome, err := o.writer.Apply(leaseCtx, store.Change{}, o.leaseRow); err != nil || !outcome.Applied {
		return
	}
	logev.ShardTaken.Log(h.log).Str("shard", o.shard).Int64("epoch", o.epoch).Str("from", l.Owner).Send()
	shardCtx, cancel := context.WithCancel(ctx)
	o.cancel = cancel
	o.apply = func(c store.Change) (store.Outcome, error) { return o.writer.Apply(ctx, c, o.leaseRow) }
	model := sched.New(sched.Shard{Name: o.shard, Epoch: o.epoch}, block.BestFit{}, h.schedTiming())
	o.scheduler = runner.New(model, o.execute, time.Now, sched.Msg(sched.TickMsg{}))
	h.mu.Lock()
	h.owned[o.shard] = o
	h.mu.Unlock()
	h.spawn(func() { o.scheduler.Run(shardCtx) })
	h.spawn(func() { o.feedScheduler(shardCtx) })
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
	timing.AgedReclaimAfter = t.GangPatience
	timing.SetAside = t.SetAside
	return timing
}

// leaseRow returns the lease row of the shard with its expiry renewed.
func (o *ownedShard) leaseRow() []byte {
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

// releasedRow returns the lease row of a shard that has no owner.
func (o *ownedShard) releasedRow() []byte {
	return encode(shardRow{Shard: o.shard, Epoch: o.epoch, ExpiresAt: time.Now()})
}

// feedScheduler sends the scheduler the shared state and all rows of the shard,
// and then the changes to them.
func (o *ownedShard) feedScheduler(ctx context.Context) {
	h := o.host
	config, rowVersion := h.view.currentConfig()
	o.scheduler.Send(sched.ConfigMsg{Config: config, Version: rowVersion})
	o.scheduler.Send(sched.DomainsMsg{Domains: h.view.storedDomains()})
	o.scheduler.Send(sched.WorkersMsg{Workers: h.view.shardWorkers(o.shard)})
	loaded := false
	for ctx.Err() == nil {
		if err := o.readChanges(ctx); err == nil && !loaded {
			loaded = true
			o.scheduler.Send(sched.LoadedMsg{})
		}
		select {
		case <-ctx.Done():
		case <-o.pollNow:
		}
	}
}

func (o *ownedShard) readChanges(ctx context.Context) error {
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
			o.scheduler.Send(sched.CancelMsg{ID: id})
		}
	}
	return nil
}

func (o *ownedShard) sendJob(row store.Row) {
	if job, ok := decodeOrLog[schema.JobStatus](o.host.log, row); ok {
		o.scheduler.Send(sched.JobMsg{Job: job})
	}
}

// execute executes one command of the scheduler.
func (o *ownedShard) execute(ctx context.Context, cmd sched.Cmd) {
	switch cmd := cmd.(type) {
	case sched.CallWorkerCmd:
		o.host.metrics.Sched.WorkerCalls.Inc()
		o.host.spawn(func() { o.callWorker(ctx, cmd) })
	case sched.CommitCmd:
		o.host.spawn(func() { o.commit(cmd) })
	case sched.DecisionCmd:
		o.logDecision(cmd)
	case sched.StepDownCmd:
		o.stepDown("a worker has seen a newer owner")
	}
}

func (o *ownedShard) callWorker(ctx context.Context, cmd sched.CallWorkerCmd) {
	sentAt := time.Now()
	reply, err := o.host.workers.Call(ctx, cmd.Address, cmd.Call)
	o.scheduler.Send(sched.WorkerReplyMsg{Worker: cmd.Worker, Call: cmd.Call, Reply: reply, SentAt: sentAt, Err: err})
}

func (o *ownedShard) commit(cmd sched.CommitCmd) {
	var change store.Change
	for _, c := range cmd.Conditions {
		change.Expect = append(change.Expect, expected(c.Row, c.Version))
	}
	for _, j := range cmd.Jobs {
		o.addJob(&change, j)
	}
	for _, id := range cmd.ClearedCancels {
		change.Remove = append(change.Remove, keyOf(rows.Cancel(o.shard, id)))
	}
	outcome, err := o.apply(change)
	if err != nil {
		o.stepDown(err.Error())
		return
	}
	if !outcome.Applied {
		o.host.triggerPoll()
	}
	o.scheduler.Send(sched.CommitResultMsg{Batch: cmd.Batch, Committed: outcome.Applied})
}

// addJob adds a job's row to a change. The row of a job that has ended moves to
// the table of ended jobs, so that a takeover reads only active jobs.
func (o *ownedShard) addJob(change *store.Change, j schema.JobStatus) {
	name := rows.Job(o.shard, j.Spec.ID)
	if j.State == schema.Waiting || j.State == schema.Running {
		change.Put = append(change.Put, rowOf(name, j))
		return
	}
	change.Remove = append(change.Remove, keyOf(name))
	change.Put = append(change.Put, rowOf(rows.EndedJob(o.shard, j.Spec.ID), j))
}

// stepDown stops making decisions for the shard: it is no longer an owned shard
// and its scheduler ends.
func (o *ownedShard) stepDown(reason string) {
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
	sched.Placed:      logev.GangPlaced,
	sched.Requeued:    logev.GangRequeued,
	sched.Reclaimed:   logev.GangReclaimed,
	sched.Started:     logev.GangStarted,
	sched.Broken:      logev.GangBroken,
	sched.Ended:       logev.GangEnded,
	sched.Quarantined: logev.WorkerSetAside,
	sched.Adopted:     logev.GangTaken,
	sched.Evacuated:   logev.GangEvacuated,
}

func (o *ownedShard) logDecision(d sched.DecisionCmd) {
	counters := &o.host.metrics.Sched
	switch d.Kind {
	case sched.Placed:
		counters.Placed.Inc()
	case sched.Started:
		counters.Started.Inc()
		counters.StartDelay.Update(time.Since(d.SubmittedAt).Seconds())
	case sched.Ended:
		counters.Ended.Inc()
	case sched.Reclaimed:
		counters.Reclaimed.Inc()
	case sched.Broken:
		counters.Broken.Inc()
	case sched.Requeued, sched.Quarantined, sched.Adopted, sched.Evacuated:
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

// workersOf returns the distinct workers of the places, in order.
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

// isPolled reports whether the shared rows have been read at least once.
func (v *view) isPolled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.polled
}

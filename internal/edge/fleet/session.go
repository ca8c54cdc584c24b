package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/edge/runner"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// changesWait is how long the store may hold back a feed's answer. A feed
	// may go silent without a reset, so it is asked anew often.
	changesWait = time.Second
	// workersPause lies between two answers of the workers' feed. Every worker
	// writes its entry each second or two, so that each call would bring one.
	workersPause = 250 * time.Millisecond
	// loadTimeout bounds one try to read what earlier leaders left.
	loadTimeout = 5 * time.Second
)

// errDeposed says that a worker has seen a newer leader.
var errDeposed = errors.New("a newer leader plans")

// session is one leadership of this host.
type session struct {
	host   *Host
	epoch  int64
	lane   *store.Lane
	runner *runner.Runner[*plan.Model, plan.Msg, plan.Cmd]
	ended  context.CancelCauseFunc
	writes chan plan.WriteCmd
	// sequence numbers the lane's changes; only the writer uses it.
	sequence int64
	written  chan struct{}
}

func newSession(h *Host, epoch int64, lane *store.Lane) *session {
	s := &session{
		host:    h,
		epoch:   epoch,
		lane:    lane,
		writes:  make(chan plan.WriteCmd, 1),
		written: make(chan struct{}),
	}
	model := plan.New(h.clock(), epoch, h.timing())
	s.runner = runner.New(model, s.execute, h.clock, plan.Msg(plan.TickMsg{}))
	return s
}

// run plans until ctx ends or the lead is lost, and returns why.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	s.ended = cancel
	defer cancel(nil)
	s.host.mu.Lock()
	s.host.follow = s.sendOrders
	s.host.mu.Unlock()
	defer func() {
		s.host.mu.Lock()
		s.host.follow = nil
		s.host.mu.Unlock()
	}()
	go s.write(ctx)
	go s.load(ctx)
	s.runner.Run(ctx)
	<-s.written
	return context.Cause(ctx)
}

// sendOrders tells the planner what operators want.
func (s *session) sendOrders() {
	h := s.host
	h.mu.Lock()
	config := h.config
	out := make([]string, 0, len(h.out))
	for d := range h.out {
		out = append(out, d)
	}
	h.mu.Unlock()
	s.runner.Send(plan.ConfigMsg{Config: config})
	s.runner.Send(plan.DomainsMsg{Out: out})
}

// load reads what earlier leaders left, and then follows what changes.
func (s *session) load(ctx context.Context) {
	s.sendOrders()
	var after int64
	for ctx.Err() == nil {
		version, err := s.loadRows(ctx)
		if err == nil {
			after = version
			break
		}
		logev.TableLost.Log(s.host.log).Str("what", "load").Err(err).Send()
		sleep(ctx, retryPause)
	}
	go s.followWorkers(ctx)
	s.followJobs(ctx, after)
}

// loadRows sends every job, with its progress, and the roster.
func (s *session) loadRows(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	h := s.host
	progress, err := s.progressRows(ctx)
	if err != nil {
		return 0, err
	}
	jobs, err := store.Scan(ctx, h.store, tableJobs, "", "")
	if err != nil {
		return 0, err
	}
	roster, err := store.Scan(ctx, h.store, tableLead, rosterFrom, rosterTo)
	if err != nil {
		return 0, err
	}
	workers, version, err := h.directory.Workers(ctx, 0, changesWait)
	if err != nil {
		return 0, err
	}
	s.runner.Send(workers)
	for _, r := range roster.Rows {
		s.sendRoster(r)
	}
	for _, r := range jobs.Rows {
		s.sendJob(r, progress)
	}
	for _, r := range jobs.Rows {
		if id, ok := cancelled(r.Key.Name); ok {
			s.runner.Send(plan.CancelMsg{ID: id})
		}
	}
	s.runner.Send(plan.LoadedMsg{})
	logev.PlanLoaded.Log(h.log).Int64("epoch", s.epoch).Int("jobs", len(jobs.Rows)).Int("progress", len(progress)).
		Int("workers", len(workers.Changed)).Int64("jobs-version", jobs.Version).Int64("workers-version", version).Send()
	return jobs.Version, nil
}

func (s *session) progressRows(ctx context.Context) (map[string]record.Progress, error) {
	rows, err := store.Scan(ctx, s.host.store, tableProgress, "", "")
	if err != nil {
		return nil, err
	}
	progress := make(map[string]record.Progress, len(rows.Rows))
	for _, r := range rows.Rows {
		var p record.Progress
		if err := decode(r.Value, &p); err != nil {
			logev.RowSkipped.Log(s.host.log).Str("table", r.Key.Table).Str("row", r.Key.Name).Err(err).Send()
			continue
		}
		progress[r.Key.Name] = p
	}
	return progress, nil
}

func (s *session) sendRoster(row store.Row) {
	var roster record.Roster
	if err := decode(row.Value, &roster); err != nil {
		logev.RowSkipped.Log(s.host.log).Str("table", row.Key.Table).Str("row", row.Key.Name).Err(err).Send()
		return
	}
	s.runner.Send(plan.RosterMsg{Workers: roster.Workers})
}

func (s *session) sendJob(row store.Row, progress map[string]record.Progress) {
	if _, ok := cancelled(row.Key.Name); ok || row.Deleted {
		return
	}
	var job record.Job
	if err := decode(row.Value, &job); err != nil || job.ID != row.Key.Name || len(job.Steps) == 0 {
		logev.RowSkipped.Log(s.host.log).Str("table", row.Key.Table).Str("row", row.Key.Name).Err(err).Send()
		return
	}
	s.runner.Send(plan.JobMsg{Job: job, Progress: progress[job.ID]})
}

// followJobs sends new jobs and cancellations to the planner.
func (s *session) followJobs(ctx context.Context, after int64) {
	wait := changesWait
	for ctx.Err() == nil {
		rows, err := s.host.store.Changes(ctx, tableJobs, after, wait)
		if errors.Is(err, store.ErrHistoryGone) {
			rows, err = store.Scan(ctx, s.host.store, tableJobs, "", "")
		}
		if err != nil {
			s.feedFailed(ctx, tableJobs, wait > 0, err)
			wait = 0
			continue
		}
		wait = changesWait
		after = rows.Version
		for _, r := range rows.Rows {
			s.sendJob(r, nil)
		}
		for _, r := range rows.Rows {
			if id, ok := cancelled(r.Key.Name); ok && !r.Deleted {
				s.runner.Send(plan.CancelMsg{ID: id})
			}
		}
	}
}

// feedFailed logs the first of several failures of a feed, and pauses.
func (s *session) feedFailed(ctx context.Context, feed string, first bool, err error) {
	if first && ctx.Err() == nil {
		logev.FeedLost.Log(s.host.log).Int64("epoch", s.epoch).Str("feed", feed).Err(err).Send()
	}
	sleep(ctx, retryPause)
}

// followWorkers sends changes of the list of workers to the planner.
func (s *session) followWorkers(ctx context.Context) {
	var after int64
	wait := changesWait
	for ctx.Err() == nil {
		msg, version, err := s.host.directory.Workers(ctx, after, wait)
		if err != nil {
			s.feedFailed(ctx, "workers", wait > 0, err)
			wait = 0
			continue
		}
		wait = changesWait
		after = version
		if msg.Whole || len(msg.Changed) > 0 || len(msg.Gone) > 0 {
			s.runner.Send(msg)
			sleep(ctx, workersPause)
		}
	}
}

// execute carries out one command of the planner.
func (s *session) execute(ctx context.Context, cmd plan.Cmd) {
	switch cmd := cmd.(type) {
	case plan.StartCmd:
		go func() { s.runner.Send(s.host.workers.Start(ctx, cmd)) }()
	case plan.StopCmd:
		go func() { s.runner.Send(s.host.workers.Stop(ctx, cmd)) }()
	case plan.LookCmd:
		go func() { s.runner.Send(s.host.workers.Look(ctx, cmd)) }()
	case plan.WriteCmd:
		s.writes <- cmd
	case plan.DeposedCmd:
		s.ended(errDeposed)
	case plan.DecisionCmd:
		logDecision(s.host.log, s.epoch, cmd)
		count(s.host.meter, cmd)
	}
}

// write stores the planner's rows one batch after the other.
func (s *session) write(ctx context.Context) {
	defer close(s.written)
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-s.writes:
			if err := s.store(ctx, cmd); err != nil {
				s.ended(err)
				return
			}
			s.runner.Send(plan.WrittenMsg{Batch: cmd.Batch})
		}
	}
}

// store makes one batch durable.
func (s *session) store(ctx context.Context, cmd plan.WriteCmd) error {
	var change store.Change
	put := func(key store.Key, value any) error {
		encoded, err := encode(value)
		if err != nil {
			return errors.Wrapf(err, "encode %s", key.Name)
		}
		change.Put = append(change.Put, store.Row{Key: key, Value: encoded})
		return nil
	}
	for _, p := range cmd.Progress {
		if err := put(progressKey(p.ID), p); err != nil {
			return err
		}
	}
	for _, roster := range cmd.Rosters {
		if err := put(rosterKey(roster.Part), roster); err != nil {
			return err
		}
	}
	if cmd.Waiting != nil {
		if err := put(waitingKey, cmd.Waiting); err != nil {
			return err
		}
	}
	for _, id := range cmd.Forgotten {
		change.Remove = append(change.Remove, progressKey(id), jobKey(id), cancelKey(id))
	}
	s.sequence++
	value, err := encode(s.host.leader(s.epoch, s.sequence))
	if err != nil {
		return err
	}
	_, err = s.lane.Apply(ctx, change, constant(value))
	return err
}

// handOver leaves the leader's row without a holder, so that a successor need
// not wait.
func (s *session) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	s.sequence++
	value, err := encode(record.Leader{Incarnation: s.host.incarnation, Epoch: s.epoch, Sequence: s.sequence})
	if err == nil {
		err = s.lane.Retire(ctx, constant(value))
	}
	logev.LeaderGivenUp.Log(s.host.log).Int64("epoch", s.epoch).Err(err).Send()
}

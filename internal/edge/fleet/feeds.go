package fleet

import (
	"context"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
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
	jobs, err := h.store.ReadAll(ctx, tableJobs, "")
	if err != nil {
		return 0, err
	}
	roster, err := h.store.ReadAll(ctx, tableLead, rosterPrefix)
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
	rows, err := s.host.store.ReadAll(ctx, tableProgress, "")
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
	follower := store.NewFollower(s.host.store, tableJobs, after)
	wait := changesWait
	for ctx.Err() == nil {
		rows, _, err := follower.Next(ctx, wait)
		if err != nil {
			s.feedFailed(ctx, tableJobs, wait > 0, err)
			wait = 0
			continue
		}
		wait = changesWait
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

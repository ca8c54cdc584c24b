package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanshore/rattanshore/internal/core/jobs"
	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// feedWait is how long the store may wait for a change before it answers a
	// feed. A feed may stop without its connection being closed, so each call is
	// short.
	feedWait = time.Second
	// workerFeedInterval is the pause between calls to the workers' feed. Every
	// worker writes its entry each second or two, so without a pause each call
	// would return a single entry.
	workerFeedInterval = 250 * time.Millisecond
	// loadTimeout is how long an attempt to load the state of earlier leaders may make
	// no progress.
	loadTimeout = 5 * time.Second
)

// sendOperatorState sends the configuration and the domains that are out of
// service to the planner.
func (s *session) sendOperatorState() {
	h := s.host
	h.mu.Lock()
	config := h.config
	domains := make([]string, 0, len(h.outOfService))
	for d := range h.outOfService {
		domains = append(domains, d)
	}
	h.mu.Unlock()
	s.runner.Send(plan.ConfigMsg{Config: config})
	s.runner.Send(plan.DomainsMsg{OutOfService: domains})
}

// loadAndFollow loads the state that earlier leaders stored, retrying until it
// succeeds, and then follows the changes of jobs and workers.
func (s *session) loadAndFollow(ctx context.Context) {
	s.runner.Send(plan.EarlierLeadersMsg{ActUntil: s.tenure.allowance()})
	s.sendOperatorState()
	var after int64
	for ctx.Err() == nil {
		version, err := s.loadState(ctx)
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

// loadState sends the workers, the roster, every job with its progress and every
// cancellation to the planner. It returns the version from which the jobs are to
// be followed.
func (s *session) loadState(ctx context.Context) (int64, error) {
	ctx, cancel := store.WithIdleTimeout(ctx, loadTimeout)
	defer cancel()
	h := s.host
	var (
		progress     map[string][]record.Progress
		jobs, roster store.Rows
		workers      plan.WorkersMsg
		version      int64
		runTimes     store.Row
	)
	// Only a leader writes progress and the roster, and earlier ones are fenced, so
	// the tables may be read in any order.
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		progress, err = s.readProgress(ctx)
		return err
	})
	group.Go(func() (err error) {
		jobs, err = h.store.ReadParts(ctx, tableJobs, jobParts)
		return err
	})
	group.Go(func() (err error) {
		roster, err = h.store.ReadAll(ctx, tableLeader, rosterPrefix)
		return err
	})
	group.Go(func() (err error) {
		runTimes, err = s.readRunTimes(ctx)
		return err
	})
	group.Go(func() (err error) {
		workers, version, err = h.directory.Workers(ctx, 0, feedWait)
		return err
	})
	if err := group.Wait(); err != nil {
		return 0, err
	}
	h.intake.setWorkers(len(workers.Changed))
	s.runner.Send(workers)
	for _, r := range roster.Rows {
		s.sendRoster(r)
	}
	for _, r := range jobs.Rows {
		s.sweeper.note(r)
		s.sendJob(r, progress)
	}
	for _, r := range jobs.Rows {
		if id, ok := cancelledJob(r.Key.Name); ok {
			s.runner.Send(plan.CancelMsg{ID: id})
		}
	}
	s.sendRunTimes(runTimes)
	s.runner.Send(plan.LoadedMsg{})
	logev.PlanLoaded.Log(h.log).Int64("epoch", s.epoch).Int("jobs", len(jobs.Rows)).Int("progress", len(progress)).
		Int("workers", len(workers.Changed)).Int64("jobs-version", jobs.Version).Int64("workers-version", version).Send()
	return jobs.Version, nil
}

// readProgress returns the stored rows of progress by job, in the order in which they
// were stored. Rows that cannot be decoded are skipped.
func (s *session) readProgress(ctx context.Context) (map[string][]record.Progress, error) {
	rows, err := s.host.store.ReadAll(ctx, tableProgress, "")
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(rows.Rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	progress := make(map[string][]record.Progress, len(rows.Rows))
	for _, r := range rows.Rows {
		id, part, ok := progressPartOf(r.Key.Name)
		var p record.Progress
		err := decode(r.Value, &p)
		if err != nil || !ok {
			logev.RowSkipped.Log(s.host.log).Str("table", r.Key.Table).Str("row", r.Key.Name).Err(err).Send()
			continue
		}
		p.Part = part
		progress[id] = append(progress[id], p)
	}
	return progress, nil
}

// sendRoster sends one part of the roster to the planner.
func (s *session) sendRoster(row store.Row) {
	var roster record.Roster
	if err := decode(row.Value, &roster); err != nil {
		logev.RowSkipped.Log(s.host.log).Str("table", row.Key.Table).Str("row", row.Key.Name).Err(err).Send()
		return
	}
	s.runner.Send(plan.RosterMsg{Workers: s.readRoster(roster.Workers, s.host.aheadOfStore())})
}

// sendJob sends a job to the planner, with its progress if there is any. A row that
// is no valid job is skipped: the planner relies on what jobs.Check refuses.
func (s *session) sendJob(row store.Row, progress map[string][]record.Progress) {
	if _, ok := cancelledJob(row.Key.Name); ok || row.Deleted {
		return
	}
	if _, ok := tombstoneOf(row); ok {
		return
	}
	var job record.Job
	err := decode(row.Value, &job)
	if err == nil {
		err = jobs.Check(job)
	}
	if err != nil || job.ID != row.Key.Name {
		logev.RowSkipped.Log(s.host.log).Str("table", row.Key.Table).Str("row", row.Key.Name).Err(err).Send()
		return
	}
	s.runner.Send(plan.JobMsg{Job: job, Progress: progress[job.ID]})
}

// followJobs sends new jobs and cancellations to the planner. After an error it
// asks without a wait, so that it notices soon that the store is back.
func (s *session) followJobs(ctx context.Context, after int64) {
	follower := store.NewFollower(s.host.store, tableJobs, after, jobParts...)
	wait := feedWait
	for ctx.Err() == nil {
		rows, _, err := follower.Next(ctx, wait)
		if err != nil {
			s.feedFailed(ctx, tableJobs, wait > 0, err)
			wait = 0
			continue
		}
		wait = feedWait
		for _, r := range rows.Rows {
			s.sweeper.note(r)
			s.sendJob(r, nil)
		}
		for _, r := range rows.Rows {
			if id, ok := cancelledJob(r.Key.Name); ok && !r.Deleted {
				s.runner.Send(plan.CancelMsg{ID: id})
			}
		}
	}
}

// feedFailed logs the first of several consecutive failures of a feed, and pauses.
func (s *session) feedFailed(ctx context.Context, feed string, first bool, err error) {
	if first && ctx.Err() == nil {
		logev.FeedLost.Log(s.host.log).Int64("epoch", s.epoch).Str("feed", feed).Err(err).Send()
	}
	sleep(ctx, retryPause)
}

// followWorkers sends changes of the list of workers to the planner. Like
// followJobs it asks without a wait after an error.
func (s *session) followWorkers(ctx context.Context) {
	var after int64
	wait, known := feedWait, map[string]struct{}{}
	for ctx.Err() == nil {
		msg, version, err := s.host.directory.Workers(ctx, after, wait)
		if err != nil {
			s.feedFailed(ctx, "workers", wait > 0, err)
			wait = 0
			continue
		}
		wait = feedWait
		after = version
		if msg.Complete || len(msg.Changed) > 0 || len(msg.Gone) > 0 {
			countWorkers(known, msg)
			s.host.intake.setWorkers(len(known))
			s.runner.Send(msg)
			sleep(ctx, workerFeedInterval)
		}
	}
}

// countWorkers applies a change to the set of known workers.
func countWorkers(known map[string]struct{}, msg plan.WorkersMsg) {
	if msg.Complete {
		clear(known)
	}
	for _, w := range msg.Changed {
		known[w.ID] = struct{}{}
	}
	for _, id := range msg.Gone {
		delete(known, id)
	}
}

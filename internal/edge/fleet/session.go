package fleet

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/edge/runner"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
)

// errSuperseded means that a worker has seen a newer leader.
var errSuperseded = errors.New("a worker has seen a newer leader")

// session is one term of this host as leader.
type session struct {
	host *Host
	term
	writer *store.FencedWriter
	// sweeper removes tombstones.
	sweeper *sweeper
	runner  *runner.Runner[*plan.Model, plan.Msg, plan.Cmd]
	// cancel ends the session with a cause.
	cancel     context.CancelCauseFunc
	writes     chan plan.WriteCmd
	writerDone chan struct{}
}

func newSession(h *Host, t term, writer *store.FencedWriter) *session {
	s := &session{
		host:       h,
		term:       t,
		writer:     writer,
		sweeper:    newSweeper(h.settings.Bounds.KeepEnded),
		writes:     make(chan plan.WriteCmd, 1),
		writerDone: make(chan struct{}),
	}
	model := plan.New(h.clock(), t.epoch, h.timing(), h.policy())
	s.runner = runner.New(model, s.execute, h.clock, plan.Msg(plan.TickMsg{}))
	return s
}

// run plans until ctx ends or the leadership is lost, and returns the cause.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	s.cancel = cancel
	defer cancel(nil)
	s.host.mu.Lock()
	s.host.notifyPlanner = s.sendOperatorState
	s.host.mu.Unlock()
	defer func() {
		s.host.mu.Lock()
		s.host.notifyPlanner = nil
		s.host.mu.Unlock()
		s.host.intake.setWorkers(0)
		s.host.meter.Teams.Set(nil)
		s.host.meter.Targets.Set(nil)
	}()
	go s.writeBatches(ctx)
	go s.loadAndFollow(ctx)
	go s.tenure.keepVouched(ctx)
	go s.tenure.keepWitnesses(ctx)
	go s.seekWithdrawal(ctx)
	go s.sweep(ctx)
	s.runner.Run(ctx)
	<-s.writerDone
	return context.Cause(ctx)
}

// execute carries out one command of the planner.
func (s *session) execute(ctx context.Context, cmd plan.Cmd) {
	switch cmd := cmd.(type) {
	case plan.StartCmd:
		if !s.tenure.mayAct() {
			s.runner.Send(unsentStart(cmd, s.host.clock()))
			return
		}
		go func() { s.runner.Send(s.host.workers.Start(ctx, cmd)) }()
	case plan.StopCmd:
		go func() { s.runner.Send(s.host.workers.Stop(ctx, cmd)) }()
	case plan.PollCmd:
		cmd = s.withoutLease(cmd)
		go func() { s.runner.Send(s.host.workers.Poll(ctx, cmd)) }()
	case plan.WriteCmd:
		s.writes <- cmd
	case plan.StepDownCmd:
		s.cancel(errSuperseded)
	case plan.DecisionCmd:
		logDecision(s.host.log, s.epoch, cmd)
		countDecision(s.host.meter, cmd)
	case plan.TeamsCmd:
		countTeams(s.host.meter, cmd)
	case plan.FragmentsCmd:
		logFragments(s.host.log, s.epoch, cmd)
		countFragments(s.host.meter, cmd)
	case plan.RunTimeCmd:
		s.host.meter.RunTimeRatio(cmd.Queue).Update(cmd.Actual.Seconds() / cmd.Expected.Seconds())
	}
}

// writeBatches commits the planner's batches one after the other. An error ends the
// session.
func (s *session) writeBatches(ctx context.Context) {
	defer close(s.writerDone)
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-s.writes:
			if cmd.Waiting != nil && cmd.Waiting.Epoch > 0 {
				cmd.Waiting.ComputedAtMs = s.host.store.Clock().UnixMilli()
			}
			if err := s.commitBatch(ctx, cmd); err != nil {
				s.cancel(err)
				return
			}
			s.runner.Send(plan.WrittenMsg{Batch: cmd.Batch})
		}
	}
}

// commitBatch commits one batch, each transaction together with a renewal of the
// leader row.
func (s *session) commitBatch(ctx context.Context, cmd plan.WriteCmd) error {
	cmd.Rosters = storedRosters(cmd.Rosters, s.host.aheadOfStore())
	b, err := newBatch(cmd)
	if err != nil {
		return err
	}
	for _, key := range b.reduced {
		logev.RowReduced.Log(s.host.log).Int64("epoch", s.epoch).Str("table", key.Table).Str("row", key.Name).Send()
	}
	for _, change := range b.changes {
		if err := s.host.writeLeaderRow(ctx, s.writer, change, s.term); err != nil {
			return err
		}
	}
	return nil
}

// handOver writes the leader row without a holder, so that a successor need not
// wait for the timeout.
func (s *session) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	err := s.writer.Retire(ctx, func() []byte { return s.host.leaderRowValue("", s.term, nil) })
	logev.LeaderGivenUp.Log(s.host.log).Int64("epoch", s.epoch).Err(err).Send()
}

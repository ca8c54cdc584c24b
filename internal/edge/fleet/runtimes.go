package fleet

import (
	"context"

	"github.com/rattanshore/rattanshore/internal/core/learn"
	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
)

// readRunTimes returns the row of what earlier leaders have learned from finished runs.
// It is empty if there is none, or if the settings don't ask for it.
func (s *session) readRunTimes(ctx context.Context) (store.Row, error) {
	if !s.host.policy().LearnRunTimes {
		return store.Row{}, nil
	}
	return s.host.store.Read(ctx, runTimesKey)
}

// sendRunTimes sends the row to the planner. One that can't be read is skipped: the
// planner then learns anew.
func (s *session) sendRunTimes(row store.Row) {
	if len(row.Value) == 0 {
		return
	}
	if err := learn.Check(row.Value); err != nil {
		logev.RowSkipped.Log(s.host.log).Str("table", row.Key.Table).Str("row", row.Key.Name).Err(err).Send()
		return
	}
	s.runner.Send(plan.RunTimesMsg{Data: row.Value})
}

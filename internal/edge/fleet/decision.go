package fleet

import (
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// logDecision logs one decision of the planner.
func logDecision(log *zerolog.Logger, epoch int64, d plan.DecisionCmd) {
	events := map[plan.Decision]logev.Event{
		plan.Placed:            logev.GangPlaced,
		plan.GangRunning:       logev.GangStarted,
		plan.GangDone:          logev.TaskEnded,
		plan.AttemptAborted:    logev.GangBroken,
		plan.Preempted:         logev.GangReclaimed,
		plan.Adopted:           logev.GangTaken,
		plan.WorkerLost:        logev.WorkerSilent,
		plan.WorkerBack:        logev.WorkerBack,
		plan.WorkerRefusing:    logev.WorkerRefusing,
		plan.WorkerQuarantined: logev.WorkerSetAside,
		plan.JobEnded:          logev.JobEnded,
		plan.JobLoaded:         logev.JobTaken,
		plan.JobStarted:        logev.JobStarted,
		plan.Claimed:           logev.WorkersClaimed,
		plan.CrashCounted:      logev.WorkerCrashed,
		plan.HeldForLimit:      logev.LimitReached,
		plan.WorkerAvoided:     logev.WorkerAvoided,
		plan.WorkerTried:       logev.WorkerTried,
		plan.WorkerTrusted:     logev.WorkerTrusted,
		plan.WorkerUnsteady:    logev.WorkerUnsteady,
		plan.AttemptHeld:       logev.AttemptHeld,
		plan.WorkerWithheld:    logev.WorkerWithheld,
		plan.RunTimeRevised:    logev.RunTimeRevised,
	}
	event, ok := events[d.Kind]
	if !ok {
		event = logev.InternalProblem
	}
	line := event.Log(log).Int64("epoch", epoch).Int64("config-version", d.ConfigVersion)
	if d.Job != "" {
		line = line.Str("job", d.Job).Int("step", d.Step).Int("task", d.First).Int("attempt", d.Attempt)
	}
	if d.Worker != "" {
		line = line.Str("worker", d.Worker).Str("domain", d.Domain).Dur("looked-ago-ms", d.InputAge)
	}
	if d.Kind == plan.Placed || d.Kind == plan.Preempted {
		line = line.Int("free-accelerators", d.FreeAccelerators).Int("free-workers", d.IdleWorkers)
	}
	if d.Kind == plan.JobStarted {
		line = line.Dur("delay-ms", d.Delay)
	}
	if d.Kind == plan.JobEnded {
		line = line.Str("team", d.Team).Int("priority", d.Priority).Time("accepted-at", d.AcceptedAt).Time("due", d.Due)
	}
	line.Str("detail", d.Detail).Send()
}

// countDecision counts one decision of the planner in the metrics.
func countDecision(meter *metrc.Fleet, d plan.DecisionCmd) {
	switch d.Kind {
	case plan.Placed:
		meter.Placed.Inc()
	case plan.Preempted:
		meter.Preempted.Inc()
	case plan.AttemptAborted:
		meter.Broken.Inc()
	case plan.JobEnded:
		meter.JobsEnded.Inc()
	case plan.JobStarted:
		meter.StartDelay.Update(d.Delay.Seconds())
	case plan.WorkerAvoided:
		meter.Avoided.Inc()
	case plan.WorkerTried:
		meter.Tried.Inc()
	case plan.WorkerTrusted:
		meter.Trusted.Inc()
	case plan.AttemptHeld:
		meter.Held.Inc()
	case plan.WorkerWithheld:
		meter.Withheld.Inc()
	case plan.GangRunning, plan.GangDone, plan.Adopted, plan.WorkerLost, plan.WorkerBack, plan.WorkerRefusing, plan.WorkerQuarantined, plan.JobLoaded, plan.Claimed,
		plan.CrashCounted, plan.HeldForLimit, plan.WorkerUnsteady, plan.RunTimeRevised:
	}
}

// countTeams puts what teams use into the metrics.
func countTeams(meter *metrc.Fleet, cmd plan.TeamsCmd) {
	teams := make([]metrc.Team, 0, len(cmd.Teams))
	for _, t := range cmd.Teams {
		teams = append(teams, metrc.Team{
			Name: t.Team, Running: t.Running.Accelerators, Limit: t.Limit.Accelerators, Share: t.Share, Held: t.HeldForLimit,
		})
	}
	meter.Teams.Set(teams)
}

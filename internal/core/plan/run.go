package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// runPhase is the state of a run.
type runPhase int

const (
	// storing runs wait for their place to be stored; no start was sent yet.
	storing runPhase = iota
	// starting runs have been sent a start that is not confirmed yet.
	starting
	// recovering runs were recorded by an earlier leader; their worker has not
	// yet reported whether it has them.
	recovering
	// running runs were confirmed by their worker.
	running
	// terminating runs are being stopped.
	terminating
)

// run is one attempt of a task on a worker. It is kept until the worker reports
// that it is gone, or until the worker's lease has certainly expired.
type run struct {
	task    TaskID
	attempt int
	// gang is nil while the job of the run is not known here.
	gang   *gang
	worker *worker
	need   record.Amount
	// team is the team whose limit counts the run; empty if that is not known.
	team string
	// needUnknown is set if the run may need as much as its worker has.
	needUnknown bool

	phase       runPhase
	sentAt      time.Time
	confirmedAt time.Time
	// retryAt is when an unanswered start or stop request is sent again.
	retryAt     time.Time
	callPending bool
	// unansweredStarts counts the starts without an answer.
	unansweredStarts int
	// mayHaveStarted is set once a start got no answer: the worker may have
	// carried it out, or may still do so.
	mayHaveStarted bool
	// stopAnsweredAt is when the worker answered a stop.
	stopAnsweredAt time.Time
	// incarnation is when the incarnation of the worker started that has the run, or on
	// which it was placed; zero if that is not known.
	incarnation time.Time
	// startSentAt is when the newest start was sent, and startOpen is set while one
	// may have been carried out unknown to this leader.
	startSentAt time.Time
	startOpen   bool
	// clockAtStart is the least that the worker's clock could show when that start was
	// sent.
	clockAtStart time.Time
	// clockAtStop is the same for the newest stop, and stopRead is set once the
	// incarnation that has the run has answered one.
	clockAtStop time.Time
	stopRead    bool
	// onNextIncarnation is set if an incarnation has the run of which no list or poll
	// has told yet.
	onNextIncarnation bool
	// inherited is set if an earlier leader placed the run.
	inherited bool
	// incarnationEnded is set once that incarnation of the worker is known to have
	// ended. The run is then only stopped, in case a late start reaches the next one.
	incarnationEnded bool
	// hadCrashes is set if workers had crashed under the gang's tasks before.
	hadCrashes bool

	progress progress
	// rate is the progress in percent per second since all members were
	// running. pace is the newest ratio of the progress to that of the peers,
	// or to what is expected. For the latter, paceFrom and pacePercent are the
	// start of the current measurement.
	rate        float64
	pace        float64
	paceFrom    time.Time
	pacePercent int
}

// place assigns workers to a gang and has the places stored. The runs are
// started only once that is done, so that the next leader knows where to look
// for them.
func (m *Model) place(now time.Time, g *gang, places []*worker) {
	g.phase = placed
	g.attempt++
	g.job.attempt = max(g.job.attempt, g.attempt)
	g.placedAt = now
	g.allRunningAt = time.Time{}
	g.resumed = g.checkpoint != ""
	g.poorLocality = poorLocality(g, places)
	g.deadline = time.Time{}
	g.places = nil
	m.active.Add(g)
	if !g.job.everPlaced {
		g.job.everPlaced = true
		g.job.state = record.Running
		m.write.waitingDirty = true
		m.markPart(g.job, 0)
	}
	for i, w := range places {
		m.addRun(&run{
			task:    TaskID{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.step, Index: g.first + i},
			attempt: g.attempt, gang: g, worker: w, need: g.need(), sentAt: now, incarnation: w.StartedAt,
		})
	}
	m.markPlacesDirty(now, g)
	m.reportDecision(Placed, g, places[0], joinWorkerIDs(places))
}

// startRuns sends the starts of a gang whose places are stored.
func (m *Model) startRuns(now time.Time, g *gang) {
	if g.phase != placed {
		return
	}
	if m.hasUnstartableRun(g) {
		m.abortAttempt(now, g, "a worker became unavailable before the start")
		return
	}
	if m.awaitAnswers(now, g) || m.awaitEntries(now, g) {
		return
	}
	for _, r := range g.runs {
		if r.phase == storing {
			r.phase = starting
			r.sentAt = now
			m.sendStart(now, r)
		}
	}
	g.deadline = now.Add(m.timing.GangWait)
}

// hasUnstartableRun reports whether a run that has still to be started, or
// started again, is on a draining worker, in a failure domain that is out of
// service, or on a worker whose capacity no longer holds its runs, or whether its team
// is over its limit, or whether one that was never sent is on a worker that is no longer
// listed.
func (m *Model) hasUnstartableRun(g *gang) bool {
	overLimit := m.overLimit(g.job.spec.Team)
	return slices.ContainsFunc(g.runs, func(r *run) bool {
		w := r.worker
		toStart := r.phase == storing || r.phase == starting && r.mayHaveStarted
		return toStart && (w.Draining || w.withheld.inForce || m.outOfService[w.Domain] || w.overCapacity() || overLimit) ||
			r.phase == storing && !w.listed
	})
}

// poorLocality reports whether the places are away from the gang's data, or in
// several racks although the gang asks for one.
func poorLocality(g *gang, places []*worker) bool {
	s := g.spec()
	for _, w := range places {
		if s.NearRack != "" && w.Rack != s.NearRack || s.SameRack && w.Rack != places[0].Rack {
			return true
		}
	}
	return false
}

func joinWorkerIDs(places []*worker) string {
	text := ""
	for i, w := range places {
		if i > 0 {
			text += " "
		}
		text += w.ID
	}
	return text
}

// addRun assigns the run to its worker and gang and takes its capacity.
func (m *Model) addRun(r *run) {
	r.worker.runs[r.task] = r
	if r.gang != nil && len(r.gang.crashes) > 0 {
		r.hadCrashes = true
		r.worker.runsWithCrashes++
	}
	r.worker.recount()
	if r.gang != nil {
		r.team = r.gang.job.spec.Team
	}
	if r.team != "" {
		m.teamLedger.Start(r.team, r.need)
	}
	if r.gang != nil {
		r.gang.runs = append(r.gang.runs, r)
		m.active.Add(r.gang)
	}
}

// confirmRun records that the worker has the run.
func (m *Model) confirmRun(now time.Time, r *run) {
	if r.phase != starting && r.phase != recovering {
		return
	}
	kind := GangRunning
	if r.phase == recovering {
		kind = Adopted
	}
	r.phase = running
	r.confirmedAt = now
	r.worker.starts.succeed()
	r.progress.restart()
	m.schedulePoll(now, r.worker)
	g := r.gang
	if !g.allRunning() || !g.allRunningAt.IsZero() {
		return
	}
	g.allRunningAt = now
	for _, member := range g.runs {
		member.progress.restart()
	}
	m.reportDecision(kind, g, r.worker, "")
	if kind == GangRunning && !g.job.everRan {
		g.job.everRan = true
		m.emit(DecisionCmd{
			Kind: JobStarted, Job: g.job.spec.ID, Attempt: g.attempt, Worker: r.worker.ID, Domain: r.worker.Domain,
			Delay: now.Sub(g.job.acceptedAt), Detail: g.job.spec.Queue, ConfigVersion: m.config.Version,
		})
	}
}

// allRunning reports whether all members of the gang are running.
func (g *gang) allRunning() bool {
	if len(g.runs) < g.size {
		return false
	}
	for _, r := range g.runs {
		if r.phase != running {
			return false
		}
	}
	return true
}

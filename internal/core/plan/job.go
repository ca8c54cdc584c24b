package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// phase is the state of a gang.
type phase int

const (
	// blocked gangs wait for earlier steps or for their due time.
	blocked phase = iota
	// waiting gangs are in the queue.
	waiting
	// reserved gangs have places on which other gangs are being stopped.
	reserved
	// placed gangs have runs, some of which may not have been started yet.
	placed
	// stopping gangs have runs that are being stopped; the gangs then wait
	// again.
	stopping
	// done gangs have ended successfully.
	done
	// discarded gangs belong to a job that was cancelled or has failed.
	discarded
)

// gang is the unit of placement: all tasks of a step that run only together, or
// a single task of any other step.
type gang struct {
	job        *job
	occurrence int
	step       int
	first      int
	size       int
	// part is the first part of the job's progress that records the gang, and parts how
	// many do.
	part, parts int

	phase   phase
	attempt int
	// failedAttempts lists the attempts that ended in failure.
	failedAttempts []int
	// lostAttempts lists the attempts of which a run was given up without an
	// end being reported.
	lostAttempts []int
	// crashes holds the crashes of workers under the gang's tasks, and unsettled the
	// losses of workers that may have been crashes.
	crashes   []record.Crash
	unsettled []*loss
	// isolateUntil is the time until which a gang with crashes waits for workers that
	// run nothing of another job.
	isolateUntil time.Time
	// storedAttempt is the newest attempt whose places are stored.
	storedAttempt int
	// awaitsEntries is set while the start waits for newer entries of its workers.
	awaitsEntries bool
	checkpoint    string
	// failedOn holds the workers on which an attempt has failed, with when the newest did.
	failedOn map[string]time.Time
	// queuedAt is since when the gang has waited without a break, and lastResort is set
	// while places for it are looked for on workers that it otherwise avoids.
	queuedAt   time.Time
	lastResort bool

	runs   []*run
	places []*worker
	// position is the gang's place in the order of the newest placement pass.
	position int
	// claim holds the workers that are kept free for the gang.
	claim claim
	// aged is set when the gang was moved forward for its long wait before it was
	// placed.
	aged bool
	// leftSlow is set once the gang was moved away from a worker that seemed slow by the
	// gang's estimate.
	leftSlow bool
	// heldForLimit is set once the gang has waited for its team's limit.
	heldForLimit bool
	// preemptions counts how often the gang was preempted.
	preemptions int
	// deadline is when a reservation times out, or by when all members of an
	// attempt must be running.
	deadline time.Time
	dueAt    time.Time
	readyAt  time.Time
	placedAt time.Time
	// allRunningAt is when all members of the newest attempt were first seen
	// running.
	allRunningAt time.Time
	// seenRunning is when the gang was last known to be running and making progress.
	seenRunning time.Time
	// nextPreempt is the earliest time of the next search for a preemption.
	nextPreempt time.Time
	// resumed is set when the attempt began from a checkpoint, poorLocality
	// when it runs away from its data or across racks.
	resumed      bool
	poorLocality bool
	// finalLogRates holds the members' adjusted progress rates, as logarithms,
	// once the gang is done.
	finalLogRates []float64
}

// job is a job that has not ended.
type job struct {
	spec  record.Job
	state record.JobState
	queue rules.Queue
	gangs []*gang
	// firstGangs holds the position in gangs of the first gang of each step of each
	// occurrence.
	firstGangs []int
	// parts spreads the gangs over the rows of the job's progress, and storedParts holds
	// the rows beyond the first that are stored or being stored.
	parts       []progressPart
	storedParts map[int]bool
	// unfinished counts the gangs of each step that are not done.
	unfinished map[stepKey]int
	// attempt is the highest attempt number that any gang has used.
	attempt int
	// quickFailedOn is the first worker on which a run of the job has failed quickly.
	quickFailedOn *worker
	// acceptedAt is when the job was accepted by this planner's clock. Hosts'
	// clocks differ, so a row's own time is used only for jobs that were
	// recorded before this leader took over.
	acceptedAt time.Time
	// everPlaced is set once any gang was placed, everRan once all members of
	// one were seen running.
	everPlaced bool
	everRan    bool
	reason     string
	// beyondRate is set if the job's team had sent more jobs than its rate allows.
	beyondRate bool
	// coreSeconds is the job's work in core-seconds, by its own estimates.
	coreSeconds float64
}

// stepKey identifies a step of one occurrence.
type stepKey struct {
	occurrence, step int
}

// addJob adds a job row and restores its recorded progress.
func (m *Model) addJob(now time.Time, msg JobMsg) {
	id := msg.Job.ID
	if _, known := m.jobs[id]; known {
		return
	}
	if _, ended := m.write.ended[id]; ended {
		return
	}
	stored := joinProgress(msg.Progress)
	switch stored.State {
	case record.Completed, record.Failed, record.Cancelled:
		m.rememberEnded(id, stored.EndedAt)
		m.addLeftover(msg.Job, stored)
		m.dropParts(id, msg.Progress)
		return
	case record.Queued, record.Running:
	}
	j := &job{
		spec:        msg.Job,
		state:       record.Queued,
		storedParts: map[int]bool{},
		unfinished:  map[stepKey]int{},
		attempt:     stored.Attempt,
	}
	j.acceptedAt = now
	if !m.loaded {
		j.acceptedAt = earlier(now, msg.Job.SubmittedAt)
	}
	j.queue, _ = m.config.Queue(msg.Job.Queue)
	j.buildGangs()
	j.buildParts()
	m.jobs[id] = j
	m.recordDemand(now, j)
	m.restore(now, j, stored)
	m.noteStoredParts(j, msg.Progress)
	m.advance(now, j)
	m.reportDecision(JobLoaded, j.gangs[0], nil, j.spec.Queue)
	m.write.waitingDirty = true
}

// buildGangs creates the gangs of every occurrence.
func (j *job) buildGangs() {
	for k := range max(1, j.spec.Occurrences) {
		due := j.spec.FirstDueAt
		if !due.IsZero() {
			due = due.Add(time.Duration(k) * time.Duration(j.spec.IntervalMillis) * time.Millisecond)
		}
		for s, step := range j.spec.Steps {
			size := gangSize(step)
			j.firstGangs = append(j.firstGangs, len(j.gangs))
			for first := 0; first < step.Tasks; first += size {
				j.gangs = append(j.gangs, &gang{job: j, occurrence: k, step: s, first: first, size: size, dueAt: due})
				j.unfinished[stepKey{k, s}]++
			}
		}
	}
}

// gang returns the gang that contains the task.
func (j *job) gang(occurrence, step, index int) *gang {
	steps := j.spec.Steps
	if occurrence < 0 || occurrence >= max(1, j.spec.Occurrences) || step < 0 || step >= len(steps) {
		return nil
	}
	if index < 0 || index >= steps[step].Tasks {
		return nil
	}
	return j.gangs[j.firstGangs[occurrence*len(steps)+step]+index/gangSize(steps[step])]
}

// gangSize returns the number of tasks in each gang of a step.
func gangSize(s record.Step) int {
	if s.Gang {
		return s.Tasks
	}
	return 1
}

// advance queues the gangs whose steps and due time allow it, and ends the job
// when all gangs are done.
func (m *Model) advance(now time.Time, j *job) {
	left := 0
	for _, g := range j.gangs {
		if g.phase != done {
			left++
		}
		if g.phase != blocked || !j.ready(g) || now.Before(g.dueAt) {
			continue
		}
		g.readyAt = now
		m.enqueue(g)
	}
	if left == 0 {
		m.endJob(now, j, record.Completed, "")
	}
}

// ready reports whether all steps that the gang depends on are done.
func (j *job) ready(g *gang) bool {
	for _, s := range j.spec.Steps[g.step].After {
		if j.unfinished[stepKey{g.occurrence, s}] > 0 {
			return false
		}
	}
	return true
}

func (m *Model) enqueue(g *gang) {
	g.phase = waiting
	g.queuedAt = m.now
	g.places = nil
	m.queue = append(m.queue, g)
	m.changed = true
}

func (m *Model) dequeue(g *gang) {
	m.unclaim(g)
	if i := slices.Index(m.queue, g); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

// cancel ends a job at its submitter's request.
func (m *Model) cancel(now time.Time, id string) {
	j, ok := m.jobs[id]
	if !ok {
		return
	}
	m.endJob(now, j, record.Cancelled, "cancelled by its submitter")
}

// endJob gives a job its final state. Its remaining runs are stopped and
// tracked until they are gone.
func (m *Model) endJob(now time.Time, j *job, state record.JobState, reason string) {
	j.state = state
	j.reason = reason
	for _, g := range j.gangs {
		switch g.phase {
		case waiting:
			m.dequeue(g)
		case reserved:
			m.unreserve(g)
		case placed, stopping, blocked, done, discarded:
		}
		if g.phase == done {
			continue
		}
		g.phase = discarded
		m.stopRuns(now, g, nil)
	}
	delete(m.jobs, j.spec.ID)
	m.write.waitingDirty = true
	m.markEnded(now, j)
	m.reportDecision(JobEnded, j.gangs[0], nil, string(state)+" "+reason)
}

func (g *gang) spec() *record.Step {
	return &g.job.spec.Steps[g.step]
}

func (g *gang) need() record.Amount {
	return g.spec().Need
}

package plan

import (
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// phase is where a gang stands.
type phase int

const (
	// blocked gangs wait for other steps or for their time.
	blocked phase = iota
	// waiting gangs are in the queue.
	waiting
	// reserved gangs have places where others are being stopped.
	reserved
	// placed gangs have runs, some of which may not have been sent yet.
	placed
	// stopping gangs have runs that are being ended; they wait again after.
	stopping
	// done gangs have ended successfully.
	done
	// dead gangs belong to a job that has ended otherwise.
	dead
)

// gang is what is placed and ends as a unit: all tasks of a step that work
// only together, or one task of any other step.
type gang struct {
	job        *job
	occurrence int
	step       int
	first      int
	size       int

	phase   phase
	attempt int
	// failed lists the attempts that ended by a failure.
	failed []int
	// lost lists the attempts of which a run was given up here.
	lost       []int
	checkpoint string
	// failedOn names the workers on which an attempt has failed.
	failedOn map[string]bool

	runs   []*run
	places []*worker
	// claimed are the workers that are being cleared for the gang.
	claimed    []*worker
	claimUntil time.Time
	// preempted counts how often the gang has lost its places.
	preempted int
	deadline  time.Time
	dueAt     time.Time
	readyAt   time.Time
	startedAt time.Time
	// together is when the newest attempt was first seen at work whole.
	together time.Time
	// nextPreempt is when room may be made for the gang again.
	nextPreempt time.Time
	// resumed is set when the attempt began from a checkpoint, away when it
	// runs away from its data or over several racks.
	resumed bool
	away    bool
	// shown holds the paces of the members of a gang that is done.
	shown []float64
}

// job is a job that has not ended.
type job struct {
	spec    record.Job
	state   record.JobState
	queue   rules.Queue
	gangs   []*gang
	open    map[stepKey]int
	attempt int
	// since is when the job was accepted, as this planner's clock has it: hosts'
	// clocks differ, so a row's own time is used only for jobs from before.
	since time.Time
	// started is set once a gang was placed, atWork once one was seen at work.
	started bool
	atWork  bool
	reason  string
	// coreSecs is the job's work in core-seconds, by its estimates.
	coreSecs float64
}

// stepKey names a step of one occurrence.
type stepKey struct {
	occurrence, step int
}

func (m *Model) addJob(now time.Time, msg JobMsg) {
	id := msg.Job.ID
	if _, known := m.jobs[id]; known {
		return
	}
	if _, over := m.write.ended[id]; over {
		return
	}
	switch msg.Progress.State {
	case record.Completed, record.Failed, record.Cancelled:
		m.keepEnded(id, msg.Progress.EndedAt)
		return
	case record.Queued, record.Running:
	}
	j := &job{
		spec:    msg.Job,
		state:   record.Queued,
		open:    map[stepKey]int{},
		attempt: msg.Progress.Attempt,
	}
	j.since = now
	if !m.loaded {
		j.since = earlier(now, msg.Job.SubmittedAt)
	}
	j.queue, _ = m.config.Queue(msg.Job.Queue)
	j.build()
	m.jobs[id] = j
	m.rate(now, j)
	m.restore(now, j, msg.Progress)
	m.advance(now, j)
	m.decide(JobTaken, j.gangs[0], nil, j.spec.Queue)
	m.write.waitingChanged = true
}

// build makes the gangs of every occurrence.
func (j *job) build() {
	for k := range max(1, j.spec.Occurrences) {
		due := j.spec.FirstDueAt
		if !due.IsZero() {
			due = due.Add(time.Duration(k) * time.Duration(j.spec.IntervalMillis) * time.Millisecond)
		}
		for s, step := range j.spec.Steps {
			size := 1
			if step.Gang {
				size = step.Tasks
			}
			for first := 0; first < step.Tasks; first += size {
				j.gangs = append(j.gangs, &gang{job: j, occurrence: k, step: s, first: first, size: size, dueAt: due})
				j.open[stepKey{k, s}]++
			}
		}
	}
}

// restore applies what an earlier leader recorded. Its runs are confirmed or
// dropped when their workers answer.
func (m *Model) restore(now time.Time, j *job, p record.Progress) {
	j.started = p.State == record.Running
	j.atWork = j.started
	for _, g := range j.gangs {
		g.attempt = j.attempt
	}
	for _, gp := range p.Gangs {
		g := j.gang(gp.Occurrence, gp.Step, gp.First)
		if g == nil {
			continue
		}
		g.failed = gp.FailedAttempts
		g.checkpoint = gp.Checkpoint
		if gp.Done {
			g.phase = done
			j.open[stepKey{g.occurrence, g.step}]--
			continue
		}
		m.recover(now, g, gp)
	}
}

// recover takes over the runs that an earlier leader recorded for a gang.
func (m *Model) recover(now time.Time, g *gang, gp record.GangProgress) {
	for _, place := range gp.Places {
		w, known := m.workers[place.Worker]
		if !known {
			// A worker is left out of the roster only when nothing runs there.
			continue
		}
		m.hold(&run{
			task:    TaskID{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.step, Index: place.Index},
			attempt: gp.Attempt, gang: g, worker: w, need: g.need(), phase: recovering, sentAt: now,
		})
	}
	if len(g.runs) == 0 {
		return
	}
	g.phase = placed
	g.attempt = gp.Attempt
	g.startedAt = now
	g.deadline = later(now.Add(m.timing.GangWait), m.inheritedLease(now))
	if len(g.runs) < g.size {
		m.breakUp(now, g, "not all of its workers are known")
	}
}

// gang returns the gang that holds a task.
func (j *job) gang(occurrence, step, index int) *gang {
	for _, g := range j.gangs {
		if g.occurrence == occurrence && g.step == step && index >= g.first && index < g.first+g.size {
			return g
		}
	}
	return nil
}

// advance lets gangs whose turn has come wait for places, and ends the job
// when all are done.
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

func (j *job) ready(g *gang) bool {
	for _, s := range j.spec.Steps[g.step].After {
		if j.open[stepKey{g.occurrence, s}] > 0 {
			return false
		}
	}
	return true
}

func (m *Model) enqueue(g *gang) {
	g.phase = waiting
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

// cancel ends a job at its submitter's wish.
func (m *Model) cancel(now time.Time, id string) {
	j, ok := m.jobs[id]
	if !ok {
		return
	}
	m.endJob(now, j, record.Cancelled, "cancelled by its submitter")
}

// endJob gives a job its final state. Runs that are left are stopped and kept
// in mind until they are gone.
func (m *Model) endJob(now time.Time, j *job, state record.JobState, reason string) {
	j.state = state
	j.reason = reason
	for _, g := range j.gangs {
		switch g.phase {
		case waiting:
			m.dequeue(g)
		case reserved:
			m.unreserve(g)
		case placed, stopping, blocked, done, dead:
		}
		if g.phase == done {
			continue
		}
		g.phase = dead
		m.stopRuns(now, g, nil)
	}
	delete(m.jobs, j.spec.ID)
	m.write.waitingChanged = true
	m.write.ended[j.spec.ID] = now
	m.record(now, j, atOnce)
	m.decide(JobEnded, j.gangs[0], nil, string(state)+" "+reason)
}

// progress returns the row that a successor needs.
func (j *job) progress(ended time.Time) record.Progress {
	p := record.Progress{ID: j.spec.ID, State: j.state, Attempt: j.attempt, EndedAt: ended, Reason: j.reason}
	if !ended.IsZero() {
		return p
	}
	for _, g := range j.gangs {
		if g.phase != done && len(g.failed) == 0 && g.checkpoint == "" && len(g.runs) == 0 {
			continue
		}
		p.Gangs = append(p.Gangs, record.GangProgress{
			Attempt:        g.attempt,
			Places:         g.recordedPlaces(),
			Occurrence:     g.occurrence,
			Step:           g.step,
			First:          g.first,
			Done:           g.phase == done,
			FailedAttempts: g.failed,
			Checkpoint:     g.checkpoint,
		})
	}
	return p
}

// recordedPlaces returns where the gang's attempt is or may be.
func (g *gang) recordedPlaces() []record.Place {
	if g.phase == done {
		return nil
	}
	places := make([]record.Place, 0, len(g.runs))
	for _, r := range g.runs {
		places = append(places, record.Place{Index: r.task.Index, Worker: r.worker.ID})
	}
	return places
}

func (g *gang) spec() *record.Step {
	return &g.job.spec.Steps[g.step]
}

func (g *gang) need() record.Amount {
	return g.spec().Need
}

package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// maxRows is the largest number of jobs' rows in one transaction; the platform
// takes a hundred entries, and the lane, the roster and the queue lengths need
// some.
const maxRows = 75

// forgetAfter is how long an ended job is known after its rows were told to go.
const forgetAfter = time.Minute

// writeState is what waits to be stored and what is being stored.
type writeState struct {
	outstanding bool
	batch       int
	nextRenewal time.Time

	// dirty holds jobs whose progress is not stored, with their newest state.
	dirty map[string]*job
	// endedDirty holds final states that are not stored.
	endedDirty map[string]record.Progress
	// dueAt is when what waits has to be sent.
	dueAt time.Time

	// ended names jobs whose final state is known, with when they ended.
	ended map[string]time.Time
	// forgotten names ended jobs whose rows were told to go, and when.
	forgotten map[string]time.Time

	// recorded holds the jobs whose progress the outstanding batch stores, and
	// toStart their gangs that may start then.
	recorded []*job
	toStart  []storedAttempt

	ackChanged     bool
	acks           map[string]int64
	roster         rosterState
	waitingChanged bool
	nextWaiting    time.Time
}

// storedAttempt is an attempt whose places are being stored.
type storedAttempt struct {
	gang    *gang
	attempt int
}

func newWriteState() writeState {
	return writeState{
		dirty:      map[string]*job{},
		endedDirty: map[string]record.Progress{},
		ended:      map[string]time.Time{},
		forgotten:  map[string]time.Time{},
		roster:     rosterState{dirty: map[int]bool{}},
	}
}

// urgency says how soon progress has to be stored.
type urgency int

const (
	// soon lets other changes join.
	soon urgency = iota
	// atOnce stores with the next transaction.
	atOnce
)

// record marks a job's progress as changed.
func (m *Model) record(now time.Time, j *job, u urgency) {
	s := &m.write
	due := now
	if u == soon {
		due = now.Add(m.timing.ProgressDelay)
	}
	if len(s.dirty) == 0 && len(s.endedDirty) == 0 {
		s.dueAt = due
	}
	s.dueAt = earlier(s.dueAt, due)
	if _, ended := s.ended[j.spec.ID]; ended {
		delete(s.dirty, j.spec.ID)
		s.endedDirty[j.spec.ID] = j.progress(now)
		return
	}
	s.dirty[j.spec.ID] = j
}

// keepEnded remembers a job that ended under an earlier leader until its rows
// may go.
func (m *Model) keepEnded(id string, endedAt time.Time) {
	m.write.ended[id] = endedAt
}

// flush sends what waits to be stored in one transaction.
func (m *Model) flush(now time.Time) {
	s := &m.write
	if s.outstanding || !m.loaded {
		return
	}
	m.checkRoster()
	due := (len(s.dirty) > 0 || len(s.endedDirty) > 0) && !now.Before(s.dueAt)
	lengths := s.waitingChanged && !now.Before(s.nextWaiting)
	if !due && !s.ackChanged && len(s.roster.dirty) == 0 && !lengths && now.Before(s.nextRenewal) {
		return
	}
	s.outstanding = true
	s.batch++
	s.nextRenewal = now.Add(m.timing.RenewInterval)
	cmd := WriteCmd{Batch: s.batch, Progress: m.takeDirty()}
	m.takeStarts()
	cmd.Forgotten = m.takeForgotten(now, maxRows-len(cmd.Progress))
	m.takeAcks()
	cmd.Rosters = m.takeRosters()
	if lengths {
		s.waitingChanged = false
		s.nextWaiting = now.Add(m.timing.WaitingInterval)
		cmd.Waiting = m.lengths()
	}
	m.emit(cmd)
}

// takeDirty returns the rows of jobs that ended, then of those that changed.
func (m *Model) takeDirty() []record.Progress {
	s := &m.write
	rows := make([]record.Progress, 0, min(maxRows, len(s.dirty)+len(s.endedDirty)))
	for _, id := range slices.Sorted(maps.Keys(s.endedDirty)) {
		if len(rows) == maxRows {
			return rows
		}
		rows = append(rows, s.endedDirty[id])
		delete(s.endedDirty, id)
	}
	for _, id := range slices.Sorted(maps.Keys(s.dirty)) {
		if len(rows) == maxRows {
			return rows
		}
		j := s.dirty[id]
		rows = append(rows, j.progress(time.Time{}))
		s.recorded = append(s.recorded, j)
		delete(s.dirty, id)
	}
	return rows
}

// takeStarts notes which gangs may start once the batch is stored.
func (m *Model) takeStarts() {
	s := &m.write
	s.toStart = s.toStart[:0]
	for _, j := range s.recorded {
		for _, g := range j.gangs {
			if g.phase == placed && len(g.runs) > 0 && g.runs[0].phase == recording {
				s.toStart = append(s.toStart, storedAttempt{g, g.attempt})
			}
		}
	}
	s.recorded = s.recorded[:0]
}

// takeAcks notes which ends will be stored with the batch. Ends are only
// acknowledged together with all progress that they led to.
func (m *Model) takeAcks() {
	s := &m.write
	s.acks = nil
	if len(s.dirty) > 0 || len(s.endedDirty) > 0 {
		return
	}
	s.ackChanged = false
	s.acks = map[string]int64{}
	for _, w := range m.order {
		if w.seen > w.durable {
			s.acks[w.ID] = w.seen
		}
	}
}

// takeForgotten returns ended jobs whose rows may go. They are remembered here
// a while longer, since a reading of the rows may be under way.
func (m *Model) takeForgotten(now time.Time, most int) []string {
	var ids []string
	for id, at := range m.write.ended {
		if _, sent := m.write.forgotten[id]; sent {
			continue
		}
		if len(ids) >= most/2 {
			break
		}
		if now.Sub(at) > m.timing.KeepEnded {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.write.forgotten[id] = now
	}
	for id, at := range m.write.forgotten {
		if now.Sub(at) > forgetAfter {
			delete(m.write.forgotten, id)
			delete(m.write.ended, id)
		}
	}
	return ids
}

// lengths returns how many jobs of each queue have not begun.
func (m *Model) lengths() *record.Waiting {
	counts := map[string]int{}
	for _, j := range m.jobs {
		if !j.started {
			counts[j.spec.Queue]++
		}
	}
	lengths := &record.Waiting{}
	for queue, n := range counts {
		lengths.Queues = append(lengths.Queues, record.QueueLength{Queue: queue, Jobs: n})
	}
	slices.SortFunc(lengths.Queues, func(a, b record.QueueLength) int { return cmp.Compare(a.Queue, b.Queue) })
	return lengths
}

// written takes in that the batch is stored.
func (m *Model) written(now time.Time, msg WrittenMsg) {
	s := &m.write
	if msg.Batch != s.batch {
		return
	}
	s.outstanding = false
	for id, number := range s.acks {
		if w, ok := m.workers[id]; ok && number <= w.seen {
			w.durable = number
			m.lookSoon(now, w)
		}
	}
	m.rosterStored()
	s.acks = nil
	for _, a := range s.toStart {
		if a.gang.attempt == a.attempt {
			m.start(now, a.gang)
		}
	}
	s.toStart = s.toStart[:0]
}

package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/sets"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// maxJobRows is the largest number of jobs' rows in one transaction. The
// platform accepts a hundred entries, of which the leader's row, the roster and
// the queue lengths need some.
const maxJobRows = 75

// deletedRetention is how long an ended job is remembered after the deletion of
// its rows was sent.
const deletedRetention = time.Minute

// writeState tracks what has to be stored and what is being stored.
type writeState struct {
	pending bool
	batch   int
	sentAt  time.Time
	// lateAt is when a batch was last stored late.
	lateAt      time.Time
	nextRenewal time.Time

	// dirty holds the parts of jobs' progress that are not stored, in the order in which
	// they changed, so that a job with many parts does not delay the others.
	dirty sets.Ordered[dirtyPart]
	// endedDirty holds final states that are not stored.
	endedDirty map[string]record.Progress
	// dueAt is when the progress has to be sent.
	dueAt time.Time

	// ended holds the jobs whose final state is known, with when they ended.
	ended map[string]time.Time
	// deleted holds the ended jobs whose rows are deleted, with when that was
	// sent.
	deleted map[string]time.Time

	// drops holds the rows of ended jobs' progress that are to be removed, and
	// dropsOf counts them by job.
	drops   []StoredPart
	dropsOf map[string]int

	// storing holds the progress that the pending batch stores, and toStart those of
	// its gangs that are started afterwards.
	storing []dirtyPart
	toStart []storedAttempt

	acksDirty bool
	acks      map[string]int64
	// nextAcks holds the ends that can be acknowledged once the progress before acksMark
	// is stored, or nil.
	nextAcks     map[string]int64
	roster       rosterState
	waitingDirty bool
	nextWaiting  time.Time
	// digestFrom is when the digest of the load is computed from.
	digestFrom time.Time
}

// storedAttempt is an attempt whose places are being stored.
type storedAttempt struct {
	gang    *gang
	attempt int
}

func newWriteState() writeState {
	return writeState{
		endedDirty: map[string]record.Progress{},
		dropsOf:    map[string]int{},
		ended:      map[string]time.Time{},
		deleted:    map[string]time.Time{},
		roster:     rosterState{dirty: map[int]bool{}},
	}
}

// rememberEnded remembers a job that ended under an earlier leader until its
// rows are deleted.
func (m *Model) rememberEnded(id string, endedAt time.Time) {
	m.write.ended[id] = endedAt
}

// flush sends what has to be stored in one transaction. While the rows of earlier
// leaders are being read, that is only the renewal of the leader's row, without which
// another host would take over during a long read.
func (m *Model) flush(now time.Time) {
	s := &m.write
	if s.pending {
		return
	}
	if !m.loaded {
		m.renew(now)
		return
	}
	m.markRosterDirty()
	due := s.hasProgress() && !now.Before(s.dueAt) || len(s.drops) > 0
	writeLengths := (s.waitingDirty || m.policy.RefuseLate) && !now.Before(s.nextWaiting)
	if !due && !s.acksDirty && len(s.roster.dirty) == 0 && !writeLengths && now.Before(s.nextRenewal) {
		return
	}
	s.pending = true
	s.sentAt = now
	s.batch++
	s.nextRenewal = now.Add(m.timing.RenewInterval)
	s.acks = nil
	cmd := WriteCmd{Batch: s.batch, Progress: m.takeDirty()}
	m.takeStarts()
	cmd.Dropped = m.takeDrops(maxJobRows - len(cmd.Progress))
	cmd.Deleted = m.takeDeletions(now, maxJobRows-len(cmd.Progress)-len(cmd.Dropped))
	m.takeAcks()
	cmd.Rosters = m.takeRosters()
	if writeLengths {
		s.waitingDirty = false
		s.nextWaiting = now.Add(m.timing.WaitingInterval)
		cmd.Waiting = m.queueLengths()
		m.addDigest(now, cmd.Waiting)
	}
	cmd.RunTimes = m.takeRunTimes(now)
	m.emit(cmd)
}

// renew sends a transaction that only renews the leader's row, if that is due.
func (m *Model) renew(now time.Time) {
	s := &m.write
	if now.Before(s.nextRenewal) {
		return
	}
	s.pending = true
	s.sentAt = now
	s.batch++
	s.nextRenewal = now.Add(m.timing.RenewInterval)
	m.emit(WriteCmd{Batch: s.batch})
}

// takeDirty returns rows of jobs that ended, then of those that changed.
func (m *Model) takeDirty() []record.Progress {
	s := &m.write
	rows := make([]record.Progress, 0, min(maxJobRows, s.dirty.Len()+len(s.endedDirty)))
	for _, id := range slices.Sorted(maps.Keys(s.endedDirty)) {
		if len(rows) == maxJobRows {
			return rows
		}
		rows = append(rows, s.endedDirty[id])
		delete(s.endedDirty, id)
	}
	for p := range s.dirty.All() {
		if len(rows) == maxJobRows {
			return rows
		}
		if p == acksMark {
			s.dirty.Remove(p)
			s.acks, s.nextAcks = s.nextAcks, nil
			continue
		}
		rows = append(rows, p.job.progress(p.part))
		if p.part > 0 {
			p.job.storedParts[p.part] = true
		}
		s.storing = append(s.storing, p)
		s.dirty.Remove(p)
	}
	return rows
}

// takeStarts collects the gangs that are started once the batch is stored.
func (m *Model) takeStarts() {
	s := &m.write
	s.toStart = s.toStart[:0]
	for _, p := range s.storing {
		for _, g := range p.job.parts[p.part].gangs {
			if g.phase == placed && len(g.runs) > 0 && g.runs[0].phase == storing && !m.hasDirtyPlaces(g) {
				s.toStart = append(s.toStart, storedAttempt{g, g.attempt})
			}
		}
	}
	s.storing = s.storing[:0]
}

// acksMark stands in the order of parts that are not stored behind all progress that
// resulted from the ends in nextAcks.
var acksMark = dirtyPart{part: -1}

// takeAcks collects the ends that can be acknowledged once the batch is stored.
// Ends are acknowledged only together with all progress that resulted from
// them. If a batch does not hold all progress, the ends seen so far are acknowledged with
// the batch that holds the last part that is dirty now, however much progress follows.
func (m *Model) takeAcks() {
	s := &m.write
	switch {
	case !s.hasProgress():
		s.acksDirty = false
		s.acks, s.nextAcks = m.unstoredEnds(), nil
	case s.nextAcks == nil && s.acksDirty:
		s.nextAcks = m.unstoredEnds()
		s.dirty.Add(acksMark)
	}
}

// unstoredEnds returns the newest end of each worker that has ends whose results are not
// stored.
func (m *Model) unstoredEnds() map[string]int64 {
	ends := map[string]int64{}
	for _, w := range m.sortedWorkers {
		if w.seenEnd > w.storedEnd {
			ends[w.ID] = w.seenEnd
		}
	}
	return ends
}

// takeDeletions returns ended jobs whose rows are to be deleted. They are
// remembered for a while longer, since a read of the rows may be in progress.
func (m *Model) takeDeletions(now time.Time, limit int) []string {
	var ids []string
	for id, at := range m.write.ended {
		if _, sent := m.write.deleted[id]; sent || m.write.dropsOf[id] > 0 {
			continue
		}
		if now.Sub(at) > m.timing.KeepEnded {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	ids = ids[:min(len(ids), max(0, limit/2))]
	for _, id := range ids {
		m.write.deleted[id] = now
	}
	for id, at := range m.write.deleted {
		if now.Sub(at) > deletedRetention {
			delete(m.write.deleted, id)
			delete(m.write.ended, id)
			delete(m.leftovers.jobs, id)
		}
	}
	return ids
}

// queueLengths returns how many jobs of each queue have not started.
func (m *Model) queueLengths() *record.Waiting {
	counts := map[string]int{}
	for _, j := range m.jobs {
		if !j.everPlaced {
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

// handleWritten starts gangs and allows acknowledgements once the batch is
// stored.
func (m *Model) handleWritten(now time.Time, msg WrittenMsg) {
	s := &m.write
	if msg.Batch != s.batch {
		return
	}
	s.pending = false
	if now.Sub(s.sentAt) > lateWrite {
		s.lateAt = now
	}
	for _, id := range slices.Sorted(maps.Keys(s.acks)) {
		if w, ok := m.workers[id]; ok && s.acks[id] <= w.seenEnd {
			w.storedEnd = s.acks[id]
			m.schedulePoll(now, w)
		}
	}
	m.rosterStored(now)
	s.acks = nil
	for _, a := range s.toStart {
		if a.gang.attempt == a.attempt {
			a.gang.storedAttempt = a.attempt
			m.startRuns(now, a.gang)
		}
	}
	s.toStart = s.toStart[:0]
}

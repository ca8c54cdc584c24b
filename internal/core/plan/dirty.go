package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// markDirty marks the progress of a gang as changed, apart from its places. It waits a
// short time so that other changes join it.
func (m *Model) markDirty(now time.Time, g *gang) {
	m.setDue(now.Add(m.timing.ProgressDelay))
	m.markPart(g.job, g.part)
}

// markTaskDirty marks as changed what is recorded of one task of a gang, which has to be
// stored at once.
func (m *Model) markTaskDirty(now time.Time, g *gang, index int) {
	m.setDue(now)
	m.markPart(g.job, g.partOf(index))
}

// markPlacesDirty marks the places of a gang as changed, which have to be stored at once.
func (m *Model) markPlacesDirty(now time.Time, g *gang) {
	m.setDue(now)
	for part := g.part; part < g.part+g.parts; part++ {
		m.markPart(g.job, part)
	}
}

// setDue sets when progress that is about to be marked has to be stored at the latest.
func (m *Model) setDue(due time.Time) {
	s := &m.write
	if !s.hasProgress() {
		s.dueAt = due
	}
	s.dueAt = earlier(s.dueAt, due)
}

// hasProgress reports whether there is progress that is not sent.
func (s *writeState) hasProgress() bool {
	return s.dirty.Len() > 0 || len(s.endedDirty) > 0
}

// markPart marks a part of a job's progress as changed. The final state of a job that has
// ended stands for all parts.
func (m *Model) markPart(j *job, part int) {
	if _, ended := m.write.ended[j.spec.ID]; !ended {
		m.write.dirty.Add(dirtyPart{j, part})
	}
}

// markEnded has the final state of a job stored at once, and then its other rows removed.
func (m *Model) markEnded(now time.Time, j *job) {
	s := &m.write
	m.setDue(now)
	s.ended[j.spec.ID] = now
	for part := range j.parts {
		s.dirty.Remove(dirtyPart{j, part})
	}
	s.endedDirty[j.spec.ID] = record.Progress{ID: j.spec.ID, State: j.state, Attempt: j.attempt, EndedAt: now, Reason: j.reason}
	for _, part := range slices.Sorted(maps.Keys(j.storedParts)) {
		m.dropPart(StoredPart{j.spec.ID, part})
	}
}

// dropParts has the rows beyond the first removed of a job that an earlier leader ended.
func (m *Model) dropParts(id string, rows []record.Progress) {
	for _, row := range rows {
		if row.Part > 0 {
			m.dropPart(StoredPart{id, row.Part})
		}
	}
}

func (m *Model) dropPart(part StoredPart) {
	m.write.drops = append(m.write.drops, part)
	m.write.dropsOf[part.Job]++
}

// takeDrops returns rows of ended jobs' progress that are to be removed. The final states
// of the jobs are stored by then, or before that in the same batch.
func (m *Model) takeDrops(limit int) []StoredPart {
	s := &m.write
	if len(s.endedDirty) > 0 || limit <= 0 || len(s.drops) == 0 {
		return nil
	}
	n := min(limit, len(s.drops))
	taken := slices.Clone(s.drops[:n])
	s.drops = s.drops[n:]
	for _, part := range taken {
		if s.dropsOf[part.Job]--; s.dropsOf[part.Job] == 0 {
			delete(s.dropsOf, part.Job)
		}
	}
	return taken
}

// hasDirtyPlaces reports whether places of the gang are left for a later batch.
func (m *Model) hasDirtyPlaces(g *gang) bool {
	for part := g.part; part < g.part+g.parts; part++ {
		if m.write.dirty.Has(dirtyPart{g.job, part}) {
			return true
		}
	}
	return false
}

package plan

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// rosterParts is the number of rows that hold the roster, so that each stays
// well below the size limit of the store's rows.
const rosterParts = 16

// rosterState tracks which parts of the roster are not stored. The roster names
// the workers that may have been assigned work. A worker gets work only once it
// is in the stored roster, so that the next leader knows where runs may be.
type rosterState struct {
	dirty map[int]bool
	// sent names the workers in the parts that are being stored.
	sent map[string]bool
	// released holds the workers that are being stored without their withholding.
	released []*worker
}

// rosterPart returns the part of the roster that holds a worker.
func rosterPart(id string) int {
	return int(xxhash.Sum64String(id) % rosterParts)
}

// addRoster adds the workers to which earlier leaders may have assigned work.
func (m *Model) addRoster(now time.Time, entries []record.RosterEntry) {
	for _, e := range entries {
		if w, ok := m.workers[e.ID]; ok {
			w.inRoster = true
			m.inheritWithholding(now, w, e)
			continue
		}
		address, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			continue
		}
		w := newWorker(Worker{ID: e.ID, Address: address, Domain: e.Domain, Target: e.Target, Draining: e.Draining})
		w.inRoster = true
		m.inheritWithholding(now, w, e)
		m.workers[e.ID] = w
	}
	m.sortWorkers()
}

// markRosterDirty marks the parts with workers that are not in the stored
// roster.
func (m *Model) markRosterDirty() {
	for _, w := range m.sortedWorkers {
		if w.listed && !w.inRoster && !m.write.roster.sent[w.ID] {
			m.write.roster.dirty[rosterPart(w.ID)] = true
		}
	}
}

// takeRosters returns the parts that have changed.
func (m *Model) takeRosters() []record.Roster {
	s := &m.write.roster
	if len(s.dirty) == 0 {
		return nil
	}
	parts := make(map[int]*record.Roster, len(s.dirty))
	for part := range s.dirty {
		parts[part] = &record.Roster{Part: part, Workers: []record.RosterEntry{}}
	}
	s.sent, s.released = map[string]bool{}, nil
	for _, w := range m.sortedWorkers {
		part, changed := parts[rosterPart(w.ID)]
		if !changed {
			continue
		}
		s.sent[w.ID] = true
		if w.withheld.inForce && !w.withheld.wanted {
			s.released = append(s.released, w)
		}
		part.Workers = append(part.Workers, m.rosterEntry(w))
	}
	rosters := make([]record.Roster, 0, len(parts))
	for part := range rosterParts {
		if r, changed := parts[part]; changed {
			rosters = append(rosters, *r)
		}
	}
	clear(s.dirty)
	return rosters
}

// rosterStored allows work and leases on the workers of the stored parts.
func (m *Model) rosterStored(now time.Time) {
	for _, w := range m.write.roster.released {
		w.withheld.inForce = w.withheld.wanted
		m.schedulePoll(now, w)
		m.changed = true
	}
	m.write.roster.released = nil
	for id := range m.write.roster.sent {
		if w, ok := m.workers[id]; ok && !w.inRoster {
			w.inRoster = true
			m.changed = true
		}
	}
	m.write.roster.sent = nil
}

// recordedPlaces returns where the gang's attempt runs or may run, of the tasks that the
// part of its job's progress holds.
func (g *gang) recordedPlaces(p progressPart) []record.Place {
	if g.phase == done {
		return nil
	}
	places := make([]record.Place, 0, len(g.runs))
	for _, r := range g.runs {
		if p.holds(r.task.Index) {
			places = append(places, r.place())
		}
	}
	return places
}

// place returns the row in which the run's place is recorded.
func (r *run) place() record.Place {
	p := record.Place{Index: r.task.Index, Worker: r.worker.ID}
	if !r.incarnation.IsZero() {
		p.StartedAtMs = r.incarnation.UnixMilli()
	}
	return p
}

// startTime returns when the incarnation of a recorded place started.
func startTime(p record.Place) time.Time {
	if p.StartedAtMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.StartedAtMs)
}

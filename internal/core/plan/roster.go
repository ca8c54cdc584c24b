package plan

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// rosterParts is the number of rows over which the roster is spread, so that
// each stays well under the largest row of the store.
const rosterParts = 16

// rosterState is which parts of the roster are not stored.
type rosterState struct {
	dirty map[int]bool
	// sent names the workers in the parts that are being stored.
	sent map[string]bool
}

// rosterPart returns the part of the roster that holds a worker.
func rosterPart(id string) int {
	return int(xxhash.Sum64String(id) % rosterParts)
}

// setRoster takes in the workers that earlier leaders may have given work to.
func (m *Model) setRoster(now time.Time, entries []record.RosterEntry) {
	for _, e := range entries {
		if w, ok := m.workers[e.ID]; ok {
			w.rostered = true
			w.inheritedUntil = m.inheritedLease(now)
			continue
		}
		address, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			continue
		}
		w := newWorker(Worker{ID: e.ID, Address: address, Domain: e.Domain, Target: e.Target})
		w.rostered = true
		w.inheritedUntil = m.inheritedLease(now)
		m.workers[e.ID] = w
	}
	m.sortWorkers()
}

// checkRoster asks for the parts of workers that are not in the stored roster.
func (m *Model) checkRoster() {
	for _, w := range m.order {
		if w.listed && !w.rostered && !m.write.roster.sent[w.ID] {
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
	s.sent = map[string]bool{}
	for _, w := range m.order {
		part, changed := parts[rosterPart(w.ID)]
		if !changed {
			continue
		}
		s.sent[w.ID] = true
		part.Workers = append(part.Workers, record.RosterEntry{
			ID: w.ID, Address: w.Address.String(), Domain: w.Domain, Target: w.Target,
		})
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

// rosterStored lets the workers of the stored parts get work.
func (m *Model) rosterStored() {
	for id := range m.write.roster.sent {
		if w, ok := m.workers[id]; ok && !w.rostered {
			w.rostered = true
			m.changed = true
		}
	}
	m.write.roster.sent = nil
}

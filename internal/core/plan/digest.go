package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// digestBytes bounds the row that holds the digest. What does not fit is left out;
	// a host refuses nothing for what it is not told.
	digestBytes = 7800
	// queueLengthBytes, queueLoadBytes and nameBytes are the most that the encoding adds
	// to a name of a queue, of a queue with its load, and of a team.
	queueLengthBytes = 24
	queueLoadBytes   = 170
	nameBytes        = 2
	// digestFrameBytes is what the rest of the row takes.
	digestFrameBytes = 90
	// maxForecastGangs limits the waiting gangs of which a forecast takes account.
	maxForecastGangs = 3000
	// maxRunPercent limits the ratio of expected run times to estimates.
	maxRunPercent = 1000
)

// addDigest adds the digest of the load to the queue lengths, unless the policy is off
// or this leader has not had time to hear from the workers: capacity that is free would
// then count as taken.
func (m *Model) addDigest(now time.Time, w *record.Waiting) {
	if !m.policy.RefuseLate {
		return
	}
	s := &m.write
	if s.digestFrom.IsZero() {
		s.digestFrom = now.Add(m.timing.SilenceLimit)
	}
	if now.Before(s.digestFrom) {
		return
	}
	// The view and the rate belong to the placement passes, which must not depend on
	// whether there was a digest between two of them.
	view, urgent := m.view, m.urgent
	defer func() { m.view, m.urgent = view, urgent }()
	m.refreshView(now)
	w.Epoch = m.epoch
	left := digestBytes - digestFrameBytes
	for _, q := range w.Queues {
		left -= queueLengthBytes + len(q.Queue)
	}
	left = m.addLoads(now, w, left)
	w.AboveShare, left = namesWithin(m.teamsAboveShare(), left)
	w.BeyondGuarantee, _ = namesWithin(m.teamsBeyondGuarantee(), left)
}

// teamsAboveShare returns the teams that are above their share, or have work waiting
// beyond their rate, while work of others waits.
func (m *Model) teamsAboveShare() []string {
	waiting, beyond := map[string]bool{}, map[string]bool{}
	for _, g := range m.queue {
		team := g.job.spec.Team
		waiting[team] = true
		beyond[team] = beyond[team] || m.beyondRate(g.job)
	}
	var names []string
	for team := range m.teams.weights {
		othersWait := len(waiting) > 1 || len(waiting) == 1 && !waiting[team]
		if othersWait && (beyond[team] || m.aboveShare(team)) {
			names = append(names, team)
		}
	}
	slices.Sort(names)
	return names
}

// teamsBeyondGuarantee returns the teams whose urgent jobs together need more than the
// team is guaranteed.
func (m *Model) teamsBeyondGuarantee() []string {
	var names []string
	for team := range m.view.urgentDemand {
		if !m.withinGuarantee(team) {
			names = append(names, team)
		}
	}
	slices.Sort(names)
	return names
}

// namesWithin returns as many names as fit into a number of bytes, and what is left.
func namesWithin(names []string, left int) ([]string, int) {
	for i, name := range names {
		if left -= nameBytes + len(name); left < 0 {
			return names[:i], 0
		}
	}
	return names, left
}

// addLoads adds what waits in each queue and the delays of new jobs, least urgent queues
// first as long as they fit into a number of bytes. It returns what is left of that.
func (m *Model) addLoads(now time.Time, w *record.Waiting, left int) int {
	if len(m.queue) == 0 {
		return left
	}
	ranked := m.rankWaiting(now)
	starting := m.startingNow(now, ranked)
	loads := map[string]record.QueueLength{}
	for _, target := range m.config.Targets {
		maps.Copy(loads, m.targetLoads(now, target.Name, ranked, starting))
	}
	for _, target := range m.unlistedTargets() {
		maps.Copy(loads, m.targetLoads(now, target, ranked, starting))
	}
	queues := slices.Clone(m.config.Queues)
	slices.SortStableFunc(queues, func(a, b rules.Queue) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	for _, q := range queues {
		load, ok := loads[q.Name]
		if !ok {
			continue
		}
		if left -= queueLoadBytes + len(q.Name); left < 0 {
			return 0
		}
		load.Queue = q.Name
		i, found := slices.BinarySearchFunc(w.Queues, q.Name, func(l record.QueueLength, name string) int {
			return cmp.Compare(l.Queue, name)
		})
		if found {
			load.Jobs = w.Queues[i].Jobs
			w.Queues[i] = load
		} else {
			w.Queues = slices.Insert(w.Queues, i, load)
		}
	}
	return left
}

// unlistedTargets returns the targets that queues name and the configuration does not
// describe.
func (m *Model) unlistedTargets() []string {
	known := map[string]bool{}
	for _, t := range m.config.Targets {
		known[t.Name] = true
	}
	var targets []string
	for _, q := range m.config.Queues {
		if !known[q.Target] {
			known[q.Target] = true
			targets = append(targets, q.Target)
		}
	}
	return targets
}

// rankWaiting returns the waiting gangs that still have value and may start, in the
// order in which a placement pass tries them. Ageing is left out: it can only put other
// gangs before a new one.
func (m *Model) rankWaiting(now time.Time) []rankedGang {
	ranked := make([]rankedGang, 0, len(m.queue))
	for _, g := range m.queue {
		if r := m.rankOf(now, g); r.lateness != tooLate && !g.awaitsLost(now) {
			ranked = append(ranked, r)
		}
	}
	slices.SortFunc(ranked, compareRanked)
	return ranked[:min(len(ranked), maxForecastGangs)]
}

// startingNow returns the waiting gangs for which there are places now if the next
// placement pass is still due. Capacity that it leaves is free for a new job.
func (m *Model) startingNow(now time.Time, ranked []rankedGang) map[*gang]bool {
	starting := map[*gang]bool{}
	if !m.changed {
		return starting
	}
	free := m.freeByTarget()
	failed := map[placementKey]bool{}
	overlay := &freeOverlay{free: map[*worker]record.Amount{}}
	for _, r := range ranked {
		target := r.gang.job.queue.Target
		all := amount.Times(r.gang.need(), r.gang.size)
		if !amount.Fits(all, free[target]) {
			continue
		}
		key := r.placementKey(now)
		if failed[key] {
			continue
		}
		places := m.findPlaces(now, r.gang, overlay)
		if places == nil || !m.mayUseHeadroom(now, r) && !m.leavesHeadroom(now, r, places) {
			failed[key] = len(r.gang.failedOn) == 0 && len(r.gang.claim.workers) == 0
			continue
		}
		starting[r.gang] = true
		free[target] = amount.Sub(free[target], all)
		for _, w := range places {
			overlay.free[w] = amount.Sub(overlay.freeOn(w), r.gang.need())
		}
	}
	return starting
}

// freeByTarget returns what is free on each target's usable workers together.
func (m *Model) freeByTarget() map[string]record.Amount {
	free := map[string]record.Amount{}
	for target, workers := range m.view.usable {
		for _, w := range workers {
			if !amount.Negative(w.free) {
				free[target] = amount.Add(free[target], w.free)
			}
		}
	}
	return free
}

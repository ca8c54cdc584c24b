package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// partTasks is the largest number of tasks whose progress shares a row, so that each row
// of a job stays below the size limit of the store's rows however many tasks the job has.
const partTasks = 64

// progressPart is the share of a job's progress that one row holds: some of its gangs, or
// a slice of the places of a gang that is too large for one row.
type progressPart struct {
	gangs []*gang
	// slice is the number of the slice, and from and to bound the indexes of its tasks
	// within the gang. They are set only if the gang is spread over several parts.
	slice, from, to int
}

// dirtyPart is a part of a job's progress that is not stored.
type dirtyPart struct {
	job  *job
	part int
}

// StoredPart identifies a row of a job's progress. Part 0 holds the job's state.
type StoredPart struct {
	Job  string
	Part int
}

// buildParts spreads the job's gangs over the rows of its progress. The same job has the
// same parts under each leader.
func (j *job) buildParts() {
	tasks := 0
	for _, g := range j.gangs {
		if g.size > partTasks {
			j.addSlices(g)
			tasks = partTasks
			continue
		}
		if len(j.parts) == 0 || tasks+g.size > partTasks {
			j.parts = append(j.parts, progressPart{})
			tasks = 0
		}
		g.part, g.parts = len(j.parts)-1, 1
		j.parts[g.part].gangs = append(j.parts[g.part].gangs, g)
		tasks += g.size
	}
}

// addSlices gives a gang that is too large for one row parts of its own.
func (j *job) addSlices(g *gang) {
	g.part = len(j.parts)
	for from := 0; from < g.size; from += partTasks {
		j.parts = append(j.parts, progressPart{
			gangs: []*gang{g}, slice: from / partTasks, from: g.first + from, to: g.first + min(from+partTasks, g.size),
		})
	}
	g.parts = len(j.parts) - g.part
}

// holds reports whether the part records what concerns one task of its gangs only.
func (p progressPart) holds(index int) bool {
	return p.to == 0 || index >= p.from && index < p.to
}

// partOf returns the part that records what concerns one task of the gang only.
func (g *gang) partOf(index int) int {
	return g.part + min((index-g.first)/partTasks, g.parts-1)
}

// progress returns one row from which the next leader restores the job.
func (j *job) progress(part int) record.Progress {
	row := record.Progress{ID: j.spec.ID, Part: part, State: j.state, Attempt: j.attempt, Reason: j.reason}
	for _, g := range j.parts[part].gangs {
		if !g.hasProgress() {
			continue
		}
		row.Gangs = append(row.Gangs, g.progress(j.parts[part]))
	}
	return row
}

// hasProgress reports whether the next leader has to know anything of the gang.
func (g *gang) hasProgress() bool {
	return g.phase == done || len(g.failedAttempts) > 0 || len(g.crashes) > 0 || len(g.unsettled) > 0 ||
		g.checkpoint != "" || len(g.runs) > 0
}

// progress returns what a part records of the gang.
func (g *gang) progress(p progressPart) record.GangProgress {
	row := record.GangProgress{
		Attempt: g.attempt, Occurrence: g.occurrence, Step: g.step, First: g.first, Slice: p.slice,
		Done: g.phase == done, Places: g.recordedPlaces(p), Losses: g.recordedLosses(p),
	}
	for _, c := range g.crashes {
		if p.holds(c.Index) {
			row.Crashes = append(row.Crashes, c)
		}
	}
	if p.slice == 0 {
		row.FailedAttempts, row.Checkpoint = g.failedAttempts, g.checkpoint
	}
	return row
}

// joinProgress returns the progress that some rows of a job hold together, oldest row
// first. A newer row counts more, since rows of a version with other parts may be left.
func joinProgress(rows []record.Progress) record.Progress {
	var joined record.Progress
	gangs := map[gangKey]*joinedGang{}
	for _, row := range rows {
		if row.Part == 0 {
			joined.ID, joined.State, joined.Reason, joined.EndedAt = row.ID, row.State, row.Reason, row.EndedAt
		}
		joined.Attempt = max(joined.Attempt, row.Attempt)
		for _, gp := range row.Gangs {
			key := gangKey{gp.Occurrence, gp.Step, gp.First}
			if gangs[key] == nil {
				gangs[key] = &joinedGang{slices: map[int]record.GangProgress{}, places: map[int]record.Place{}}
			}
			gangs[key].add(gp)
		}
	}
	for key, g := range gangs {
		joined.Gangs = append(joined.Gangs, g.progress(key))
	}
	slices.SortFunc(joined.Gangs, func(a, b record.GangProgress) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.First, b.First))
	})
	return joined
}

// gangKey identifies a gang of a job.
type gangKey struct {
	occurrence, step, first int
}

// joinedGang is what some rows record of a gang: the newest row of each slice, and the
// places of the newest attempt by the tasks' indexes.
type joinedGang struct {
	slices  map[int]record.GangProgress
	attempt int
	done    bool
	places  map[int]record.Place
}

// add adds what a newer row records of the gang. Only the places of its newest attempt
// count: no run of an earlier one is left once the next one is recorded.
func (g *joinedGang) add(gp record.GangProgress) {
	g.done = g.done || gp.Done
	g.slices[gp.Slice] = gp
	if gp.Attempt < g.attempt {
		return
	}
	if gp.Attempt > g.attempt {
		clear(g.places)
	}
	g.attempt = gp.Attempt
	for _, place := range gp.Places {
		g.places[place.Index] = place
	}
}

// progress returns all that the rows record of the gang.
func (g *joinedGang) progress(key gangKey) record.GangProgress {
	row := record.GangProgress{
		Occurrence: key.occurrence, Step: key.step, First: key.first, Attempt: g.attempt, Done: g.done,
		FailedAttempts: g.slices[0].FailedAttempts, Checkpoint: g.slices[0].Checkpoint,
	}
	for _, number := range slices.Sorted(maps.Keys(g.slices)) {
		row.Crashes = append(row.Crashes, g.slices[number].Crashes...)
		row.Losses = append(row.Losses, g.slices[number].Losses...)
	}
	row.Places = slices.SortedFunc(maps.Values(g.places), func(a, b record.Place) int { return cmp.Compare(a.Index, b.Index) })
	return row
}

// noteStoredParts records which rows of the job are stored, given the rows that were read.
// If another version has spread the job's progress differently, all parts are stored anew:
// part 0 last, since it may hold what the others do not hold yet.
func (m *Model) noteStoredParts(j *job, rows []record.Progress) {
	foreign := false
	for _, row := range rows {
		if row.Part > 0 {
			j.storedParts[row.Part] = true
		}
		foreign = foreign || row.Part >= len(j.parts)
		for _, gp := range row.Gangs {
			g := j.gang(gp.Occurrence, gp.Step, gp.First)
			foreign = foreign || g != nil && row.Part != g.part+gp.Slice
		}
	}
	if !foreign {
		return
	}
	m.setDue(m.now)
	for part := range j.parts {
		m.markPart(j, (part+1)%len(j.parts))
	}
}

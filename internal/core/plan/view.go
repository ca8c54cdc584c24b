package plan

import "time"

// passView is what one pass over the queue works out once.
type passView struct {
	// usable holds the workers that may get new work, by target.
	usable map[string][]*worker
	// few is set when there are too few good workers to be choosy.
	few bool
	// free is the accelerators that are free on usable workers, whole how many
	// of these have no run.
	free, whole int
	// urgentNeed is the accelerators of urgent jobs by team.
	urgentNeed map[string]int
	// ranks holds the ranking of each step, which its gangs share.
	ranks map[rankKey]ranked
	// preempts counts the tries to make room in the pass.
	preempts int
}

// rankKey names a step of a job.
type rankKey struct {
	job  *job
	step int
}

// refreshView works out what the next pass needs.
func (m *Model) refreshView(now time.Time) {
	v := passView{
		usable:     map[string][]*worker{},
		urgentNeed: map[string]int{},
		ranks:      map[rankKey]ranked{},
	}
	good := 0
	for _, w := range m.order {
		if !m.usable(now, w) {
			continue
		}
		v.usable[w.Target] = append(v.usable[w.Target], w)
		v.free += max(0, w.free.Accelerators)
		if len(w.runs) == 0 {
			v.whole++
		}
		if !w.slow(now) {
			good++
		}
	}
	v.few = good < len(m.order)/2
	for _, j := range m.jobs {
		if j.queue.Priority != 0 {
			continue
		}
		for _, s := range j.spec.Steps {
			v.urgentNeed[j.spec.Team] += s.Tasks * s.Need.Accelerators
		}
	}
	m.view = v
}

// rankOf returns the ranking of a gang, which it shares with those of its step.
func (m *Model) rankOf(now time.Time, g *gang) ranked {
	key := rankKey{g.job, g.step}
	r, known := m.view.ranks[key]
	if !known {
		r = m.rank(now, g)
		m.view.ranks[key] = r
	}
	r.gang = g
	return r
}

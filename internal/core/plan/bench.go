package plan

import (
	"time"
)

// benched counts a failure against the worker that reported it, and takes it
// out of use for a while when it fails one task after the other.
func (m *Model) benched(now time.Time, w *worker, job string) {
	if w.lastFail == job {
		return
	}
	w.lastFail = job
	w.failures++
	if w.failures < failuresBeforeBench {
		return
	}
	pause := min(m.timing.Bench<<min(w.benches, 3), benchLimit)
	w.benchedTo = now.Add(pause)
	w.benches++
	m.decide(WorkerBenched, nil, w, "fails what it starts")
}

const (
	// failuresBeforeBench is how many tasks in a row, of different jobs, a
	// worker may fail before it gets no more for a while.
	failuresBeforeBench = 2
	// benchLimit is the longest time a worker is kept out of use at once.
	benchLimit = 30 * time.Second
)

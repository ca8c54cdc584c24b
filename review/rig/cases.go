package main

import "time"

// cases holds the cases by name.
var cases = map[string]func(*rig) verdict{
	"wide-job":   wideJob,
	"many-ends":  manyEnds,
	"long-tasks": longTasks,
	"rare-label": rareLabel,
	"crashes":    crashes,
	// These are named in the report only.
	"near-cpu":      nearCPU,
	"route-removed": routeRemoved,
	"frozen-host":   frozenHost,
	"perpetual":     perpetual,
	"waiting":       waiting,
	"rolling-stop":  rollingStop,
}

const (
	prefix = "/lohu930/"
	// settle is how long a caller waits for a small job on an idle deployment.
	settle = 10 * time.Second
	// finish is finish_s, and still the time without a run of the rule LOST.
	finish = 14 * time.Second
	still  = 3 * time.Second
)

// wholeWorker is the need of a task that fills a worker's accelerators.
var wholeWorker = amount{CPU: 64000, Memory: 65536, GPU: 8}

// small returns a step of small tasks.
func small(count int) jobStep {
	return jobStep{amount: amount{CPU: 1000, Memory: 1024, GPU: 1}, Count: count, Estimate: 500}
}

// planned sets what the tasks of a job's only step do, and returns the step.
func (r *rig) planned(id string, step jobStep, plan taskPlan) jobStep {
	plan.need = step.amount
	r.plans.set(id, plan)
	return step
}

// addWorkers adds workers of one kind in three zones.
func (r *rig) addWorkers(count int, kind string) {
	for i := range count {
		r.addWorker("i-"+newID()[:10], "zone-"+string(rune('a'+i/4)), "r1-"+string(rune('1'+i/4)), kind,
			amount{CPU: 128000, Memory: 524288, GPU: 8})
	}
}

// smallJob hands in a small job and reports whether it is shown as completed in time.
func (r *rig) smallJob(limit time.Duration) (string, bool) {
	id := newID()
	r.submit(r.hosts[0], prefix, id, r.planned(id, small(4), taskPlan{work: 500 * time.Millisecond}))
	return id, r.completes(r.hosts[1], prefix, id, limit)
}

// expectSound ends the case unless a small job ends as it should.
func (r *rig) expectSound() {
	if _, ok := r.smallJob(settle); !ok {
		r.fatal("a small job does not end before the trouble")
	}
}

// setStoreDown makes the store answer 503 to all calls, or serve again.
func (r *rig) setStoreDown(down bool) {
	r.store.busy.Store(down)
	r.record.add("store", "answers 503 to all calls: %v", down)
}

// judgeTwice applies the rule TWICE to all runs.
func (r *rig) judgeTwice() verdict {
	found := r.runs.twice()
	for i, f := range found {
		if i < 10 {
			r.report("TWICE: %s", f)
		}
	}
	r.report("%d starts break TWICE, of %d", len(found), r.runs.count())
	if len(found) > 0 {
		return broken
	}
	return held
}

// crashes lets the worker of a task crash two times, soon after the task's start.
func crashes(r *rig) verdict {
	r.configure(1, route("r-a", prefix, 1, 3))
	r.addWorkers(8, "a")
	r.deploy(3)
	r.expectSound()
	id := newID()
	r.submit(r.hosts[0], prefix, id, r.planned(id, jobStep{amount: wholeWorker, Count: 1, Estimate: 6000}, taskPlan{work: 6 * time.Second}))
	for range 2 {
		var w *worker
		r.await(settle, "the task does not start", func() bool {
			w = r.workerOf(id)
			return w != nil
		})
		time.Sleep(time.Second)
		if r.trouble {
			w.crash()
			time.Sleep(1500 * time.Millisecond)
			w.start()
		}
	}
	state := ""
	within(30*time.Second, func() bool {
		state = r.state(r.hosts[1], prefix, id)
		time.Sleep(250 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	failed := 0
	for _, run := range r.runs.of(id) {
		if run.how == "failed" {
			failed++
		}
	}
	r.report("the job is shown as %s; %d of its %d runs ended failed, its queue allows 3", state, failed, len(r.runs.of(id)))
	if state == "failed" && failed == 0 {
		return broken
	}
	return held
}

// workerOf returns the worker that runs a task of the job now.
func (r *rig) workerOf(job string) *worker {
	for _, run := range r.runs.of(job) {
		if run.how != "" {
			continue
		}
		for _, w := range r.workers {
			if w.id == run.worker {
				return w
			}
		}
	}
	return nil
}

// longTasks submits jobs whose tasks take ten times as long as estimated.
func longTasks(r *rig) verdict {
	const (
		jobs     = 8
		estimate = 30 * time.Second
		longer   = 10
		watch    = 95 * time.Second
	)
	r.configure(1, route("r-a", prefix, 1, 3))
	r.addWorkers(8, "a")
	r.deploy(3)
	r.expectSound()
	work := estimate
	if r.trouble {
		work = longer * estimate
	}
	var ids []string
	for range jobs {
		id := newID()
		ids = append(ids, id)
		step := jobStep{amount: amount{CPU: 8000, Memory: 8192, GPU: 2}, Count: 1, Estimate: int(estimate.Milliseconds())}
		r.submit(r.hosts[0], prefix, id, r.planned(id, step, taskPlan{work: work}))
	}
	begin := time.Now()
	time.Sleep(watch)
	longest, at := r.runs.longestIdle(begin.Add(finish), time.Now())
	open := 0
	for _, id := range ids {
		state := r.state(r.hosts[1], prefix, id)
		r.report("job %s is shown as %s; its task was started %d times in %s", id, state, len(r.runs.of(id)), watch)
		if state != "completed" {
			open++
		}
	}
	r.report("%d of %d jobs are open; the longest span in which all workers are idle lasts %s, from %s after the last acceptance",
		open, jobs, longest.Round(time.Millisecond), at.Sub(begin).Round(time.Millisecond))
	if open > 0 && longest > still {
		return broken
	}
	return held
}

// wideJob submits a job with thousands of tasks, and a small one when the first has run
// for a while.
func wideJob(r *rig) verdict {
	const (
		tasks = 8000
		// until is when the small job is submitted.
		until = 45 * time.Second
	)
	r.configure(1, route("r-a", prefix, 1, 3))
	r.addWorkers(8, "a")
	r.deploy(3)
	r.expectSound()
	if r.trouble {
		id := newID()
		step := jobStep{amount: amount{CPU: 1000, Memory: 1000}, Count: tasks, Estimate: 3000, Saves: true}
		r.submit(r.hosts[0], prefix, id, r.planned(id, step, taskPlan{work: 3 * time.Second, saveEvery: 2 * time.Second}))
	}
	time.Sleep(until)
	id, ok := r.smallJob(finish + 2*still)
	if ok {
		return held
	}
	r.report("the store has rejected %d transactions", r.store.rejected.Load())
	return r.judgeLost(id)
}

// manyEnds lets more tasks end on a worker than one of its answers lists, while the
// store is down.
func manyEnds(r *rig) verdict {
	const (
		tasks = 900
		work  = 4 * time.Second
		// downAt is when the store goes down, after the first start.
		downAt = 3500 * time.Millisecond
		down   = 1200 * time.Millisecond
	)
	r.configure(1, route("r-a", prefix, 1, 3))
	r.addWorkers(6, "a")
	r.deploy(3)
	r.expectSound()
	id := newID()
	step := jobStep{amount: amount{CPU: 100, Memory: 100}, Count: tasks, Estimate: int(work.Milliseconds())}
	r.submit(r.hosts[0], prefix, id, r.planned(id, step, taskPlan{work: work}))
	r.await(settle, "not all tasks start", func() bool { return len(r.runs.of(id)) == tasks })
	if r.trouble {
		time.Sleep(time.Until(r.runs.of(id)[0].begun.Add(downAt)))
		r.setStoreDown(true)
		time.Sleep(down)
		r.setStoreDown(false)
	}
	if !r.completes(r.hosts[1], prefix, id, 40*time.Second) {
		r.report("the job is not completed in 40 s")
	}
	time.Sleep(2 * time.Second)
	return r.judgeTwice()
}

// rareLabel lets a task fail once on the only worker that has the label which it needs.
func rareLabel(r *rig) verdict {
	r.configure(1, route("r-a", prefix, 1, 4))
	r.addWorkers(7, "a")
	r.addWorkers(1, "b")
	r.deploy(3)
	r.expectSound()
	id := newID()
	step := jobStep{amount: amount{CPU: 8000, Memory: 8192, GPU: 1}, Count: 1, Estimate: 1000, Label: "b"}
	fails := func(_ string, attempt int) bool { return r.trouble && attempt == 1 }
	r.submit(r.hosts[0], prefix, id, r.planned(id, step, taskPlan{work: time.Second, fails: fails}))
	if r.completes(r.hosts[1], prefix, id, 45*time.Second) {
		return held
	}
	return r.judgeLost(id)
}

// judgeLost applies the rule LOST to a job that was handed in longer than finish ago, is
// not completed and of which a task's turn has come.
func (r *rig) judgeLost(id string) verdict {
	runs := r.runs.of(id)
	since := "it has never run"
	waits := true
	if len(runs) > 0 {
		last := runs[len(runs)-1]
		waits = last.how != "" && time.Since(last.endedAt) > still
		since = "its last run ended " + last.how + " " + time.Since(last.endedAt).Round(time.Second).String() + " ago"
	}
	used, all := r.inUse()
	r.report("job %s is shown as %s; it has %d runs, %s; all workers together run %d of the %d thousandths of a core that they have",
		id, r.state(r.hosts[1], prefix, id), len(runs), since, used, all)
	if waits && 2*used < all {
		return broken
	}
	return held
}

// inUse returns how much of all workers' processors is in use, and how much there is.
func (r *rig) inUse() (used, all int) {
	for _, w := range r.workers {
		w.mu.Lock()
		all += w.capacity.CPU
		for _, run := range w.runs {
			used += run.plan.need.CPU
		}
		w.mu.Unlock()
	}
	return used, all
}

package plan

import (
	"math"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// Each case is an attempt of a gang of two that is seen running for 6 s, of which the
// forecast without an estimate then follows. It guards against lengths that are those of a
// worker, of a fault or of a stop.
func TestRunTimesThatAreObserved(t *testing.T) {
	begin := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	end := begin.Add(6 * time.Second)
	done := func(m *Model, g *gang) { m.observeDone(end, g) }
	stopped := func(m *Model, g *gang) { m.observeCut(g) }
	for _, c := range []struct {
		name   string
		change func(g *gang)
		end    func(m *Model, g *gang)
		// want is the time that half of the tasks exceed, or that of the shortest if
		// atLeast is set; 0 if there is no observation.
		want    time.Duration
		atLeast bool
	}{
		{name: "done", end: done, want: 6 * time.Second},
		{name: "done away from its data", end: done, want: 2 * time.Second, change: func(g *gang) { g.poorLocality = true }},
		{name: "done on a slow kind of worker", end: done, want: 4800 * time.Millisecond, change: func(g *gang) {
			g.runs[1].worker.speed = speed{mean: -math.Log(1.25), count: 1000}
		}},
		{name: "done on a worker that is slow by a fault", end: done, change: func(g *gang) {
			g.runs[1].worker.slowUntil = end.Add(time.Second)
		}},
		{name: "done after a checkpoint", end: done, want: 6 * time.Second, atLeast: true, change: func(g *gang) { g.resumed = true }},
		{name: "done under a second leader", end: done, want: 6 * time.Second, atLeast: true, change: func(g *gang) {
			g.runs[0].inherited = true
		}},
		{name: "stopped", end: stopped, want: 6 * time.Second, atLeast: true},
		{name: "stopped before it was seen", end: stopped, change: func(g *gang) { g.seenRunning = time.Time{} }},
		{name: "failed", end: stopped, change: func(g *gang) { g.failedAttempts = []int{g.attempt} }},
		{name: "without an end", end: done, change: func(g *gang) { g.job.spec.Steps[0].Perpetual = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(begin, 1, DefaultTiming(), Policy{LearnRunTimes: true})
			g := observedGang(begin, end)
			if c.change != nil {
				c.change(g)
			}
			c.end(m, g)
			// Without an end that is known, a forecast needs the estimate, which
			// such a run shows to be too short.
			f := m.runTimes.model.Forecast(runTimeKey(&g.job.spec, 0), 0)
			if known := c.want > 0 && !c.atLeast; f.Known() != known {
				t.Fatalf("known %v, want %v", f.Known(), known)
			}
			if got := f.Quantile(orderQuantile); !c.atLeast && (got < c.want*95/100 || got > c.want*105/100) {
				t.Errorf("forecast %v, want %v", got, c.want)
			}
			by := m.expectedStepDuration(g.job, 0)
			if longer := by > time.Second; c.atLeast && !longer {
				t.Errorf("expected time %v, want more than the estimate", by)
			}
			off := New(begin, 1, DefaultTiming(), Policy{})
			c.end(off, g)
			if got := off.expectedStepDuration(g.job, 0); got != time.Second || len(off.cmds) > 0 || off.takeRunTimes(end) != nil {
				t.Errorf("without the policy: expected time %v, want the estimate, and no effect", got)
			}
		})
	}
}

// observedGang returns a gang of two tasks with an estimate of 1 s.
func observedGang(begin, end time.Time) *gang {
	j := &job{spec: record.Job{Queue: "long", Steps: []record.Step{{Tasks: 2, Gang: true, EstimateMillis: 1000}}}}
	g := &gang{job: j, size: 2, phase: placed, attempt: 1, allRunningAt: begin, seenRunning: end}
	for range 2 {
		g.runs = append(g.runs, &run{gang: g, attempt: 1, phase: running, worker: &worker{}})
	}
	return g
}

// Load: tasks take 2 s, and one in five takes 14 s. Each case is a gang that has run for
// some time. It guards against a long task that counts as nearly done, and so is expected
// to free its workers soon, or is spared or stopped at the wrong price.
func TestTimeLeftOfRuns(t *testing.T) {
	begin := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	m := New(begin, 1, DefaultTiming(), Policy{LearnRunTimes: true})
	for i := range 100 {
		taken := 2 * time.Second
		if i%5 == 4 {
			taken = 14 * time.Second
		}
		m.observeDone(begin.Add(taken), observedGang(begin, begin.Add(taken)))
	}
	m.cmds = nil
	for _, c := range []struct {
		name    string
		elapsed time.Duration
		change  func(g *gang)
		want    time.Duration
	}{
		{"begins", 0, nil, 2 * time.Second},
		{"has run for half of the usual time", time.Second, nil, time.Second},
		{"has outlasted the usual time", 4 * time.Second, nil, 10 * time.Second},
		{"away from its data", 3 * time.Second, func(g *gang) { g.poorLocality = true }, 3 * time.Second},
		{"has reported its progress", 4 * time.Second, func(g *gang) {
			for _, r := range g.runs {
				r.progress.percent, r.rate = 80, 20
			}
		}, time.Second},
		{"of an earlier leader has reported its progress", time.Second, func(g *gang) {
			for _, r := range g.runs {
				r.inherited, r.progress.percent, r.rate = true, 80, 80
			}
		}, time.Second},
		{"one member is slower than the others", 4 * time.Second, func(g *gang) {
			g.runs[0].progress.percent, g.runs[0].rate = 80, 20
			g.runs[1].progress.percent, g.runs[1].rate = 20, 5
		}, 16 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := begin.Add(c.elapsed)
			g := observedGang(begin, now)
			g.placedAt = begin
			if c.change != nil {
				c.change(g)
			}
			_, left := m.expectedWhole(now, g)
			end := now
			for _, r := range g.runs {
				end = later(end, m.expectedEnd(now, r))
			}
			for _, got := range []time.Duration{left, end.Sub(now)} {
				if got < c.want*9/10 || got > c.want*11/10 {
					t.Errorf("%v left, want %v", got, c.want)
				}
			}
		})
	}
	g := observedGang(begin, begin)
	if surely := m.surelyEnds(begin, g); surely.Before(begin.Add(13 * time.Second)) {
		t.Errorf("surely ends after %v, want 14 s", surely.Sub(begin))
	}
	if least := m.LeastStepDuration(&g.job.spec, 0); least > 3*time.Second {
		t.Errorf("takes at least %v, want 2 s", least)
	}
}

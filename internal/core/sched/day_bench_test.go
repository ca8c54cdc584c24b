package sched_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/proof/simul"
)

// Seeds 1 to 9 are used for tuning, so the benchmarks report on seeds from 101.
var (
	daySeeds = flag.Int("day-seeds", 1, "number of seeds to run")
	dayFirst = flag.Uint64("day-first", 101, "first seed")
	dayLoad  = flag.Float64("day-load", 1.05, "load as a fraction of capacity")
)

// BenchmarkDay simulates a month-end day of the foundry under each scheduling
// policy. A failure domain is out of service for an hour in the middle of the
// day, two workers fail all tasks, and one job in twenty is cancelled.
func BenchmarkDay(b *testing.B) {
	policies := []struct {
		name string
		run  func(simul.Day) simul.Report
	}{
		{"ours", func(d simul.Day) simul.Report { return simul.Run(d, block.BestFit{}, true) }},
		{"ours-worst-fit", func(d simul.Day) simul.Report { return simul.Run(d, block.WorstFit{}, true) }},
		{"fifo-first-fit", func(d simul.Day) simul.Report {
			return simul.Run(d, block.FirstFit{}, false, sched.WithoutReclaim(), sched.WithoutClasses())
		}},
		{"worst-fit-spread", func(d simul.Day) simul.Report {
			return simul.Run(d, block.WorstFit{}, false, sched.WithoutReclaim(), sched.WithoutClasses())
		}},
		{"priority-no-backfill", func(d simul.Day) simul.Report {
			return simul.Run(d, block.FirstFit{}, false, sched.WithoutReclaim(), sched.WithoutBackfill())
		}},
	}
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				reportDays(b, p.run)
			}
		})
	}
}

func reportDays(b *testing.B, run func(simul.Day) simul.Report) {
	b.Helper()
	sum := map[string]float64{}
	for i := range *daySeeds {
		r := run(simul.Day{
			Seed: *dayFirst + uint64(i), Load: *dayLoad, Hours: 8, Workers: 50,
			DomainOut: true, FailingWorkers: 2, CancelledShare: 0.05,
		})
		if r.Ended != r.Jobs {
			b.Errorf("%d of %d jobs ended", r.Ended, r.Jobs)
		}
		for name, value := range metricsOf(r) {
			sum[name] += value / float64(*daySeeds)
		}
	}
	for name, value := range sum {
		b.ReportMetric(value, name)
	}
}

func metricsOf(r simul.Report) map[string]float64 {
	seconds := func(d time.Duration) float64 { return d.Seconds() }
	return map[string]float64{
		"urgent-mean-s":    seconds(r.Urgent.Mean),
		"urgent-floor-s":   seconds(r.UrgentRunTime),
		"urgent-p50-s":     seconds(r.Urgent.P50),
		"urgent-p99-s":     seconds(r.Urgent.P99),
		"patient-mean-s":   seconds(r.Patient.Mean),
		"patient-p50-s":    seconds(r.Patient.P50),
		"patient-p99-s":    seconds(r.Patient.P99),
		"worst-gang-s":     seconds(r.MaxGangWait),
		"stranded-%":       100 * r.Stranded,
		"work-in-change-%": 100 * r.UseInOutage,
		"reruns":           float64(r.Reruns),
		"jobs":             float64(r.Jobs),
	}
}

// ExampleNew shows what a new owner does first: it asks the workers which tasks
// they have.
func ExampleNew() {
	m := sched.New(sched.Shard{Name: "halls", Epoch: 3}, block.BestFit{}, sched.DefaultTiming())
	m, _ = m.Update(start, sched.WorkersMsg{Workers: workersOf(1)})
	_, cmds := m.Update(start, sched.TickMsg{})
	for _, cmd := range cmds {
		if call, ok := cmd.(sched.CallWorkerCmd); ok {
			fmt.Println(call.Worker, call.Call.Verb, call.Call.Epoch)
		}
	}
	// Output: worker-00 sync 3
}

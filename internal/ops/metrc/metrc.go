// Package metrc defines the metrics of a host, with one struct for each part of
// it.
package metrc

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Store holds the metrics of the client of the platform's store. Latency leaves out
// failed calls, and calls that the store was asked to hold until a change.
type Store struct {
	Reads  *metrics.Counter
	Writes *metrics.Counter
	// RowsWritten counts the rows that writes put or removed.
	RowsWritten *metrics.Counter
	// Failures counts calls that were refused or not answered, and may be retried.
	Failures *metrics.Counter
	// RepeatedReads and RepeatedWrites count those of Reads and Writes that were sent
	// because the answer to an earlier one of the same call was late or failed.
	RepeatedReads  *metrics.Counter
	RepeatedWrites *metrics.Counter
	Latency        *metrics.Histogram
}

func newStore(counter func(string) *metrics.Counter, histogram func(string) *metrics.Histogram) Store {
	return Store{
		Reads:          counter("store_reads_total"),
		Writes:         counter("store_writes_total"),
		RowsWritten:    counter("store_rows_written_total"),
		Failures:       counter("store_failures_total"),
		RepeatedReads:  counter("store_repeated_reads_total"),
		RepeatedWrites: counter("store_repeated_writes_total"),
		Latency:        histogram("store_seconds"),
	}
}

// Route holds the metrics of request routing. Answered, NotRun and Unknown count
// requests by the outcome that the caller was given.
type Route struct {
	Answered   *metrics.Counter
	NotRun     *metrics.Counter
	Unknown    *metrics.Counter
	Dispatched *metrics.Counter
	Retried    *metrics.Counter
	// Repeated counts the answers that repeat the recorded outcome of an earlier
	// request with the same identifier.
	Repeated *metrics.Counter
	// Latency is that of answered requests.
	Latency *metrics.Histogram
}

// Sched holds the metrics of scheduling in the shards that a host owns.
type Sched struct {
	Placed      *metrics.Counter
	Started     *metrics.Counter
	Ended       *metrics.Counter
	Reclaimed   *metrics.Counter
	Broken      *metrics.Counter
	WorkerCalls *metrics.Counter
	// StartDelay is the time from a job's submission until a run of it has
	// started, for each run.
	StartDelay *metrics.Histogram
}

// Fleet holds the metrics of a host that schedules a platform's workers.
// Accepted, Refused and Unknown count submissions by outcome.
type Fleet struct {
	Store    Store
	Accepted *metrics.Counter
	Refused  *metrics.Counter
	// Unknown counts submissions of which it is not known whether they were stored.
	Unknown *metrics.Counter
	// RefusedLate and RefusedShare count submissions refused for load: since the job
	// would end too late, or since its team is above its share. WithoutDigest counts
	// those decided without a current digest of the load.
	RefusedLate   *metrics.Counter
	RefusedShare  *metrics.Counter
	WithoutDigest *metrics.Counter
	Cancelled     *metrics.Counter
	// Tombstones counts the rows written for cancelled jobs that are not stored, and
	// CancelsRefused the cancellations of such jobs that were refused, since there were too
	// many.
	Tombstones     *metrics.Counter
	CancelsRefused *metrics.Counter
	SubmitLatency  *metrics.Histogram
	Takeovers      *metrics.Counter
	Placed         *metrics.Counter
	Preempted      *metrics.Counter
	Broken         *metrics.Counter
	JobsEnded      *metrics.Counter
	// Avoided counts avoidances of workers, Tried those that came to a trial, and Trusted
	// the workers that got all work again. Held counts last attempts that had to wait.
	Avoided *metrics.Counter
	Tried   *metrics.Counter
	Trusted *metrics.Counter
	Held    *metrics.Counter
	// Withheld counts silent workers that get no lease until they answer.
	Withheld *metrics.Counter
	// StartDelay is the time from a job's acceptance until its first gang runs.
	StartDelay *metrics.Histogram
	// LogsDropped counts log lines dropped because the log was not written fast
	// enough.
	LogsDropped *metrics.Counter
	// Teams holds what teams with a limit or a weight use.
	Teams Teams
	// Targets holds the fragmentation of targets for which tasks wait.
	Targets Targets
	// Callers, Ready and Peers hold the metrics of the listeners.
	Callers, Ready, Peers *Listener
	set                   *metrics.Set
}

// NewFleet returns metrics in a set of their own, so that several hosts can run
// in one process.
func NewFleet() *Fleet {
	s := metrics.NewSet()
	counter := func(name string) *metrics.Counter { return s.NewCounter("rattanshore_" + name) }
	histogram := func(name string) *metrics.Histogram { return s.NewHistogram("rattanshore_" + name) }
	return &Fleet{
		Store:          newStore(counter, histogram),
		Accepted:       counter(`submissions_total{outcome="accepted"}`),
		Refused:        counter(`submissions_total{outcome="refused"}`),
		Unknown:        counter(`submissions_total{outcome="open"}`),
		RefusedLate:    counter(`admission_refusals_total{reason="late"}`),
		RefusedShare:   counter(`admission_refusals_total{reason="share"}`),
		WithoutDigest:  counter("admissions_without_digest_total"),
		Cancelled:      counter("cancellations_total"),
		Tombstones:     counter("tombstones_total"),
		CancelsRefused: counter("cancellations_refused_total"),
		SubmitLatency:  histogram("submission_seconds"),
		Takeovers:      counter("takeovers_total"),
		Placed:         counter("gang_placements_total"),
		Preempted:      counter("gang_preemptions_total"),
		Broken:         counter("gang_breaks_total"),
		JobsEnded:      counter("jobs_ended_total"),
		Avoided:        counter("worker_avoidances_total"),
		Tried:          counter("worker_trials_total"),
		Trusted:        counter("worker_recoveries_total"),
		Held:           counter("last_attempts_held_total"),
		Withheld:       counter("workers_withheld_total"),
		StartDelay:     histogram("job_start_delay_seconds"),
		LogsDropped:    counter("log_lines_dropped_total"),
		Callers:        newListener(s, "callers"),
		Ready:          newListener(s, "ready"),
		Peers:          newListener(s, "peers"),
		set:            s,
	}
}

// RunTimeRatio returns the histogram of the ratio of actual to expected run time in the
// queue.
func (f *Fleet) RunTimeRatio(queue string) *metrics.Histogram {
	return f.set.GetOrCreateHistogram(fmt.Sprintf("rattanshore_run_time_ratio{queue=%q}", queue))
}

// Write writes the metrics, including those of the process, in the Prometheus
// text format.
func (f *Fleet) Write(w io.Writer) {
	f.set.WritePrometheus(w)
	f.Teams.write(w)
	f.Targets.write(w)
	metrics.WriteProcessMetrics(w)
}

// Entry holds the metrics of an entry host.
type Entry struct {
	Store Store
	Route Route
	Sched Sched
	// Callers, Operators and Peers hold the metrics of the listeners.
	Callers, Operators, Peers *Listener
	set                       *metrics.Set
}

// NewEntry returns metrics in a set of their own, so that several hosts can run in
// one process.
func NewEntry() *Entry {
	s := metrics.NewSet()
	counter := func(name string) *metrics.Counter { return s.NewCounter("rattanshore_" + name) }
	histogram := func(name string) *metrics.Histogram { return s.NewHistogram("rattanshore_" + name) }
	outcome := func(name string) *metrics.Counter {
		return counter(fmt.Sprintf("requests_total{outcome=%q}", name))
	}
	return &Entry{
		set:       s,
		Callers:   newListener(s, "callers"),
		Operators: newListener(s, "operators"),
		Peers:     newListener(s, "peers"),
		Store:     newStore(counter, histogram),
		Route: Route{
			Answered:   outcome("answered"),
			NotRun:     outcome("not-run"),
			Unknown:    outcome("unknown"),
			Dispatched: counter("dispatches_total"),
			Retried:    counter("retries_total"),
			Repeated:   counter("repeats_total"),
			Latency:    histogram("request_seconds"),
		},
		Sched: Sched{
			Placed:      counter("placements_total"),
			Started:     counter("starts_total"),
			Ended:       counter("ends_total"),
			Reclaimed:   counter("reclaims_total"),
			Broken:      counter("broken_runs_total"),
			WorkerCalls: counter("worker_calls_total"),
			StartDelay:  histogram("start_delay_seconds"),
		},
	}
}

// Gauges holds the values of an entry host that are computed each time the metrics are
// written.
type Gauges struct {
	StoreUp       func() float64
	ShardsOwned   func() float64
	ConfigVersion func() float64
}

// SetGauges adds the gauges. It must be called at most once.
func (e *Entry) SetGauges(g Gauges) {
	e.set.NewGauge("rattanshore_store_up", g.StoreUp)
	e.set.NewGauge("rattanshore_shards_owned", g.ShardsOwned)
	e.set.NewGauge("rattanshore_config_version", g.ConfigVersion)
}

// Write writes the metrics, including those of the process, in the Prometheus
// text format.
func (e *Entry) Write(w io.Writer) {
	e.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

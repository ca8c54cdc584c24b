package inproc

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/fakes/site"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Workload describes a cluster, its configuration, and the jobs, requests and
// operator commands to run on it.
type Workload struct {
	Layout site.Layout
	// Hosts is the number of entry hosts.
	Hosts int
	// Document is the first configuration.
	Document schema.ConfigDocument
	// Jobs are submitted in order, a short time apart.
	Jobs []schema.JobSpec
	// Requests are sent while the jobs run.
	Requests []schema.CallRequest
	// RequestTimeout is the time from the sending of a request to its deadline.
	RequestTimeout time.Duration
	// DomainOut is a failure domain that is taken out of service and put back.
	// If empty, none is.
	DomainOut string
	// Cancel is the identifier of a job that is cancelled. If empty, none is.
	Cancel string
}

const (
	// runTimeout is the longest time that a workload may take.
	runTimeout = 28 * time.Second
	// maxInFlight is the largest number of requests in flight at a time.
	maxInFlight = 8
	// outageDuration is how long the failure domain stays out of service, and
	// also the time before it is taken out.
	outageDuration = 1500 * time.Millisecond
)

// stats holds the outcomes and durations of one kind of job or request.
type stats struct {
	submitted, answered, refused, unknown int
	durations                             []time.Duration
}

// runner runs a workload.
type runner struct {
	workload Workload
	cluster  *Cluster
	caller   *Caller
	log      *DecisionLog
	out      io.Writer

	mu    sync.Mutex
	stats map[string]*stats
}

// Run runs a workload on a new cluster and writes the scheduler's decisions and
// a table of outcomes to out. It returns an error if a promise was broken or a
// job did not end.
func Run(ctx context.Context, workload Workload, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	log := NewDecisionLog(out)
	cluster, err := New(workload.Layout, workload.Hosts, log, nil)
	if err != nil {
		return err
	}
	r := &runner{workload: workload, cluster: cluster, caller: &Caller{Key: Key}, log: log, out: out, stats: map[string]*stats{}}
	runErr := r.run(ctx)
	cluster.Close()
	r.printTable()
	return errors.CombineErrors(runErr, r.checkPromises())
}

func (r *runner) callerEndpoint(i int) Endpoint {
	m := r.cluster.Hosts[i%len(r.cluster.Hosts)]
	return Endpoint{Host: m.ID, Address: m.Callers()}
}

func (r *runner) operatorEndpoint(i int) Endpoint {
	m := r.cluster.Hosts[i%len(r.cluster.Hosts)]
	return Endpoint{Host: m.ID, Address: m.Operators()}
}

func (r *runner) run(ctx context.Context) error {
	if err := Configure(ctx, r.caller, r.operatorEndpoint(0), r.workload.Document); err != nil {
		return err
	}
	for i := range r.cluster.Hosts {
		if err := r.caller.Ready(ctx, r.callerEndpoint(i)); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	failures := make(chan error, len(r.workload.Jobs)+2)
	wg.Go(func() { r.sendRequests(ctx) })
	for i, spec := range r.workload.Jobs {
		wg.Go(func() { failures <- r.runJob(ctx, i, spec) })
	}
	wg.Go(func() { failures <- r.cancelJob(ctx) })
	wg.Go(func() { failures <- r.runOutage(ctx) })
	wg.Wait()
	close(failures)
	var all error
	for err := range failures {
		all = errors.CombineErrors(all, err)
	}
	return all
}

// Configure sets the first configuration. It retries until the entry hosts know
// enough workers for the guarantees.
func Configure(ctx context.Context, caller *Caller, to Endpoint, document schema.ConfigDocument) error {
	for {
		_, err := caller.SetConfig(ctx, to, schema.ConfigChange{Document: document, By: "desk"})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// count adds the result of a job or request to the stats of its kind.
func (r *runner) count(kind string, result Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats[kind]
	if s == nil {
		s = &stats{}
		r.stats[kind] = s
	}
	s.submitted++
	switch result.Outcome {
	case check.Answered:
		s.answered++
		s.durations = append(s.durations, took)
	case check.NotRun:
		s.refused++
	case check.Unknown, check.NoAnswer:
		s.unknown++
	}
}

func (r *runner) sendRequests(ctx context.Context) {
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	for i, request := range r.workload.Requests {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			request.Deadline = time.Now().Add(r.workload.RequestTimeout)
			begin := time.Now()
			result := r.caller.Call(ctx, r.callerEndpoint(i), request)
			r.count(request.Kind, result, time.Since(begin))
		})
	}
	wg.Wait()
}

// runJob submits the job with index i, waits until it ends and counts it.
func (r *runner) runJob(ctx context.Context, i int, spec schema.JobSpec) error {
	time.Sleep(time.Duration(i) * pollInterval / 2)
	begin := time.Now()
	result := r.caller.Submit(ctx, r.callerEndpoint(i), spec)
	if result.Outcome != check.Answered {
		r.count(spec.Kind, result, 0)
		return nil
	}
	job, err := r.caller.WaitJob(ctx, r.callerEndpoint(i), spec.ID, Ended)
	if err != nil {
		return err
	}
	switch job.State {
	case schema.Done, schema.Cancelled:
	case schema.Refused:
		result.Outcome = check.NotRun
	default:
		result.Outcome = check.Unknown
	}
	r.count(spec.Kind, result, time.Since(begin))
	return nil
}

// cancelJob cancels the workload's Cancel job as soon as an entry host knows it.
func (r *runner) cancelJob(ctx context.Context) error {
	if r.workload.Cancel == "" {
		return nil
	}
	_, err := r.caller.WaitJob(ctx, r.callerEndpoint(0), r.workload.Cancel, func(j schema.JobStatus) bool { return j.State != "" })
	if err != nil {
		return err
	}
	return r.caller.Cancel(ctx, r.callerEndpoint(1), r.workload.Cancel)
}

// runOutage takes the failure domain out of service and puts it back, each
// through another entry host.
func (r *runner) runOutage(ctx context.Context) error {
	if r.workload.DomainOut == "" {
		return nil
	}
	time.Sleep(outageDuration)
	if _, err := r.caller.SetDomain(ctx, r.operatorEndpoint(1), r.workload.DomainOut, false); err != nil {
		return err
	}
	time.Sleep(outageDuration)
	_, err := r.caller.SetDomain(ctx, r.operatorEndpoint(2), r.workload.DomainOut, true)
	return err
}

func (r *runner) printTable() {
	_, _ = fmt.Fprintln(r.out)
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "kind\tsubmitted\tanswered\trefused\tunknown\tmean\tworst")
	kinds := make([]string, 0, len(r.stats))
	for kind := range r.stats {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		s := r.stats[kind]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", kind,
			s.submitted, s.answered, s.refused, s.unknown, mean(s.durations), longest(s.durations))
	}
	_ = table.Flush()
}

func mean(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, d := range durations {
		total += d
	}
	return (total / time.Duration(len(durations))).Round(time.Millisecond)
}

func longest(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return slices.Max(durations).Round(time.Millisecond)
}

// checkPromises checks the recorded history against all promises.
func (r *runner) checkPromises() error {
	history := slices.Concat(r.caller.History(), r.cluster.Site.Faults.History(), r.log.History())
	violations := check.Check(history, check.DefaultBounds())
	if len(violations) == 0 {
		_, _ = fmt.Fprintf(r.out, "all %d promises held over %d records\n", len(check.Promises()), len(history))
		return nil
	}
	lines := make([]string, len(violations))
	for i, v := range violations {
		lines[i] = v.String()
	}
	return errors.Newf("broken promises:\n%s", strings.Join(lines, "\n"))
}

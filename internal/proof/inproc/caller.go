package inproc

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/edge/peers"
	"github.com/rattanshore/rattanshore/internal/fakes/target"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Caller calls entry hosts as callers and operators do, and keeps a history of
// its calls and their outcomes.
type Caller struct {
	Key string

	attempts atomic.Int64
	mu       sync.Mutex
	history  []check.Record
}

// Record adds a record to the history. A record without a time gets the current
// one.
func (c *Caller) Record(r check.Record) {
	if r.At.IsZero() {
		r.At = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, r)
}

// History returns a copy of the records so far.
func (c *Caller) History() []check.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]check.Record(nil), c.history...)
}

// Endpoint is a listener of an entry host.
type Endpoint struct {
	Host    string
	Address netip.AddrPort
}

func (c *Caller) client(address netip.AddrPort) (*schema.ClientWithResponses, error) {
	return schema.NewClientWithResponses("http://"+address.String(),
		schema.WithRequestEditorFn(func(_ context.Context, r *http.Request) error {
			r.Header.Set(peers.KeyHeader, c.Key)
			return nil
		}))
}

// Result is the result of a call. Reply is set for an answered request, Job for
// an accepted job, Error if the call failed.
type Result struct {
	Outcome check.Outcome
	Reply   schema.CallReply
	Job     schema.JobStatus
	Error   schema.Error
}

// Call sends a request, and records the sending and the outcome. A request that
// may have run before is sent as a repeat.
func (c *Caller) Call(ctx context.Context, to Endpoint, request schema.CallRequest) Result {
	attempt := fmt.Sprint(c.attempts.Add(1))
	request.Repeat = request.Repeat || c.mayHaveRun(request.ID)
	c.Record(check.Record{Kind: check.CallSent, Who: to.Host, Request: request.ID, NonIdempotent: request.NonIdempotent, Detail: attempt})
	result := c.call(ctx, to, request)
	want := target.ExpectedReply(plat.TargetCall{ID: request.ID, Kind: request.Kind, Body: request.Body})
	c.Record(check.Record{
		Kind: check.CallEnded, Who: to.Host, Request: request.ID, Detail: attempt, Outcome: result.Outcome,
		Body: want, Reply: result.Reply.Body, Problem: result.Error.Message, ComeBackAt: result.Error.ComeBackAt, Deadline: request.Deadline,
	})
	return result
}

// mayHaveRun reports whether an earlier call with the identifier had any outcome
// other than not-run.
func (c *Caller) mayHaveRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.history {
		if r.Kind == check.CallEnded && r.Request == id && r.Outcome != check.NotRun {
			return true
		}
	}
	return false
}

func (c *Caller) call(ctx context.Context, to Endpoint, request schema.CallRequest) Result {
	client, err := c.client(to.Address)
	if err != nil {
		return Result{Outcome: check.NoAnswer}
	}
	var trace callTrace
	response, err := client.CallWithResponse(trace.withTrace(ctx), request)
	switch {
	case err != nil:
		return noAnswer(errors.Wrapf(err, "after %s", trace.String()))
	case response.JSON200 != nil:
		return Result{Outcome: check.Answered, Reply: *response.JSON200}
	case response.JSONDefault != nil:
		return errorResult(*response.JSONDefault)
	default:
		return Result{Outcome: check.NoAnswer}
	}
}

// noAnswer returns the result of a call without an answer: NotRun if the
// connection could not be opened, so that nothing was sent, and NoAnswer
// otherwise.
func noAnswer(err error) Result {
	result := Result{Outcome: check.NoAnswer, Error: schema.Error{Message: err.Error()}}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		result.Outcome = check.NotRun
	}
	return result
}

// errorResult returns the result of a call that was answered with an error. Each
// code but outcome-unknown means that nothing ran.
func errorResult(e schema.Error) Result {
	if e.Code == schema.OutcomeUnknown {
		return Result{Outcome: check.Unknown, Error: e}
	}
	return Result{Outcome: check.NotRun, Error: e}
}

// Submit submits a job, and records the sending and the outcome.
func (c *Caller) Submit(ctx context.Context, to Endpoint, spec schema.JobSpec) Result {
	attempt := fmt.Sprint(c.attempts.Add(1))
	c.Record(check.Record{
		Kind: check.CallSent, Who: to.Host, Job: spec.ID, NonIdempotent: spec.NonIdempotent,
		Tasks: spec.Tasks, Accelerators: spec.Accelerators, Detail: attempt,
	})
	result := c.submit(ctx, to, spec)
	c.Record(check.Record{Kind: check.CallEnded, Who: to.Host, Job: spec.ID, Detail: attempt, Outcome: result.Outcome, ComeBackAt: result.Error.ComeBackAt})
	return result
}

func (c *Caller) submit(ctx context.Context, to Endpoint, spec schema.JobSpec) Result {
	client, err := c.client(to.Address)
	if err != nil {
		return Result{Outcome: check.NoAnswer}
	}
	response, err := client.SubmitJobWithResponse(ctx, spec)
	switch {
	case err != nil:
		return noAnswer(err)
	case response.JSON200 != nil:
		return Result{Outcome: check.Answered, Job: *response.JSON200}
	case response.JSONDefault != nil:
		return errorResult(*response.JSONDefault)
	default:
		return Result{Outcome: check.NoAnswer}
	}
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, to Endpoint, id string) error {
	client, err := c.client(to.Address)
	if err != nil {
		return err
	}
	response, err := client.CancelJobWithResponse(ctx, id)
	if err != nil {
		return err
	}
	if response.JSON200 == nil {
		return errors.Newf("cancel %s: %s", id, response.Body)
	}
	return nil
}

// Job returns the status of a job.
func (c *Caller) Job(ctx context.Context, to Endpoint, id string) (schema.JobStatus, error) {
	client, err := c.client(to.Address)
	if err != nil {
		return schema.JobStatus{}, err
	}
	response, err := client.GetJobWithResponse(ctx, id)
	if err != nil {
		return schema.JobStatus{}, err
	}
	if response.JSON200 == nil {
		return schema.JobStatus{}, errors.Newf("job %s: %s", id, response.Body)
	}
	return *response.JSON200, nil
}

// Explain returns the explanation of a job's state.
func (c *Caller) Explain(ctx context.Context, to Endpoint, id string) (string, error) {
	client, err := c.client(to.Address)
	if err != nil {
		return "", err
	}
	response, err := client.ExplainJobWithResponse(ctx, id)
	if err != nil {
		return "", err
	}
	return string(response.Body), nil
}

// pollInterval is the time between two attempts when waiting for a job, a host
// or the first configuration.
const pollInterval = 50 * time.Millisecond

// WaitJob polls a job until done returns true for it.
func (c *Caller) WaitJob(ctx context.Context, to Endpoint, id string, done func(schema.JobStatus) bool) (schema.JobStatus, error) {
	for {
		job, err := c.Job(ctx, to, id)
		if err == nil && done(job) {
			return job, nil
		}
		select {
		case <-ctx.Done():
			return job, errors.Wrapf(ctx.Err(), "job %s is %s (%s)", id, job.State, job.Reason)
		case <-time.After(pollInterval):
		}
	}
}

// Ended reports whether a job has ended.
func Ended(job schema.JobStatus) bool {
	return job.State != schema.Waiting && job.State != schema.Running
}

// SetConfig changes the configuration and records the acknowledgement.
func (c *Caller) SetConfig(ctx context.Context, to Endpoint, change schema.ConfigChange) (schema.ConfigVersion, error) {
	client, err := c.client(to.Address)
	if err != nil {
		return schema.ConfigVersion{}, err
	}
	response, err := client.SetConfigWithResponse(ctx, change)
	if err != nil {
		return schema.ConfigVersion{}, err
	}
	if response.JSON200 == nil {
		return schema.ConfigVersion{}, errors.Newf("set configuration: %s", response.Body)
	}
	c.Record(check.Record{Kind: check.CommandAcknowledged, Who: to.Host, Version: response.JSON200.Version})
	return *response.JSON200, nil
}

// SetDomain takes a failure domain out of service or puts it back, and records
// the acknowledgement.
func (c *Caller) SetDomain(ctx context.Context, to Endpoint, domain string, inService bool) (schema.DomainStatus, error) {
	client, err := c.client(to.Address)
	if err != nil {
		return schema.DomainStatus{}, err
	}
	response, err := client.SetDomainWithResponse(ctx, domain, schema.DomainChange{InService: inService})
	if err != nil {
		return schema.DomainStatus{}, err
	}
	if response.JSON200 == nil {
		return schema.DomainStatus{}, errors.Newf("set failure domain %s: %s", domain, response.Body)
	}
	c.Record(check.Record{Kind: check.CommandAcknowledged, Who: to.Host, Domain: domain, InService: inService, Version: response.JSON200.Epoch})
	return *response.JSON200, nil
}

// Ready waits until the host at the endpoint accepts calls.
func (c *Caller) Ready(ctx context.Context, to Endpoint) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.Address.String()+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "host %s is not ready", to.Host)
		case <-time.After(pollInterval):
		}
	}
}

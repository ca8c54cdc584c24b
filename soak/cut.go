package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rattanshore/rattanshore/internal/wire/record"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// longTask is how long the tasks of RunOutage take: longer than the outage, so that every
// run that ends early has lost its lease or was stopped.
const longTask = 30 * time.Second

// Outage is a partition or an outage of the store. It starts once tasks run everywhere.
type Outage int

const (
	// LeaderCut cuts the leader's host and half of the workers off from the store and from
	// the rest.
	LeaderCut Outage = iota
	// StoreSilent has the store answer nobody.
	StoreSilent
)

// errNotRunning means that the tasks of RunOutage did not start.
var errNotRunning = errors.New("tasks did not start in time")

// RunOutage runs as many tasks as there are workers on half of them, injects an outage for
// the given time, and returns the workers' problems and how many tasks have nothing
// running at the end.
func RunOutage(ctx context.Context, o Options, kind Outage, length time.Duration) (problems []string, lost int, err error) {
	r, err := newRun(o, longTask)
	if err != nil {
		return nil, 0, err
	}
	defer r.platform.Close()
	if err := r.startHosts(); err != nil {
		return nil, 0, err
	}
	defer r.stopHosts()
	if err := r.startTasks(ctx); err != nil {
		return nil, 0, err
	}
	// The leader finds its witnesses meanwhile.
	time.Sleep(4 * time.Second)
	if err := r.beginOutage(kind); err != nil {
		return nil, 0, err
	}
	time.Sleep(length)
	r.platform.WithLock(func() {
		problems = r.platform.Pool.Problems()
		lost = o.Workers - r.running()
	})
	return problems, lost, nil
}

// running returns the number of runs. The caller holds the platform's lock.
func (r *run) running() int {
	n := 0
	for _, id := range r.platform.Pool.IDs() {
		n += r.platform.Pool.Worker(id).Running()
	}
	return n
}

// startTasks submits a job of tasks that take half a worker each, and waits until all run.
func (r *run) startTasks(ctx context.Context) error {
	job := record.Job{ID: "00000000000000aa", Team: team, Payload: "bell", Steps: []record.Step{{
		Tasks: r.options.Workers, EstimateMillis: longTask.Milliseconds(),
		Need: record.Amount{MilliCores: 1000, Accelerators: acceleratorsPerWorker / 2},
	}}}
	r.platform.RegisterJob(job)
	running := 0
	for end := time.Now().Add(probeTimeout); time.Now().Before(end) && running < r.options.Workers; {
		_, _ = r.caller.Call(ctx, r.hosts[0].callers, http.MethodPost, job.ID, fake.Submission(job), callTimeout)
		time.Sleep(100 * time.Millisecond)
		r.platform.WithLock(func() { running = r.running() })
	}
	if running < r.options.Workers {
		return errors.Wrapf(errNotRunning, "%d of %d", running, r.options.Workers)
	}
	return nil
}

// beginOutage injects the outage.
func (r *run) beginOutage(kind Outage) error {
	if kind == StoreSilent {
		r.platform.Store.SetFaults(fake.StoreFaults{Silent: true})
		return nil
	}
	var leader record.Leader
	if err := cbor.Unmarshal(r.platform.Store.Rows("lead")["planner"], &leader); err != nil {
		return errors.Wrap(err, "read the leader row")
	}
	for _, h := range r.hosts {
		if h.name == leader.Host {
			h.link.setMode(linkBlackhole)
		}
	}
	for i := range r.options.Workers {
		withLeader := i%2 == 0
		r.platform.SetReach(fmt.Sprintf("i-%04d", i), func(epoch int64) bool { return (epoch <= leader.Epoch) == withLeader })
	}
	return nil
}

package worker

import (
	"net/http"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/fakes/faults"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
)

// advanceInterval is how often a worker checks for expired leases and ended tasks.
const advanceInterval = 10 * time.Millisecond

// Worker serves a worker's state machine over HTTP, subject to injected faults.
type Worker struct {
	id       string
	injector *faults.Injector

	mu      sync.Mutex
	machine *StateMachine
	changed chan struct{}
}

// New returns a worker without tasks. With rejectStale it refuses stale epochs
// and expired deadlines.
func New(host plat.Host, injector *faults.Injector, rejectStale bool) *Worker {
	return &Worker{
		id:       host.ID,
		injector: injector,
		machine:  NewStateMachine(host, rejectStale, injector.Record),
		changed:  make(chan struct{}),
	}
}

// Handler serves the worker's calls.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /worker", faults.Handle(w.injector, w.id, w.serve))
	return mux
}

// Run ends tasks that have run for their duration or whose lease has expired,
// until stop is closed.
func (w *Worker) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.advance()
		}
	}
}

// Kill ends all tasks and forgets them, as a power failure does.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.Kill(time.Now())
}

// advance passes the fault FailTasks and the current time to the state machine.
func (w *Worker) advance() {
	_, failing := w.injector.Match(faults.FailTasks, w.id, "")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.Failing = failing
	if w.machine.Advance(time.Now()) {
		w.notifyWaiters()
	}
}

// notifyWaiters answers the calls that wait for a task to end.
func (w *Worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) serve(r *http.Request, call plat.WorkerCall) plat.WorkerReply {
	w.mu.Lock()
	reply := w.machine.Call(time.Now(), call)
	changed := w.changed
	wait := call.Verb == plat.Sync && reply.Accepted && !w.machine.AnyTaskEnded(call)
	if call.Verb == plat.Stop || call.Verb == plat.Checkpoint {
		w.notifyWaiters()
	}
	w.mu.Unlock()
	if !wait {
		return reply
	}
	waitForEnd(r, changed, call.WaitUntil)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Answer(call)
}

func waitForEnd(r *http.Request, changed <-chan struct{}, until time.Time) {
	left := time.Until(until)
	if until.IsZero() || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-changed:
	case <-timer.C:
	}
}

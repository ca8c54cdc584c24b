// Package check tests recorded histories against the promises in
// docs/PROMISES.md. A history holds the answers that callers received, and the
// events on workers, on targets and in the store.
package check

import "time"

// Kind is the kind of event that a record describes.
type Kind string

// The kinds of record.
const (
	// TaskStarted and TaskEnded: a task started or ended on a worker.
	TaskStarted Kind = "task-started"
	TaskEnded   Kind = "task-ended"
	// RequestRan: a target started to run a request.
	RequestRan Kind = "request-ran"
	// RequestRefused: a target refused a request without running it.
	RequestRefused Kind = "request-refused"
	// RowWritten: a transaction wrote a row of the store.
	RowWritten Kind = "row-written"
	// HostLeaving: the host list marks a worker or target as leaving.
	HostLeaving Kind = "host-leaving"
	// CallSent and CallEnded: a caller sent a request or a job, and received
	// its outcome.
	CallSent  Kind = "caller-sent"
	CallEnded Kind = "caller-told"
	// CommandAcknowledged: an operator's command was acknowledged.
	CommandAcknowledged Kind = "operator-told"
	// ProcessStopped: an entry host that was asked to stop has exited. Detail
	// is empty if it exited cleanly.
	ProcessStopped Kind = "process-stopped"
	// GuaranteeRequested: a team submitted a job within its guarantee, so that all
	// its tasks must have started by Deadline.
	GuaranteeRequested Kind = "guarantee-asked"
	// ConfigInForce: an entry host reported the configuration version it uses.
	ConfigInForce Kind = "config-in-force"
)

// Outcome is the outcome of a request or job, as its caller received it.
type Outcome string

// The outcomes of a request or job.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	// NoAnswer: the connection ended without an answer.
	NoAnswer Outcome = "cut"
)

// Record is one event of a history. Fields that do not apply are empty.
//
// Who is the host concerned: the worker or target that ran, refused or is
// leaving, or the entry host that was called, wrote or stopped. In ConfigInForce
// it is the entry host and the part of it that uses the configuration. Detail
// identifies the attempt in CallSent and CallEnded, and describes how a task
// ended in TaskEnded. In CallEnded, Body is the expected answer and Reply the actual
// one; in RowWritten, Body is the row's content.
type Record struct {
	At            time.Time `json:"at"`
	Kind          Kind      `json:"kind"`
	Who           string    `json:"who,omitempty"`
	Domain        string    `json:"domain,omitempty"`
	Job           string    `json:"job,omitempty"`
	Run           int       `json:"run,omitempty"`
	Task          int       `json:"task,omitempty"`
	Tasks         int       `json:"tasks,omitempty"`
	Accelerators  int       `json:"accelerators,omitempty"`
	Detail        string    `json:"detail,omitempty"`
	Request       string    `json:"request,omitempty"`
	NonIdempotent bool      `json:"non-idempotent,omitempty"`
	Outcome       Outcome   `json:"outcome,omitempty"`
	Body          string    `json:"body,omitempty"`
	Reply         string    `json:"reply,omitempty"`
	Problem       string    `json:"problem,omitempty"`
	ComeBackAt    time.Time `json:"come-back-at,omitzero"`
	Deadline      time.Time `json:"deadline,omitzero"`
	InService     bool      `json:"in-service,omitempty"`
	Version       int64     `json:"version,omitempty"`
	Key           string    `json:"key,omitempty"`
}

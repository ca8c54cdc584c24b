package route

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Cmd is an action that the runtime executes for the router.
type Cmd interface{ isCmd() }

// ClaimCmd claims a non-idempotent request. The result arrives as a ClaimedMsg.
type ClaimCmd struct {
	Ticket int64
	Call   schema.CallRequest
}

// RecordCmd records the answer to a claimed request. The outcome NotRun
// releases the claim.
type RecordCmd struct {
	Call   schema.CallRequest
	Answer Answer
}

// DispatchCmd sends a request to a target. The result arrives as a ReplyMsg.
type DispatchCmd struct {
	Ticket  int64
	Target  string
	Address netip.AddrPort
	Call    schema.CallRequest
	// SendBy is the time after which the request must not be sent.
	SendBy time.Time
}

// Outcome is what is certain about a request: it was answered, it was not run,
// or it may have run. Duplicate means that the request itself is invalid, so
// that a retry would be refused as well.
type Outcome int

// The outcomes.
const (
	// Answered: the answer holds the complete reply.
	Answered Outcome = iota + 1
	// NotRun: the request did not run and will not run.
	NotRun
	// Unknown: the request may have run.
	Unknown
	// Duplicate: the identifier belongs to a request with other content.
	Duplicate
)

// Answer is the answer to a caller's request.
type Answer struct {
	Outcome Outcome
	// Reply is set when the outcome is Answered.
	Reply  schema.CallReply
	Reason string
	// RetryAt is when the caller may retry a request that was refused.
	RetryAt time.Time
}

// AnswerCmd sends a caller the answer to its request.
type AnswerCmd struct {
	Ticket int64
	Answer Answer
	// Took is the time since the request arrived.
	Took time.Duration
}

// DecisionCmd logs one routing decision.
type DecisionCmd struct {
	Request       string
	Rule          string
	Target        string
	Detail        string
	ConfigVersion int64
}

func (ClaimCmd) isCmd()    {}
func (RecordCmd) isCmd()   {}
func (DispatchCmd) isCmd() {}
func (AnswerCmd) isCmd()   {}
func (DecisionCmd) isCmd() {}

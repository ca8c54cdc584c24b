// Package claim decides how a non-idempotent request is handled when its
// identifier was claimed before. A claim is a row in the store. It is written
// before the request is dispatched, so that only the host that wrote it may
// dispatch the request.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// State is the recorded state of a claimed request.
type State string

// The states of a claim.
const (
	// Claimed: a host may have dispatched the request.
	Claimed State = "claimed"
	// Answered: the reply is recorded.
	Answered State = "answered"
	// Unknown: the request was dispatched, and no complete reply arrived.
	Unknown State = "unknown"
	// Released: the request was certainly not run and may be claimed again.
	Released State = "released"
)

// Row is the value of a claim's row in the store.
type Row struct {
	State State `json:"state"`
	// Digest is the digest of the request, from the function Digest.
	Digest      string           `json:"content"`
	Host        string           `json:"host"`
	Incarnation string           `json:"incarnation"`
	ClaimedAt   time.Time        `json:"claimed-at"`
	Reply       schema.CallReply `json:"reply,omitzero"`
}

// Digest returns a digest of the request's kind and body, by which different
// requests with the same identifier are distinguished.
func Digest(call schema.CallRequest) string {
	sum := xxhash.New()
	_, _ = fmt.Fprintf(sum, "%d:%s%d:%s", len(call.Kind), call.Kind, len(call.Body), call.Body)
	return fmt.Sprintf("%016x", sum.Sum64())
}

// Decision is how to handle a request whose identifier was claimed before.
type Decision int

// The decisions.
const (
	// Acquire: the claim was released, and this host may claim the request.
	Acquire Decision = iota + 1
	// Repeat: answer with the recorded reply.
	Repeat
	// Wait: the host that holds the claim is alive and will record the outcome.
	Wait
	// Lost: the outcome is unknown and will remain unknown.
	Lost
	// Mismatch: the identifier belongs to a request with other content.
	Mismatch
)

// Session is the current session of the host that wrote a claim.
type Session struct {
	// Incarnation changes with each start of the host.
	Incarnation string
	Live        bool
}

// Decide returns the decision on a request with the given digest, from the row of
// the earlier claim and the session of the host that holds it. A claim without
// a recorded outcome is lost once its host has stopped or restarted.
func Decide(row Row, digest string, holder Session) Decision {
	if row.Digest != digest {
		return Mismatch
	}
	switch row.State {
	case Released:
		return Acquire
	case Answered:
		return Repeat
	case Unknown:
		return Lost
	case Claimed:
	}
	if holder.Live && holder.Incarnation == row.Incarnation {
		return Wait
	}
	return Lost
}

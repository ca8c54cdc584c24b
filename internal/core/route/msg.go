package route

import (
	"net/netip"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// Msg is an input of the router, read only by Update.
type Msg interface{ isMsg() }

// TickMsg advances the router's time when no other message arrives.
type TickMsg struct{}

// RequestMsg submits a caller's request. Ticket identifies the request in later
// messages and commands; it is unique in the process.
type RequestMsg struct {
	Ticket int64
	Call   schema.CallRequest
}

// ClaimResult is the result of claiming a non-idempotent request.
type ClaimResult int

// The results of a claim.
const (
	// ClaimWon: only this host may dispatch the request.
	ClaimWon ClaimResult = iota + 1
	// ClaimRepeat: the request was answered before, and the message holds the
	// recorded answer.
	ClaimRepeat
	// ClaimUnknown: the request may have been dispatched under an earlier
	// claim, and its outcome is unknown.
	ClaimUnknown
	// ClaimMismatch: the identifier belongs to a request with other content.
	ClaimMismatch
	// ClaimFailed: nothing was claimed.
	ClaimFailed
	// ClaimHeld: another host holds the claim and may have dispatched the
	// request. The final result follows in another ClaimedMsg.
	ClaimHeld
)

// ClaimedMsg reports the result of a ClaimCmd.
type ClaimedMsg struct {
	Ticket int64
	Result ClaimResult
	Reply  schema.CallReply
}

// ReplyResult is the result of dispatching a request to a target.
type ReplyResult int

// The results of a dispatch.
const (
	// ReplyComplete: the complete reply to this request arrived.
	ReplyComplete ReplyResult = iota + 1
	// ReplyRefused: the target replied that it did not run the request.
	ReplyRefused
	// ReplyNotSent: no byte of the request left this host.
	ReplyNotSent
	// ReplyUnknown: anything else. The target may have run the request.
	ReplyUnknown
)

// ReplyMsg reports the result of a DispatchCmd.
type ReplyMsg struct {
	Ticket int64
	Target string
	Result ReplyResult
	Reply  schema.CallReply
	Detail string
	// Busy is the number of slots in use, as reported by the target.
	Busy int
	// Took is the time from the dispatch to the reply.
	Took time.Duration
}

// Target is one entry of the platform's host list.
type Target struct {
	ID      string
	Domain  string
	Address netip.AddrPort
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
}

// TargetsMsg replaces the list of targets.
type TargetsMsg struct {
	Targets []Target
}

// DomainsMsg replaces the set of failure domains that are out of service.
type DomainsMsg struct {
	OutOfService  map[string]bool
	ConfigVersion int64
}

// HostsMsg sets the number of live entry hosts, among which the slots of each
// target are divided.
type HostsMsg struct {
	Live int
}

// FreshnessMsg sets until when this host may make decisions, and whether claims
// can be written.
type FreshnessMsg struct {
	// FreshUntil is the time after which the configuration in force may
	// differ from the one that this host has.
	FreshUntil time.Time
	// ClaimsAvailable is false while the store is down.
	ClaimsAvailable bool
}

// DrainMsg makes the router refuse new requests and finish those in progress.
type DrainMsg struct{}

func (TickMsg) isMsg()      {}
func (RequestMsg) isMsg()   {}
func (ClaimedMsg) isMsg()   {}
func (ReplyMsg) isMsg()     {}
func (TargetsMsg) isMsg()   {}
func (DomainsMsg) isMsg()   {}
func (HostsMsg) isMsg()     {}
func (FreshnessMsg) isMsg() {}
func (DrainMsg) isMsg()     {}

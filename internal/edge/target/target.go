// Package target is a client of target instances. It distinguishes requests
// that certainly did not run, requests with a complete reply, and requests whose
// outcome is unknown.
package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/edge/httpc"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 16 << 20
	// MaxConnections limits the connections from this host to one target.
	MaxConnections = 8
)

// Client sends requests to targets.
type Client struct {
	client *httpc.Client
}

// New returns a client that identifies itself as host.
func New(host string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxConnsPerHost:     MaxConnections,
		MaxIdleConnsPerHost: MaxConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{client: httpc.New(host, transport, maxResponseBytes)}
}

// Response is the result of sending a request to a target. Reply is set only if
// the complete reply arrived.
type Response struct {
	Result route.ReplyResult
	Reply  schema.CallReply
	Detail string
	// Busy is the number of the target's slots in use, as reported by the target.
	Busy int
}

// Send sends a request to the target once, unless sendBy has passed, and waits
// for the reply until the request's own deadline. The call carries sendBy, so
// that the target refuses a request that this process sends late, for example
// after it was paused.
func (c *Client) Send(ctx context.Context, target string, address netip.AddrPort, call schema.CallRequest, sendBy time.Time) Response {
	if !time.Now().Before(sendBy) {
		return Response{Result: route.ReplyNotSent, Detail: "the deadline for sending the request has passed"}
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	var reply plat.TargetReply
	targetCall := plat.TargetCall{ID: call.ID, Kind: call.Kind, Body: call.Body, Deadline: call.Deadline, StartBy: sendBy}
	if err := c.client.Post(ctx, address, "/target", targetCall, &reply); err != nil {
		return Response{Result: classifyError(err), Detail: err.Error()}
	}
	if !reply.Ran && reply.ID == call.ID {
		return Response{Result: route.ReplyRefused, Detail: reply.Refusal, Busy: reply.Busy}
	}
	if problem := checkReply(reply, call); problem != "" {
		return Response{Result: route.ReplyUnknown, Detail: problem}
	}
	return Response{
		Result: route.ReplyComplete,
		Reply:  schema.CallReply{ID: call.ID, Body: reply.Body, Digest: reply.Digest, Target: target},
		Busy:   reply.Busy,
	}
}

// checkReply returns the reason why a reply is not the complete reply to this
// call, or an empty string if it is.
func checkReply(reply plat.TargetReply, call schema.CallRequest) string {
	switch {
	case reply.ID != call.ID:
		return "the reply belongs to another request"
	case len(reply.Body) != reply.Length:
		return fmt.Sprintf("the reply body has %d bytes, expected %d", len(reply.Body), reply.Length)
	case fmt.Sprintf("%016x", xxhash.Sum64String(reply.Body)) != reply.Digest:
		return "the reply body does not match its digest"
	default:
		return ""
	}
}

// classifyError reports a failed dial as a request that was not sent, and any
// other error as an unknown outcome.
func classifyError(err error) route.ReplyResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return route.ReplyNotSent
	}
	return route.ReplyUnknown
}

// Package worker is a client of the workers that run tasks.
package worker

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/edge/httpc"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
)

// ErrNoAnswer marks a call for which no complete response arrived. The worker
// may or may not have carried it out.
var ErrNoAnswer = errors.New("no answer from worker")

const (
	// MaxConnections is how many connections to one worker are kept.
	MaxConnections = 2
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 4 << 20
	// bufferBytes is the size of a connection's read and write buffers. It is
	// small because a host keeps a connection to every worker of its shards
	// and most calls are small.
	bufferBytes = 1 << 10
)

// Client sends calls to workers.
type Client struct {
	client  *httpc.Client
	timeout time.Duration
}

// New returns a client that identifies itself as host. It waits up to timeout
// for a response, in addition to the time that a call lets the worker wait.
func New(host string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: MaxConnections,
		IdleConnTimeout:     time.Minute,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
	return &Client{client: httpc.New(host, transport, maxResponseBytes), timeout: timeout}
}

// Call sends one call to the worker at address. Its errors are marked with
// ErrNoAnswer.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, call plat.WorkerCall) (plat.WorkerReply, error) {
	limit := c.timeout
	if wait := time.Until(call.WaitUntil); wait > 0 {
		limit += wait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply plat.WorkerReply
	if err := c.client.Post(ctx, address, "/worker", call, &reply); err != nil {
		return plat.WorkerReply{}, errors.Mark(err, ErrNoAnswer)
	}
	return reply, nil
}

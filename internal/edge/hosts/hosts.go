// Package hosts is a client of the platform's list of workers and targets. The
// list lags behind the actual state.
package hosts

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/edge/httpc"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
)

// maxResponseBytes limits the size of a response.
const maxResponseBytes = 16 << 20

// Client reads the list of workers and targets.
type Client struct {
	client  *httpc.Client
	address netip.AddrPort
	timeout time.Duration
}

// New returns a client of the list served at address. It identifies itself as
// host. Each call takes at most timeout.
func New(host string, address netip.AddrPort, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &Client{client: httpc.New(host, transport, maxResponseBytes), address: address, timeout: timeout}
}

// List returns the workers and targets. The list may be out of date.
func (c *Client) List(ctx context.Context) (plat.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var list plat.HostList
	err := c.client.Post(ctx, c.address, "/hosts", struct{}{}, &list)
	return list, errors.Wrap(err, "read the list of workers and targets")
}

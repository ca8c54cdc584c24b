// Package hosts is the client of the platform's list of workers and targets,
// which lags behind what is there.
package hosts

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/edge/posts"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
)

// maxAnswerBytes limits what is read of one answer.
const maxAnswerBytes = 16 << 20

// Client reads the list.
type Client struct {
	posts   *posts.Client
	address netip.AddrPort
	timeout time.Duration
}

// New returns a client of the list at address that names itself host. Each
// call takes at most timeout.
func New(host string, address netip.AddrPort, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &Client{posts: posts.New(host, transport, maxAnswerBytes), address: address, timeout: timeout}
}

// List returns the workers and targets as of some time before.
func (c *Client) List(ctx context.Context) (plat.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var list plat.HostList
	err := c.posts.Post(ctx, c.address, "/hosts", struct{}{}, &list)
	return list, errors.Wrap(err, "list of workers and targets")
}

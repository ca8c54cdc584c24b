// Package httpc is a client for JSON calls over HTTP to the platform, its workers
// and the targets.
package httpc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// HostHeader is the HTTP header that names the entry host that sends a call.
const HostHeader = "X-Rattanshore-Host"

// Client sends the calls of one entry host.
type Client struct {
	host             string
	http             *http.Client
	maxResponseBytes int64
}

// New returns a client that sends host in HostHeader and reads at most limit bytes
// of a response.
func New(host string, transport *http.Transport, limit int64) *Client {
	return &Client{host: host, http: &http.Client{Transport: transport}, maxResponseBytes: limit}
}

// Post sends in to the path at the address and decodes the response into out.
// After an error the call may still have taken effect, since the response may have
// been lost.
func (c *Client) Post(ctx context.Context, address netip.AddrPort, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HostHeader, c.host)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("call answered with status %d: %.200s", response.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

// Package inproc runs a small cluster in one process: entry hosts, a fake
// platform, and a caller that keeps a history. Examples and tests use it.
package inproc

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/edge/entry"
	"github.com/rattanshore/rattanshore/internal/fakes/site"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/platform"
)

// Key is the key that operators and peers use in a cluster.
const Key = "desk-key"

// Cluster is a site of fakes and its entry hosts, in one process.
type Cluster struct {
	Site  *site.Site
	Hosts []*Member
}

// Member is one entry host of a cluster.
type Member struct {
	*entry.Host
	ID     string
	cancel context.CancelFunc
	exited chan error
}

// New starts a site and the given number of entry hosts, which write their logs
// to log. If tune is not nil, it changes the settings of each host first.
func New(layout site.Layout, hosts int, log io.Writer, tune func(*setng.Settings)) (*Cluster, error) {
	s, err := site.New(layout, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	c := &Cluster{Site: s}
	for i := range hosts {
		if _, err := c.AddHost(fmt.Sprintf("entry-%d", i+1), log, tune); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Settings returns the settings of an entry host of this cluster.
func Settings(id string, storeAddress netip.AddrPort) setng.Settings {
	settings := setng.Default()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings.Host.ID = id
	settings.Listen = setng.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort}
	settings.Platform.Table = storeAddress
	settings.Keys = setng.Keys{Operators: Key, Peers: Key}
	return settings
}

// AddHost starts another entry host. See New for log and tune.
func (c *Cluster) AddHost(id string, log io.Writer, tune func(*setng.Settings)) (*Member, error) {
	settings := Settings(id, c.Site.Address())
	if tune != nil {
		tune(&settings)
	}
	logger := zerolog.New(zerolog.SyncWriter(log)).Level(settings.Level()).With().Timestamp().Str("host", id).Logger()
	host, err := entry.New(settings, &logger, platform.NewStore(settings.Platform.Table, id))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{Host: host, ID: id, cancel: cancel, exited: make(chan error, 1)}
	go func() { m.exited <- host.Run(ctx) }()
	c.Hosts = append(c.Hosts, m)
	return m, nil
}

// Stop stops the host gracefully and waits until it has exited.
func (m *Member) Stop() error {
	m.cancel()
	select {
	case err := <-m.exited:
		m.exited <- err
		return err
	case <-time.After(time.Minute):
		return errors.Newf("host %s did not stop within a minute", m.ID)
	}
}

// Close stops all hosts in parallel and then the site.
func (c *Cluster) Close() {
	var stops sync.WaitGroup
	for _, m := range c.Hosts {
		stops.Go(func() { _ = m.Stop() })
	}
	stops.Wait()
	c.Site.Close()
}

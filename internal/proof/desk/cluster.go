// Package desk runs a small cluster in one process, stand-ins and entry hosts
// together, with a caller that keeps a history. Examples and tests use it.
package desk

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

// Key is the operators' and peers' key of a cluster.
const Key = "desk-key"

// Cluster is stand-ins and entry hosts in one process.
type Cluster struct {
	Site  *site.Site
	Hosts []*Member
}

// Member is one entry host of a cluster.
type Member struct {
	*entry.Host
	ID     string
	cancel context.CancelFunc
	ended  chan error
}

// New starts a site and the given number of entry hosts, whose logs go to log.
// With tune, the settings of each host can be changed first.
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
func Settings(id string, table netip.AddrPort) setng.Settings {
	settings := setng.Default()
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	settings.Host.ID = id
	settings.Listen = setng.Listen{Callers: anywhere, Operators: anywhere, Peers: anywhere}
	settings.Platform.Table = table
	settings.Keys = setng.Keys{Operators: Key, Peers: Key}
	return settings
}

// AddHost starts one more entry host.
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
	m := &Member{Host: host, ID: id, cancel: cancel, ended: make(chan error, 1)}
	go func() { m.ended <- host.Run(ctx) }()
	c.Hosts = append(c.Hosts, m)
	return m, nil
}

// Stop stops the host gracefully and waits for its end.
func (m *Member) Stop() error {
	m.cancel()
	select {
	case err := <-m.ended:
		m.ended <- err
		return err
	case <-time.After(time.Minute):
		return errors.Newf("host %s did not stop", m.ID)
	}
}

// Close stops all hosts at once and then the site.
func (c *Cluster) Close() {
	var all sync.WaitGroup
	for _, m := range c.Hosts {
		all.Go(func() { _ = m.Stop() })
	}
	all.Wait()
	c.Site.Close()
}

package guard

import (
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

const (
	// SmallListener is the most connections to a listener that a few clients use: the load
	// balancer's or the operators'.
	SmallListener = 64
	// bytesPerMB converts settings in MB.
	bytesPerMB = 1 << 20
)

// Listener is what distinguishes the listeners of a host.
type Listener struct {
	Name        string
	Meter       *metrc.Listener
	MemoryMB    int
	Connections func() int
	// Request is nil if the listener's own limits are the only ones.
	Request func() RequestLimits
}

// NewFor returns the guard of a listener, which logs to log and counts in the listener's
// metrics.
func NewFor(l Listener, limits setng.Intake, log *zerolog.Logger) *Guard {
	request := l.Request
	if request == nil {
		request = func() RequestLimits { return RequestLimits{} }
	}
	g := New(Limits{
		Connections: l.Connections, MemoryBytes: int64(l.MemoryMB) * bytesPerMB, HeadBytes: limits.HeaderBytes, Request: request,
	}, NewReport(l.Name, log, l.Meter))
	l.Meter.SetUsage(g.Usage)
	return g
}

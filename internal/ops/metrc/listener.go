package metrc

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// limitReasons are the reasons why connections are closed and requests refused; package
// guard explains them.
var limitReasons = []string{"memory", "connections", "head", "body"}

// Listener holds the metrics of the connections to one listener. Closed counts connections
// that were closed for others, Refused refused connections and requests, both by reason.
type Listener struct {
	Closed  map[string]*metrics.Counter
	Refused map[string]*metrics.Counter
	usage   atomic.Pointer[func() (connections int, bytes int64)]
}

func newListener(s *metrics.Set, name string) *Listener {
	l := &Listener{Closed: map[string]*metrics.Counter{}, Refused: map[string]*metrics.Counter{}}
	for _, reason := range limitReasons {
		labels := fmt.Sprintf("{listener=%q,reason=%q}", name, reason)
		l.Closed[reason] = s.NewCounter("rattanshore_connections_closed_total" + labels)
		l.Refused[reason] = s.NewCounter("rattanshore_requests_limited_total" + labels)
	}
	s.NewGauge(fmt.Sprintf("rattanshore_connections{listener=%q}", name), func() float64 {
		connections, _ := l.readUsage()
		return float64(connections)
	})
	s.NewGauge(fmt.Sprintf("rattanshore_connection_memory_bytes{listener=%q}", name), func() float64 {
		_, bytes := l.readUsage()
		return float64(bytes)
	})
	return l
}

// SetUsage sets the function that returns the open connections and the memory that they
// hold.
func (l *Listener) SetUsage(usage func() (connections int, bytes int64)) {
	l.usage.Store(&usage)
}

func (l *Listener) readUsage() (connections int, bytes int64) {
	if usage := l.usage.Load(); usage != nil {
		return (*usage)()
	}
	return 0, 0
}

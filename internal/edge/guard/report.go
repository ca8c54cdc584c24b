package guard

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
)

// reportInterval is the least time between two log lines of one listener.
const reportInterval = time.Second

// Report counts what a guard does to callers, and logs it with at most one line for each
// reportInterval.
type Report struct {
	listener string
	log      *zerolog.Logger
	meter    *metrc.Listener

	mu sync.Mutex
	// closed and refused count since the last line.
	closed, refused int
	nextLineAt      time.Time
}

// NewReport returns the reporter for the listener with the given name.
func NewReport(listener string, log *zerolog.Logger, meter *metrc.Listener) *Report {
	return &Report{listener: listener, log: log, meter: meter}
}

// Closed implements Reporter.
func (r *Report) Closed(reason Reason) {
	r.meter.Closed[string(reason)].Inc()
	r.count(1, 0, reason)
}

// Refused implements Reporter.
func (r *Report) Refused(reason Reason) {
	r.meter.Refused[string(reason)].Inc()
	r.count(0, 1, reason)
}

func (r *Report) count(closed, refused int, reason Reason) {
	r.mu.Lock()
	r.closed += closed
	r.refused += refused
	now := time.Now()
	if now.Before(r.nextLineAt) {
		r.mu.Unlock()
		return
	}
	closed, refused = r.closed, r.refused
	r.closed, r.refused, r.nextLineAt = 0, 0, now.Add(reportInterval)
	r.mu.Unlock()
	logev.CallersLimited.Log(r.log).Str("listener", r.listener).Str("reason", string(reason)).
		Int("closed", closed).Int("refused", refused).Send()
}

// Package clock is a clock that neither jumps nor stands still: it begins at
// the time of day and goes on with the system's boot clock, which counts the
// time for which a machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a steady clock.
type Clock struct {
	origin time.Time
	boot   time.Duration
}

// New returns a clock that shows the time of day now.
func New() *Clock {
	return &Clock{origin: time.Now().Round(0).UTC(), boot: sinceBoot()}
}

// Now returns the time. Two readings differ by the time that really passed.
func (c *Clock) Now() time.Time {
	return c.origin.Add(sinceBoot() - c.boot)
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart stands in for the boot clock where there is none.
var processStart = time.Now()

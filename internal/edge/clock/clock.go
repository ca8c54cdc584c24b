// Package clock provides a monotonic clock. It starts at the time of day and
// advances with the system's boot clock, which also counts the time for which the
// machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock.
type Clock struct {
	origin          time.Time
	originSinceBoot time.Duration
}

// New returns a clock that starts at the present time of day.
func New() *Clock {
	return &Clock{origin: time.Now().Round(0).UTC(), originSinceBoot: sinceBoot()}
}

// Now returns the time. The difference of two readings is the time that passed
// between them, even if the system's time of day was set in between.
func (c *Clock) Now() time.Time {
	return c.origin.Add(sinceBoot() - c.originSinceBoot)
}

// sinceBoot returns the time since boot, or since processStart if the boot clock
// cannot be read.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart replaces the boot time if the boot clock cannot be read.
var processStart = time.Now()

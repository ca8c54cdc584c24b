package trust

import (
	"slices"
	"time"
)

const (
	// sameDeparture is how soon after a sign of a departure another one belongs to the
	// same departure.
	sameDeparture = time.Second
	// flapWindow is the time within which a worker that flaps leaves more than once.
	flapWindow = 15 * time.Second
	// maxDepartures limits the departures that are remembered for one worker.
	maxDepartures = 8
)

// depart records a sign that the worker is or was away, unless it is one more sign of
// the newest departure.
func (h *history) depart(at time.Time) {
	if n := len(h.departures); h.away || n > 0 && at.Sub(h.departures[n-1]) < sameDeparture {
		return
	}
	if len(h.departures) == maxDepartures {
		h.departures = slices.Delete(h.departures, 0, 1)
	}
	h.departures = append(h.departures, at)
}

// stay returns the mean time between the departures of a worker that flaps, or 0.
func (h *history) stay(now time.Time) time.Duration {
	for len(h.departures) > 0 && now.Sub(h.departures[0]) >= flapWindow {
		h.departures = h.departures[1:]
	}
	n := len(h.departures)
	if n < 2 {
		return 0
	}
	return h.departures[n-1].Sub(h.departures[0]) / time.Duration(n-1)
}

// stayShare is the share of a worker's mean stay that work may take there. Work that
// begins at any time of the stay then mostly ends in it.
const stayShare = 0.5

// Outlasts reports whether the worker is expected to stay for the length of the
// work.
func (s Standing) Outlasts(now time.Time, work time.Duration) bool {
	if !s.LeavesAt.IsZero() && now.Add(work).After(s.LeavesAt) {
		return false
	}
	return s.Stay == 0 || work <= time.Duration(stayShare*float64(s.Stay))
}

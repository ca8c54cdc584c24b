package plan

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// backoffJitter is the largest share by which a pause is shortened, so that workers whose
// calls failed together are not called together again.
const backoffJitter = 0.25

// backoff is an exponential backoff: a pause that doubles with each failure in a row.
type backoff struct {
	first, longest time.Duration
}

// pause returns the pause after a number of failures in a row of calls to a worker. The
// jitter depends on both alone, so that equal inputs of the planner have equal outcomes.
func (b backoff) pause(worker string, failures int) time.Duration {
	d := b.first
	for range failures - 1 {
		if d >= b.longest {
			break
		}
		d *= 2
	}
	d = min(d, b.longest)
	hash := xxhash.Sum64String(worker + " " + strconv.Itoa(failures))
	share := float64(hash) / math.MaxUint64
	return d - time.Duration(backoffJitter*share*float64(d))
}

package guard_test

import (
	"testing"

	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

// Guards against callers that take the descriptors of the host's own calls.
func TestShares(t *testing.T) {
	for _, c := range []struct{ descriptors, own, callers, peers int }{
		{4100, 0, 1024, 1024},
		{4100, 1250, 1024, 1024},
		{4100, 2500, 248, 1024},
		{4100, 3750, 64, 1024},
		{1024, 40, 400, 256},
		{20000, 3750, 1024, 1024},
	} {
		s := guard.NewShares(setng.DefaultIntake(), c.descriptors)
		if got := s.Callers(c.own); got != c.callers || s.Peers != c.peers {
			t.Errorf("%+v: got %d callers, %d peers", c, got, s.Peers)
		}
	}
}

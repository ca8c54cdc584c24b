package limit

import (
	"testing"
	"time"
)

// flood sends a team's cancellations at a rate for a while, and returns how many were
// admitted.
func flood(c *Cancels, now time.Time, team string, hosts, perSecond int, length time.Duration) int {
	admitted := 0
	for at := now; at.Before(now.Add(length)); at = at.Add(time.Second / time.Duration(perSecond)) {
		if _, ok := c.Admit(at, team, hosts); ok {
			admitted++
		}
	}
	return admitted
}

// TestCancelsAreBounded shows the load of callers that cancel random identifiers.
func TestCancelsAreBounded(t *testing.T) {
	const length = 100 * time.Second
	cases := map[string]struct {
		hosts, perSecond int
		atLeast, atMost  int
	}{
		"few":                  {3, 5, 500, 500},
		"many at one of three": {3, 1000, 22 * 100, 23*100 + 250},
		"many at one of forty": {40, 1000, 160, 200},
		"many at the only one": {1, 1000, 45 * 100, 45*100 + 500},
		"thirty a second":      {3, 30, 22 * 100, 23*100 + 250},
	}
	for name, c := range cases {
		limiter, now := NewCancels(), time.Unix(1000, 0)
		n := flood(limiter, now, "loud", c.hosts, c.perSecond, length)
		if n < c.atLeast || n > c.atMost {
			t.Errorf("%s: %d admitted, want %d to %d", name, n, c.atLeast, c.atMost)
		}
		if at, ok := limiter.Admit(now.Add(length), "quiet", c.hosts); !ok || at.After(now.Add(length)) {
			t.Errorf("%s: another team has to wait until %v", name, at.Sub(now))
		}
	}
}

// Guards against a caller that is told to come back at a time at which it is refused again.
func TestRefusedCancelIsAdmittedWhenItComesBack(t *testing.T) {
	limiter, now := NewCancels(), time.Unix(1000, 0)
	for range 10000 {
		at, ok := limiter.Admit(now, "loud", 3)
		if ok {
			continue
		}
		if _, ok := limiter.Admit(at, "loud", 3); !ok {
			t.Fatalf("refused again after %v", at.Sub(now))
		}
		return
	}
	t.Fatal("never refused")
}

package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/confg"
)

// TestSessionsAreJudgedAsOfTheirReading covers a host that was paused for longer
// than the session timeout. By its clock its peers' sessions have expired, but it
// must not conclude that it is the only live host and that its configuration is
// therefore still in force.
func TestSessionsAreJudgedAsOfTheirReading(t *testing.T) {
	g := NewWithT(t)
	const bound = 200 * time.Millisecond
	readAt := time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	resumedAt := readAt.Add(10 * time.Second)
	v := newView()
	v.setRows(map[string]hostRow{
		"entry-1": {ID: "entry-1", ExpiresAt: readAt.Add(4 * time.Second)},
		"entry-2": {ID: "entry-2", ExpiresAt: readAt.Add(4 * time.Second)},
		"entry-3": {ID: "entry-3", ExpiresAt: readAt.Add(-time.Second)},
	}, nil, nil)
	v.setReadAt(readAt)
	live := len(v.livePeers(v.lastRead(), "entry-1", bound)) + 1
	g.Expect(live).To(Equal(2))
	policy := confg.FreshnessPolicy{StaleAfter: 2500 * time.Millisecond, OutageAfter: time.Minute}
	until, reason := policy.FreshUntil(resumedAt, v.lastRead(), live, nil)
	g.Expect(until).To(BeTemporally("<", resumedAt))
	g.Expect(reason).NotTo(BeEmpty())
}

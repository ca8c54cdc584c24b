package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/vouch"
	"github.com/rattanshore/rattanshore/internal/edge/relay"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// tenureHost returns a host that has what its tenure needs, at the time to which now points.
func tenureHost(id string, now *time.Time) *Host {
	log := zerolog.Nop()
	h := &Host{log: &log, clock: func() time.Time { return *now }, store: store.NewClient(nil, nil), witnessLinks: relay.NewLinks()}
	h.settings.Host.ID, h.incarnation = id, id+"-now"
	h.witness = &witness{host: id, incarnation: h.incarnation}
	return h
}

// serveWitness serves a host as a witness and returns its address.
func serveWitness(t *testing.T, h *Host) string {
	t.Helper()
	handler := relay.Handler(relay.NewServer(nil, nil, h.witness, h.log))
	server := httptest.NewServer(http.HandlerFunc(handler.ServeHTTP))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a leader that counts its tenure from a late answer, or from an attempt that
// was not the one which the store has taken.
func TestTenureCountsFromTheRowThatIsStored(t *testing.T) {
	now := time.Unix(1000, 0)
	start := now
	tn := newTenure(tenureHost("one", &now), 7, nil)
	tn.sending()
	tn.made([]byte("first"), start)
	tn.made([]byte("second"), start.Add(time.Second))
	now = start.Add(vouch.Term)
	tn.stored([]byte("first"), 3, nil)
	if tn.mayAct() {
		t.Error("acts after the term of the row that is stored")
	}
	tn.sending()
	tn.made([]byte("third"), now)
	tn.stored([]byte("third"), 4, nil)
	if now = now.Add(vouch.Term - time.Millisecond); !tn.mayAct() {
		t.Error("does not act within the term")
	}
	if now = now.Add(time.Millisecond); tn.mayAct() {
		t.Error("acts after the term")
	}
}

// Pattern: the store is silent. Guards against a leader that stops although all its
// witnesses vouch for it, and against one that goes on once another host has had one of
// them withdraw or a witness has restarted.
func TestTenureWithoutTheStore(t *testing.T) {
	for name, end := range map[string]func(successor, peer *Host, leader record.Leader){
		"a successor":         func(s, _ *Host, leader record.Leader) { s.withdrawWitness(context.Background(), leader, 5) },
		"a witness restarted": func(_, peer *Host, _ record.Leader) { peer.witness.incarnation = "later" },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			h, peer, other := tenureHost("one", &now), tenureHost("two", &now), tenureHost("three", &now)
			named := []record.Witness{
				{Host: "two", Incarnation: "two-now", Address: serveWitness(t, peer)},
				{Host: "three", Incarnation: "three-now", Address: serveWitness(t, other)},
			}
			tn := newTenure(h, 7, named)
			tn.made([]byte("row"), now)
			tn.stored([]byte("row"), 5, tn.sending())
			for range 20 {
				now = now.Add(time.Second)
				tn.ask(context.Background(), named, 5)
				if !tn.mayAct() {
					t.Fatalf("does not act after %v", now.Sub(time.Unix(1000, 0)))
				}
			}
			end(tenureHost("four", &now), peer, record.Leader{Host: "one", Epoch: 7, Bounded: true, Witnesses: named})
			now = now.Add(vouch.Term)
			tn.ask(context.Background(), named, 5)
			if tn.mayAct() {
				t.Error("acts without a witness")
			}
		})
	}
}

// Guards against a successor that takes over too soon from a leader that does not bound
// itself, or whose witnesses it does not reach, and one that waits for a leader that is gone.
func TestSuccessorAllowsForTheEarlierLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	h := tenureHost("one", &now)
	named := []record.Witness{{Host: "two", Incarnation: "x", Address: "127.0.0.1:1"}}
	const alone = vouch.MaxAlone + vouch.Margin
	for name, c := range map[string]struct {
		leader record.Leader
		want   time.Duration
	}{
		"confirmed by the store only":  {record.Leader{Host: "two", Epoch: 1, Bounded: true}, vouch.Margin},
		"witness not reached":          {record.Leader{Host: "two", Epoch: 1, Bounded: true, Witnesses: named}, alone},
		"this host is a witness":       {record.Leader{Host: "two", Epoch: 1, Bounded: true, Witnesses: []record.Witness{{Host: "one", Incarnation: "one-now"}}}, vouch.Margin},
		"an earlier version":           {record.Leader{Host: "two", Epoch: 1}, alone},
		"a row that cannot be read":    {decodeLeader(store.Row{Version: 4, Value: []byte("odd")}), alone},
		"handed over":                  {record.Leader{Epoch: 1, Witnesses: named}, vouch.Margin},
		"an earlier process":           {record.Leader{Host: "one", Incarnation: "former", Epoch: 1, Witnesses: named}, vouch.Margin},
		"one before it may act longer": {record.Leader{Host: "two", Epoch: 2, Bounded: true, EarlierUntilMs: now.Add(30*time.Second - h.aheadOfStore()).UnixMilli()}, 30 * time.Second},
	} {
		withdrawn := h.leaderGone(c.leader) || h.withdrawWitness(context.Background(), c.leader, 9)
		if got := h.earlierUntil(c.leader, withdrawn).Sub(now).Round(10 * time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

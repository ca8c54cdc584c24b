package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/gate"
	"github.com/rattanshore/rattanshore/internal/core/rules"
)

var (
	start  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	config = rules.Config{
		Version: 4,
		Queues: []rules.Queue{
			{Name: "all", Host: "desk.example", Prefix: "/"},
			{Name: "quotes", Host: "desk.example", Prefix: "/quotes/"},
			{Name: "open", Host: "desk.example", Prefix: "/open/", Public: true},
		},
		Teams: []rules.Team{{Name: "parish", Keys: []string{"key-1"}}},
	}
)

// The longest prefix wins, and what follows it is the job's identifier.
func ExampleGate_Admit() {
	g := gate.New(4 * time.Second)
	g.Set(config)
	g.Confirm(start)
	queue, team, rest, err := g.Admit(start.Add(time.Second), "desk.example", "/quotes/0123", "key-1")
	fmt.Println(queue.Name, team, rest, err)
	// Output: quotes parish 0123 <nil>
}

func TestAdmit(t *testing.T) {
	g := gate.New(4 * time.Second)
	admit := func(after time.Duration, host, path, key string) error {
		_, _, _, err := g.Admit(start.Add(after), host, path, key)
		return err
	}
	if err := admit(0, "desk.example", "/quotes/1", "key-1"); !errors.Is(err, gate.ErrNoConfig) {
		t.Errorf("without a configuration: %v", err)
	}
	g.Set(config)
	g.Confirm(start)
	cases := []struct {
		after           time.Duration
		host, path, key string
		want            error
	}{
		{time.Second, "desk.example", "/quotes/1", "key-1", nil},
		{time.Second, "desk.example", "/open/1", "", nil},
		{time.Second, "desk.example", "/quotes/1", "key-2", gate.ErrUnauthorized},
		{time.Second, "other.example", "/quotes/1", "key-1", gate.ErrUnknownQueue},
		{4 * time.Second, "desk.example", "/quotes/1", "key-1", gate.ErrStale},
	}
	for _, c := range cases {
		if err := admit(c.after, c.host, c.path, c.key); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	g := gate.New(time.Second)
	g.Set(config)
	older := config
	older.Version = 3
	if g.Set(older) || g.Version() != 4 {
		t.Errorf("version %d in force after an older version was set, want 4", g.Version())
	}
	g.Confirm(start.Add(time.Second))
	g.Confirm(start)
	if !g.Accepts(start.Add(1900 * time.Millisecond)) {
		t.Error("an older confirmation shortened the time that a newer one allows")
	}
}

package setng_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/ops/setng"
)

const rendered = `host: {id: one, failure-domain: hall-a}
listen: {callers: 127.0.0.1:7410, ready: 127.0.0.1:7411, peers: 127.0.0.1:7412}
store: 127.0.0.1:7420
cores: 0.4
bounds:
  longest-lease: 6000ms
  gang-wait: 2500ms
  spread-factor: 3
`

// Guards against a host that ends at its start, again and again, for one odd value that
// has a default, or that runs without a value which it needs.
func TestOddSettings(t *testing.T) {
	nested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	for name, c := range map[string]struct{ from, to string }{
		"no value":         {"gang-wait: 2500ms", "gang-wait: ms"},
		"another type":     {"gang-wait: 2500ms", "gang-wait: [1, 2]"},
		"nested":           {"gang-wait: 2500ms", "gang-wait: " + nested},
		"number too large": {"gang-wait: 2500ms", "gang-wait: 1e300ms"},
		"negative":         {"gang-wait: 2500ms", "gang-wait: -4ms"},
		"zero":             {"spread-factor: 3", "spread-factor: 0"},
		"not a number":     {"spread-factor: 3", "spread-factor: .nan"},
		"cores":            {"cores: 0.4", "cores: 1e999"},
		"cores, text":      {"cores: 0.4", "cores: many"},
		"unknown key":      {"gang-wait: 2500ms", "gong-wait: 2500ms"},
		"odd section":      {"cores: 0.4", "scheduling: 7"},
	} {
		text := strings.Replace(rendered, c.from, c.to, 1)
		if _, err := setng.ParseFleet("f", []byte(text)); err == nil {
			t.Errorf("%s: the strict check accepts it", name)
		}
		f, problems, err := setng.ParseUsableFleet("f", []byte(text))
		if err != nil || len(problems) != 1 {
			t.Errorf("%s: problems %.80q, error %v", name, problems, err)
			continue
		}
		if f.Host.ID != "one" || f.Bounds.LongestLease != 6*time.Second || f.Store.Port() != 7420 || f.Bounds.GangWait <= 0 || !(f.Cores > 0) {
			t.Errorf("%s: %+v", name, f)
		}
	}
	for _, text := range []string{
		"", "odd", nested, strings.Replace(rendered, "store: 127.0.0.1:7420", "store: 127.0.0.1:74200", 1),
		strings.Replace(rendered, "id: one", "id: ''", 1), strings.Replace(rendered, "peers: 127.0.0.1:7412", "peers: []", 1),
	} {
		if f, _, err := setng.ParseUsableFleet("f", []byte(text)); err == nil {
			t.Errorf("%.40q: read as %+v", text, f)
		}
	}
	if _, problems, err := setng.ParseUsableFleet("f", []byte(rendered)); err != nil || len(problems) > 0 {
		t.Errorf("sound settings: %v, %v", problems, err)
	}
}

package ablate_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/ablate"
)

func ExampleParse() {
	set, err := ablate.Parse("claims, headroom")
	fmt.Println(set.Has(ablate.Claims), set.Has(ablate.Ageing), err)
	// Output: true false <nil>
}

// Guards against a trial that leaves out nothing because of a misspelled name, and against
// two names for one mechanism.
func TestParse(t *testing.T) {
	if _, err := ablate.Parse("claim"); !errors.Is(err, ablate.ErrUnknown) {
		t.Errorf("unknown name: %v", err)
	}
	var all ablate.Set
	for _, name := range ablate.Names() {
		one, err := ablate.Parse(name)
		if err != nil || one == 0 || all.Has(one) {
			t.Errorf("%s: set %b, error %v, already named %v", name, one, err, all.Has(one))
		}
		all |= one
		if text, err := one.MarshalText(); err != nil || string(text) != name {
			t.Errorf("%s is written as %s, error %v", name, text, err)
		}
	}
}

package entry_test

import (
	"testing"

	"github.com/rattanshore/rattanshore/internal/edge/entry"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// TestDecodeRefuses checks the error code for each kind of invalid body.
func TestDecodeRefuses(t *testing.T) {
	cases := []struct {
		name, body string
		want       schema.ErrorCode
	}{
		{"not JSON", "{", schema.BadRequest},
		{"unknown field", `{"id":"a","colour":"red"}`, schema.UnknownField},
		{"data after the value", `{"id":"a"} {"id":"b"}`, schema.BadRequest},
		{"a stray brace after the value", `{"id":"a"}}`, schema.BadRequest},
		{"wrong type", `{"tasks":"many"}`, schema.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problem := entry.Decode[schema.JobSpec]([]byte(c.body))
			if problem == nil || problem.Code != c.want {
				t.Errorf("got %v, want %s", problem, c.want)
			}
		})
	}
}

// FuzzDecode decodes arbitrary call bodies. Errors must have a message.
func FuzzDecode(f *testing.F) {
	f.Add(`{"id":"a","team":"t","kind":"k","class":"urgent","tasks":1,"accelerators":8}`)
	f.Add(`{"id":1}`)
	f.Fuzz(func(t *testing.T, body string) {
		if _, problem := entry.Decode[schema.JobSpec]([]byte(body)); problem != nil && problem.Message == "" {
			t.Error("error has no message")
		}
		_, _ = entry.Decode[schema.CallRequest]([]byte(body))
		_, _ = entry.Decode[schema.ConfigChange]([]byte(body))
	})
}

package verbs_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/ops/verbs"
)

const lateLog = `{"event":322,"job":"a","time":"2026-12-04T08:00:00Z"}
{"event":310,"job":"a","time":"2026-12-04T08:00:03Z"}
{"event":318,"job":"a","time":"2026-12-04T08:00:05Z"}
{"event":319,"job":"a","detail":"completed ","team":"club","priority":0,"accepted-at":"2026-12-04T08:00:00Z","due":"2026-12-04T08:00:04Z","time":"2026-12-04T08:00:05Z"}
`

// TestExplainLate guards the exit codes, and that what could be read is shown beside
// what could not.
func TestExplainLate(t *testing.T) {
	for name, c := range map[string]struct {
		log     *string
		code    int
		reports []string
	}{
		"sound":        {ptr(lateLog), verbs.ExitOK, []string{"no-capacity"}},
		"damaged":      {ptr(lateLog + `{"event":` + "\n"), verbs.ExitFailed, []string{"no-capacity", ":5: the first of 1 lines"}},
		"older build":  {ptr(`{"event":319,"job":"a","detail":"completed "}` + "\n"), verbs.ExitFailed, []string{"late of 0"}},
		"missing file": {nil, verbs.ExitUsage, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			path := filepath.Join(t.TempDir(), "host.log")
			if c.log != nil {
				g.Expect(os.WriteFile(path, []byte(*c.log), 0o600)).To(Succeed())
			}
			out, code := explainLate(path)
			g.Expect(code).To(Equal(c.code))
			for _, text := range c.reports {
				g.Expect(out).To(ContainSubstring(text))
			}
		})
	}
	t.Run("no file", func(t *testing.T) {
		_, code := explainLate()
		NewWithT(t).Expect(code).To(Equal(verbs.ExitUsage))
	})
}

func ptr(text string) *string { return &text }

// explainLate runs 'explain-late' and returns what it prints and its exit code.
func explainLate(args ...string) (string, int) {
	var out bytes.Buffer
	root := verbs.New(&out)
	root.SetErr(&out)
	root.SetArgs(append([]string{"explain-late"}, args...))
	err := root.Execute()
	return out.String(), verbs.ExitCode(err)
}

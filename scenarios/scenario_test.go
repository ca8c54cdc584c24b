// Package scenarios runs the scripted scenarios, one .txtar file for each promise
// or fault. Each starts entry hosts and fakes of the platform as separate
// processes, and ends by checking every promise.
package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rattanshore/rattanshore/internal/fakes/site"
	"github.com/rattanshore/rattanshore/internal/ops/verbs"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rattanshore": func() {
			err := verbs.New(os.Stdout).Execute()
			if err != nil {
				fmt.Fprintln(os.Stderr, "rattanshore: "+err.Error())
			}
			os.Exit(verbs.ExitCode(err))
		},
		"standin": func() {
			if err := site.Command().Execute(); err != nil {
				os.Exit(1)
			}
		},
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			h := newHarness(env.WorkDir, env.Vars)
			env.Values[harnessKey{}] = h
			env.Defer(h.close)
			return nil
		},
		Cmds: commands,
	})
}

// TestEveryScenarioChecks checks that every scenario ends with the command check,
// without which it would check no promise.
func TestEveryScenarioChecks(t *testing.T) {
	files, err := filepath.Glob("*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		script, _, _ := strings.Cut(string(data), "\n-- ")
		lines := strings.Split(strings.TrimSpace(script), "\n")
		if last := lines[len(lines)-1]; last != "check" {
			t.Errorf("%s ends with %q instead of check", f, last)
		}
	}
}

// Command rattanshore runs an entry host and provides the command line for
// callers and operators.
package main

import (
	"fmt"
	"os"

	"github.com/rattanshore/rattanshore/internal/ops/verbs"
)

func main() {
	err := verbs.New(os.Stdout).Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rattanshore: "+err.Error())
	}
	os.Exit(verbs.ExitCode(err))
}

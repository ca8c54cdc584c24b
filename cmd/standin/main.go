// Command standin runs a fake platform, fake workers and fake targets on the
// loopback interface, for tests, examples and trying out rattanshore.
package main

import (
	"os"

	"github.com/rattanshore/rattanshore/internal/fakes/site"
)

func main() {
	if err := site.Command().Execute(); err != nil {
		os.Exit(1)
	}
}

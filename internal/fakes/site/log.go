package site

import (
	"io"
	"log"
)

// discardLogger returns a logger that drops the errors that injected faults
// cause in servers.
func discardLogger() *log.Logger {
	return log.New(io.Discard, "", 0)
}

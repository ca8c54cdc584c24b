package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// ledger writes what was sent, answered and run, with the seconds since it began.
type ledger struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newLedger(path string) (*ledger, error) {
	file, err := os.Create(path)
	return &ledger{file: file, began: time.Now()}, err
}

// add writes one line: what happened, and pairs of names and values.
func (l *ledger) add(what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f  %s", time.Since(l.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, "  %v=%v", pairs[i], pairs[i+1])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.file, line.String())
}

func (l *ledger) close() {
	_ = l.file.Close()
}

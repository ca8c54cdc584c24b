// Command rig2 plays the scripted cases of a review: it starts entry hosts as separate
// processes, with stand-ins of the platform's store, minions and clients in this one.
//
//	rig2 CASE FOLDER
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is how long a case may take.
const limit = 115 * time.Second

// errNotRun is the panic value of a case that could not run.
type errNotRun struct{ reason string }

func main() {
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return 2
	}
	log, err := newLedger(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.close()
	temp, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temp) }()
	s := &site{log: log, temp: temp, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	defer s.close()
	defer func() {
		if p, ok := recover().(errNotRun); ok {
			log.add("not run", "reason", p.reason)
			fmt.Println("not run:", p.reason)
			code = 2
		}
	}()
	watchdog := time.AfterFunc(limit, func() {
		log.add("not run", "reason", "out of time")
		s.close()
		os.Exit(2)
	})
	defer watchdog.Stop()
	if broken := cases[os.Args[1]](s); broken != "" {
		log.add("BROKEN", "what", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	log.add("held")
	fmt.Println("held")
	return 0
}

// Command rig3 plays the cases of the third review against processes of the system. See
// review/REPORT-3.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

func main() {
	// Hosts end with the thread that has started them, so that must be the main thread.
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Println("usage: rig3 CASE FOLDER BINARY")
		os.Exit(cannotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(cannotRun)
	}
	s := newSite(os.Args[2], os.Args[3])
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		s.cannotRun("it was stopped")
	}()
	time.AfterFunc(115*time.Second, func() { s.cannotRun("it has taken too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("case %s, with the disruption: %v", os.Args[1], trouble)
	play(s, trouble)
}

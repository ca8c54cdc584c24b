// Command rig runs one case of the review: it starts the project's hosts as
// separate processes, with stand-ins of the platform's store, its workers, its
// operator and its clients on loopback addresses, and judges what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// caseLimit is the longest time of one run.
const caseLimit = 115 * time.Second

func main() {
	dir := flag.String("dir", ".", "folder of the record")
	flag.Parse()
	run, known := cases[flag.Arg(0)]
	if !known {
		fmt.Println("unknown case")
		os.Exit(int(noTrial))
	}
	r, err := newRig(*dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(int(noTrial))
	}
	os.Exit(int(r.judge(run)))
}

// judge runs a case and ends everything that it started.
func (r *rig) judge(run func(*rig) verdict) (v verdict) {
	limit := time.AfterFunc(caseLimit, func() {
		r.record.add("rig", "the case took too long")
		r.end()
		os.Exit(int(noTrial))
	})
	defer limit.Stop()
	defer r.end()
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(failure)
			if !ok {
				panic(p)
			}
			fmt.Println("could not run:", f.reason)
			r.record.add("rig", "could not run: %s", f.reason)
			v = noTrial
		}
	}()
	v = run(r)
	fmt.Println(map[verdict]string{held: "the rule held", broken: "the rule was broken", noTrial: "could not run"}[v])
	return v
}

// report writes a finding to the record and to the output.
func (r *rig) report(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.record.add("judge", format, args...)
}

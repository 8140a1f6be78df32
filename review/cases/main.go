// Command cases plays the cases of the review that are scripts. It starts edge processes as the
// platform does, with stand-ins for the platform's store, its servers and its clients in this process.
//
// Exit codes: 1 if a rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to the functions that play them. A case returns what broke the
// rule, nothing if it held.
var cases = map[string]func(f *fleet, trouble bool) (breaks []string, err error){
	"withdrawn-keys": withdrawnKeys,
	"large-uploads":  largeUploads,
	"silent-store":   silentStore,
	"stopped-helper": stoppedHelper,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %t", os.Args[1], trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.line("could not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	breaks, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		rec.line("could not run: %v", err)
		return exitNotRun
	}
	for _, b := range breaks {
		rec.line("broken: %s", b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	rec.line("the rule held")
	return exitHeld
}

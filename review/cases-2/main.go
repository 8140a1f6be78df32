// Command cases-2 runs the cases of the second review that are scripts. Each starts edge processes with the
// command of the deploy file before stand-ins of the platform, its servers and its clients.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// trouble reports whether the case brings its disruption about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*record) (bool, error){
	"moved-twice": movedTwice,
	"stale-copy":  staleCopy,
	"two-engines": twoEngines,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE FOLDER")
		return cannotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer r.close()
	wasBroken, err := cases[args[0]](r)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return cannotRun
	case wasBroken:
		r.say("the rule was broken")
		return broken
	}
	r.say("the rule held")
	return held
}

var errNotReady = errors.New("a host did not become ready")

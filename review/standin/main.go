// Command review-standin plays the clients, servers and platform of the review's scripts, and
// starts gateways with the command of the deploy file.
//
// # Usage
//
//	review-standin truncated RECORD   # review/1
//	review-standin backend --listen IP:PORT --name ID …
//
// A case exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"truncated": runTruncated,
	"garbage":   runGarbage,
	"foreign":   runForeign,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "backend" {
		runBackend(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD | backend FLAGS")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, disruption: %v", name, trouble)
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		return exitNotRun
	case broken:
		r.logf("result: the rule was broken")
		return exitBroken
	}
	r.logf("result: the rule held")
	return exitHeld
}

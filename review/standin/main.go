// Command standin runs the cases of the review that are scripts: it starts the programs of
// the deploy file as processes on loopback, plays the platform, the operator, the clients
// and the workers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*deployment) bool{"popular-lookup": popularLookup, "large-bodies": largeBodies, "joined-versions": joinedVersions}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(execute(run, os.Args[2]))
}

// execute runs a case and returns the exit code. All processes have ended when it returns.
func execute(run func(*deployment) bool, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d := newDeployment(dir, record, os.Getenv("TROUBLE") != "0")
	defer func() {
		if r := recover(); r != nil {
			d.log("the case could not run: %v", r)
			fmt.Fprintln(os.Stderr, r)
			code = exitNotRun
		}
		d.stopAll()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	d.stopOnSignal()
	if run(d) {
		d.log("the rule was broken")
		return exitBroken
	}
	d.log("the rule held")
	return exitHeld
}

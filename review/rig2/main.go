// Command rig2 plays the cases of this review: the system's entries as processes of the deploy
// file's command, and stand-ins of the store, workers and clients that follow the users' pages.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

var cases = map[string]func(c *cluster, trouble bool) int{
	"latecrash":  lateCrash,
	"leaving":    leaving,
	"impatient":  impatient,
	"preempted":  preempted,
	"slowreader": slowReader,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}

	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE")
		os.Exit(couldNotRun)
	}

	os.Exit(play(cases[os.Args[1]]))
}

func play(f func(*cluster, bool) int) int {
	c, err := newCluster()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return couldNotRun
	}
	defer c.close()

	return f(c, os.Getenv("TROUBLE") != "0")
}

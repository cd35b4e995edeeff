// Rig runs the review's cases: entries of the project as processes, with stand-ins of the
// store, of workers and of clients on loopback.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(unable)
	}

	cases := map[string]func() (int, error){"cutshort": cutShort}

	if os.Args[1] == "worker" {
		workerMain(os.Args[2:])

		return
	}

	run, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(unable)
	}

	code, err := run()
	if err != nil {
		fmt.Println("could not run:", err)

		code = unable
	}

	os.Exit(code)
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

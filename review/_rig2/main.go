// The program of the second review: it starts the project's daemons as processes, with
// stand-ins of its own for the store, plain servers and requesters.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0 // the rule was kept
	broken = 1 // the rule was broken
	notRun = 2 // the case could not run
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(notRun)
	}
	args := os.Args[2:]
	switch os.Args[1] {
	case "server":
		os.Exit(runServer(args))
	case "short":
		os.Exit(runShort(args))
	case "crowd":
		os.Exit(runCrowd(args))
	default:
		fmt.Fprintln(os.Stderr, "unknown", os.Args[1])
		os.Exit(notRun)
	}
}

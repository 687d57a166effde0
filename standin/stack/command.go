package stack

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the commands that run stacks.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main is the main function of a command that runs stacks: it parses the
// command line into options, validates them by check, and calls run. It exits
// with code 2 for invalid options and code 1 for a failed run.
func Main(name string, options any, check, run func() error) {
	if _, err := flags.Parse(options); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s failed: %v\n", name, err)
		os.Exit(exitFailed)
	}
}

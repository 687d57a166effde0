package stack

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the commands that run stacks.
const (
	exitFailed  = 1
	exitMistake = 2
)

// Main is the main function of a command that runs stacks: it parses the
// command line into options, which check may refuse, and runs it. It ends the
// process with exit code 2 for a mistake and 1 for a failed run.
func Main(name string, options any, check, run func() error) {
	if _, err := flags.Parse(options); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitMistake)
	}
	if err := check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitMistake)
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s failed: %v\n", name, err)
		os.Exit(exitFailed)
	}
}

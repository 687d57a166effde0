// Package ctl implements the carawayctl command line: it checks and publishes
// service files and shows the state of daemons.
package ctl

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// ExitCode is the exit status of a carawayctl process.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = iota
	// ExitFailed means that the call was made and failed.
	ExitFailed
	// ExitUsage means that the command line or a file is invalid, or that the
	// daemon rejected the request as invalid. Nothing was changed.
	ExitUsage
	// ExitConflict means that a publication was rejected as a whole because it
	// conflicts with the revision in force.
	ExitConflict
	// ExitUnreachable means that the daemon did not answer.
	ExitUnreachable
	// ExitTimeout means that the awaited state was not reached in time.
	ExitTimeout
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func exitErrorf(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

// options are the options common to all subcommands.
type options struct {
	Admin  string `long:"admin" env:"CARAWAY_ADMIN" description:"ip:port of a daemon's admin listener, or several with commas: explain and evacuations ask all of them, drain takes one, the rest use the first that can be reached" default:"127.0.0.1:7401"`
	CA     string `long:"ca" env:"CARAWAY_ADMIN_CA" description:"PEM file of the authority of the admin listener's certificate; clear text when empty"`
	Cert   string `long:"certificate" env:"CARAWAY_ADMIN_CERTIFICATE" description:"PEM file of your certificate, where daemons ask operators for one"`
	Key    string `long:"key" env:"CARAWAY_ADMIN_KEY" description:"PEM file of the certificate's key"`
	Output string `short:"o" long:"output" description:"output format" choice:"table" choice:"json" default:"table"`
}

// command holds the options and output streams of one run.
type command struct {
	options
	stdout, stderr io.Writer
}

// Run runs one command line and returns the exit code. It writes results to
// stdout and errors to stderr.
func Run(args []string, stdout, stderr io.Writer) ExitCode {
	c := &command{stdout: stdout, stderr: stderr}
	p := flags.NewNamedParser("carawayctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Connection", "", &c.options); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	for _, sub := range c.commands() {
		if _, err := p.AddCommand(sub.name, sub.short, sub.long, sub.run); err != nil {
			fmt.Fprintln(stderr, err)
			return ExitUsage
		}
	}
	_, err := p.ParseArgs(args)
	return c.reportError(err)
}

// reportError prints err, if any, and returns the matching exit code.
func (c *command) reportError(err error) ExitCode {
	var flagErr *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(c.stdout, flagErr.Message)
		return ExitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(c.stderr, flagErr.Message)
		return ExitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(c.stderr, exit.Error())
		return exit.code
	default:
		fmt.Fprintln(c.stderr, err)
		return ExitFailed
	}
}

type subcommand struct {
	name, short, long string
	run               flags.Commander
}

func (c *command) commands() []subcommand {
	return []subcommand{
		{"validate", "check service files", "Checks service files without a daemon and prints every mistake with its line and column.", &validateCommand{ctl: c}},
		{"publish", "put service files into force", "Puts all services of the given files into force together, or none of them.", &publishCommand{ctl: c}},
		{"diff", "compare service files with what is in force", "Prints how each file differs from the service in force.", &diffCommand{ctl: c}},
		{"sync", "note the revisions in force", "Writes the revisions in force to the revisions file, after you have taken in what others published.", &syncCommand{ctl: c}},
		{"history", "who changed a service, and when", "Lists the accepted changes of a service, newest first.", &historyCommand{ctl: c}},
		{"rollback", "publish an older revision again", "Puts an older body of a service into force as a new revision.", &rollbackCommand{ctl: c}},
		{"status", "a daemon, its peers, streams and leases", "Shows a daemon's state; with --watch again every second.", &statusCommand{ctl: c}},
		{"services", "services in force", "Lists the services in force with their groups.", &servicesCommand{ctl: c}},
		{"groups", "replica groups", "Lists the replica groups and whether they are whole.", &groupsCommand{ctl: c}},
		{"explain", "decisions about a request or a group", "Shows the decisions that the daemons at --admin made about a request or a group.", &explainCommand{ctl: c}},
		{"suspects", "requests that are refused as crashing", "Lists the verdicts on requests that seem to crash backend servers.", &suspectsCommand{ctl: c}},
		{"clear", "let a suspect run", "Lifts the verdict on a fingerprint and lets its requests run for as long as a verdict lasts.", &clearCommand{ctl: c}},
		{"evacuations", "evacuated zones, and what runs there", "Lists the evacuated availability zones at each daemon at --admin: for how long it has known, and its requests that still run there.", &evacuationsCommand{ctl: c}},
		{"drain", "begin the daemon's planned stop", "Begins the planned stop of the daemon at --admin.", &drainCommand{ctl: c}},
		{"version", "version of carawayctl", "Prints the version.", &versionCommand{ctl: c}},
	}
}

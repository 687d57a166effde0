package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
)

type explainCommand struct {
	ctl  *command
	Log  []string `long:"log" description:"file of a daemon's log lines to read in place of asking daemons, - for the standard input; may be given more than once"`
	Args struct {
		ID string `positional-arg-name:"REQUEST" description:"request id or group id" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (e *explainCommand) Execute([]string) error {
	if len(e.Log) > 0 {
		return e.explainLogs()
	}
	decisions, err := e.fetchDecisions()
	if err != nil {
		return err
	}
	if len(decisions) == 0 {
		return exitErrorf(ExitFailed, "no daemon at %s keeps a decision about %q", e.ctl.Admin, e.Args.ID)
	}
	var rows [][]string
	for _, d := range decisions {
		rows = append(rows, []string{d.Time, d.Daemon, strconv.Itoa(int(d.Event)), d.Text})
	}
	return e.ctl.printResult(&carawayv1.ExplainResponse{Decisions: decisions}, []string{"TIME", "DAEMON", "EVENT", "DECISION"}, rows)
}

// fetchDecisions asks every daemon in --admin and returns the recorded
// decisions, oldest first. A daemon that does not answer is reported on stderr;
// an error is returned only if no daemon answers.
func (e *explainCommand) fetchDecisions() ([]*carawayv1.Decision, error) {
	var out []*carawayv1.Decision
	var lastErr error
	answered := 0
	for _, address := range e.ctl.addresses() {
		resp, err := e.explainAt(address)
		if err != nil {
			fmt.Fprintf(e.ctl.stderr, "%s: %v\n", address, err)
			lastErr = err
			continue
		}
		answered++
		out = append(out, resp.Decisions...)
	}
	if answered == 0 {
		return nil, lastErr
	}
	slices.SortStableFunc(out, func(a, b *carawayv1.Decision) int { return strings.Compare(a.Time, b.Time) })
	return out, nil
}

func (e *explainCommand) explainAt(address string) (*carawayv1.ExplainResponse, error) {
	client, err := e.ctl.adminClient(address)
	if err != nil {
		return nil, err
	}
	return call(client.Explain, &carawayv1.ExplainRequest{RequestId: e.Args.ID})
}

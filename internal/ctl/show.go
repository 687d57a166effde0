package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
)

// Version is the version of carawayctl.
const Version = "0.1.0"

type statusCommand struct {
	ctl   *command
	Watch bool `long:"watch" description:"show again every second until interrupted"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	for {
		if err := s.printStatus(); err != nil || !s.Watch {
			return err
		}
		fmt.Fprintln(s.ctl.stdout)
		time.Sleep(time.Second)
	}
}

func (s *statusCommand) printStatus() error {
	client, err := s.ctl.firstReachableAdmin()
	if err != nil {
		return err
	}
	st, err := call(client.GetStatus, &carawayv1.GetStatusRequest{})
	if err != nil {
		return err
	}
	if s.ctl.Output == "json" {
		return s.ctl.printResult(st, nil, nil)
	}
	fmt.Fprintf(s.ctl.stdout, "daemon %s in %s: ready %s%s, configuration revision %d, log reachable %s, %d in flight\n\n",
		st.Daemon, st.AvailabilityZone, yesNo(st.Ready), inParentheses(st.Reason), st.ConfigRevision, yesNo(st.LogReachable), st.InFlight)
	var rows [][]string
	for _, p := range st.Peers {
		rows = append(rows, []string{p.Daemon, p.Address, yesNo(p.Alive), yesNo(p.Ready), strconv.FormatUint(p.ConfigRevision, 10), formatAgo(p.HeardAgo)})
	}
	if err := s.ctl.printResult(nil, []string{"PEER", "ADDRESS", "ALIVE", "READY", "REVISION", "HEARD"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(s.ctl.stdout)
	rows = nil
	for _, x := range st.Streams {
		rows = append(rows, []string{x.Stream, strconv.FormatUint(x.Next, 10), formatAgo(x.ConfirmedAgo), x.Problem})
	}
	if err := s.ctl.printResult(nil, []string{"STREAM", "NEXT", "CONFIRMED", "PROBLEM"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(s.ctl.stdout)
	rows = nil
	for _, l := range st.Leases {
		rows = append(rows, []string{l.Scope, strconv.FormatUint(l.Term, 10), l.Holder})
	}
	return s.ctl.printResult(nil, []string{"LEASE", "TERM", "HOLDER"}, rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func inParentheses(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}

func formatAgo(d *durationpb.Duration) string {
	if d == nil {
		return "never"
	}
	return formatDuration(d) + " ago"
}

func formatDuration(d *durationpb.Duration) string {
	return d.AsDuration().Round(10 * time.Millisecond).String()
}

type servicesCommand struct{ ctl *command }

// Execute implements flags.Commander.
func (s *servicesCommand) Execute([]string) error {
	client, err := s.ctl.firstReachableAdmin()
	if err != nil {
		return err
	}
	resp, err := call(client.ListServices, &carawayv1.ListServicesRequest{})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, x := range resp.Services {
		rows = append(rows, []string{x.Service, x.Kind, strconv.FormatUint(x.Revision, 10), x.Author, x.Owner,
			fmt.Sprintf("%d/%d", x.GroupsWhole, x.GroupsWanted)})
	}
	return s.ctl.printResult(resp, []string{"SERVICE", "KIND", "REVISION", "AUTHOR", "OWNER", "WHOLE"}, rows)
}

type groupsCommand struct {
	ctl     *command
	Service string `long:"service" description:"only the groups of this service"`
}

// Execute implements flags.Commander.
func (g *groupsCommand) Execute([]string) error {
	client, err := g.ctl.firstReachableAdmin()
	if err != nil {
		return err
	}
	resp, err := call(client.ListGroups, &carawayv1.ListGroupsRequest{Service: g.Service})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, x := range resp.Groups {
		rows = append(rows, []string{x.Group, x.Service, x.Version, strconv.FormatUint(x.Epoch, 10), x.State, yesNo(x.Whole) + inParentheses(strings.TrimPrefix(x.Reason, "whole")),
			x.FabricDomain, strings.Join(x.Members, ","), strings.Join(x.Spares, ","), strconv.Itoa(int(x.InFlight))})
	}
	return g.ctl.printResult(resp, []string{"GROUP", "SERVICE", "VERSION", "EPOCH", "STATE", "WHOLE", "FABRIC", "MEMBERS", "SPARES", "IN FLIGHT"}, rows)
}

type suspectsCommand struct{ ctl *command }

// Execute implements flags.Commander.
func (s *suspectsCommand) Execute([]string) error {
	client, err := s.ctl.firstReachableAdmin()
	if err != nil {
		return err
	}
	resp, err := call(client.ListSuspects, &carawayv1.ListSuspectsRequest{})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, x := range resp.Suspects {
		kind := "request"
		if x.Part {
			kind = "part"
		}
		rows = append(rows, []string{x.Fingerprint, kind, x.Service, strconv.Itoa(int(x.Deaths)), strconv.Itoa(int(x.Survivals)), x.Decided, x.Until, yesNo(x.Cleared)})
	}
	return s.ctl.printResult(resp, []string{"FINGERPRINT", "KIND", "SERVICE", "DEATHS", "SURVIVALS", "DECIDED", "UNTIL", "CLEARED"}, rows)
}

type clearCommand struct {
	ctl  *command
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *clearCommand) Execute([]string) error {
	client, err := c.ctl.firstReachableAdmin()
	if err != nil {
		return err
	}
	if _, err := call(client.ClearSuspect, &carawayv1.ClearSuspectRequest{Fingerprint: c.Args.Fingerprint}); err != nil {
		return err
	}
	fmt.Fprintf(c.ctl.stdout, "%s may run\n", c.Args.Fingerprint)
	return nil
}

type drainCommand struct{ ctl *command }

// Execute implements flags.Commander.
func (d *drainCommand) Execute([]string) error {
	if len(d.ctl.addresses()) > 1 {
		return exitErrorf(ExitUsage, "--admin: name the one daemon to drain")
	}
	client, err := d.ctl.firstReachableAdmin()
	if err != nil {
		return err
	}
	resp, err := call(client.Drain, &carawayv1.DrainRequest{})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.ctl.stdout, "draining, %d in flight\n", resp.InFlight)
	return nil
}

type versionCommand struct{ ctl *command }

// Execute implements flags.Commander.
func (v *versionCommand) Execute([]string) error {
	fmt.Fprintln(v.ctl.stdout, Version)
	return nil
}

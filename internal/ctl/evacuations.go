package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
)

type evacuationsCommand struct{ ctl *command }

// Execute implements flags.Commander. It asks every daemon in --admin, and fails after
// the table if one does not answer: a zone may only be taken for empty if all do.
func (e *evacuationsCommand) Execute([]string) error {
	var lists []*carawayv1.ListEvacuationsResponse
	var failed []string
	var lastErr error
	for _, address := range e.ctl.addresses() {
		list, err := e.listAt(address)
		if err != nil {
			fmt.Fprintf(e.ctl.stderr, "%s: %v\n", address, err)
			failed, lastErr = append(failed, address), err
			continue
		}
		lists = append(lists, list)
	}
	if len(lists) == 0 {
		return lastErr
	}
	if err := e.ctl.printResult(lists, []string{"ZONE", "DAEMON", "KNOWN FOR", "IN FLIGHT", "EMPTY"}, evacuationRows(lists)); err != nil {
		return err
	}
	if len(failed) > 0 {
		return exitErrorf(ExitUnreachable, "%d of %d daemons did not tell: %s", len(failed), len(e.ctl.addresses()), strings.Join(failed, ", "))
	}
	return nil
}

func (e *evacuationsCommand) listAt(address string) (*carawayv1.ListEvacuationsResponse, error) {
	client, err := e.ctl.adminClient(address)
	if err != nil {
		return nil, err
	}
	return call(client.ListEvacuations, &carawayv1.ListEvacuationsRequest{})
}

// evacuationRows returns a row for each daemon and zone, sorted by zone, also for daemons
// that do not know of an evacuation of which others know.
func evacuationRows(lists []*carawayv1.ListEvacuationsResponse) [][]string {
	zones := map[string]bool{}
	for _, l := range lists {
		for _, x := range l.Evacuations {
			zones[x.AvailabilityZone] = true
		}
	}
	var rows [][]string
	for _, l := range lists {
		knows := map[string]bool{}
		for _, x := range l.Evacuations {
			knows[x.AvailabilityZone] = true
			rows = append(rows, []string{x.AvailabilityZone, l.Daemon, formatDuration(x.KnownFor), strconv.FormatUint(uint64(x.InFlight), 10), formatAgo(x.EmptyAgo)})
		}
		for zone := range zones {
			if !knows[zone] {
				rows = append(rows, []string{zone, l.Daemon, "not known", "-", "-"})
			}
		}
	}
	slices.SortStableFunc(rows, func(a, b []string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	return rows
}

package ctl

import (
	"fmt"
	"strconv"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/internal/service"
)

type diffCommand struct {
	ctl  *command
	Args fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (d *diffCommand) Execute([]string) error {
	files, err := d.Args.read()
	if err != nil {
		return err
	}
	active, err := d.ctl.servicesInForce()
	if err != nil {
		return err
	}
	for _, f := range files {
		name := string(f.spec.Service)
		current := active[name]
		switch {
		case current == nil:
			fmt.Fprintf(d.ctl.stdout, "%s: not in force yet\n", name)
		case current.Body == f.body:
			fmt.Fprintf(d.ctl.stdout, "%s: no difference from revision %d\n", name, current.Revision)
		default:
			fmt.Fprintf(d.ctl.stdout, "%s: from revision %d by %s to %s\n%s\n", name, current.Revision, current.Author, f.path, service.Diff(current.Body, f.body))
		}
	}
	return nil
}

// servicesInForce returns the services that the daemon has in force, by name.
func (c *command) servicesInForce() (map[string]*carawayv1.ServiceStatus, error) {
	client, err := c.firstReachableAdmin()
	if err != nil {
		return nil, err
	}
	resp, err := call(client.ListServices, &carawayv1.ListServicesRequest{})
	if err != nil {
		return nil, err
	}
	out := map[string]*carawayv1.ServiceStatus{}
	for _, s := range resp.Services {
		out[s.Service] = s
	}
	return out, nil
}

type syncCommand struct {
	ctl *command
	revisionsFile
}

// Execute implements flags.Commander.
func (s *syncCommand) Execute([]string) error {
	active, err := s.ctl.servicesInForce()
	if err != nil {
		return err
	}
	revisions := map[string]uint64{}
	for name, st := range active {
		revisions[name] = st.Revision
	}
	if err := s.write(revisions); err != nil {
		return err
	}
	fmt.Fprintf(s.ctl.stdout, "%s: noted %d services\n", s.Path, len(revisions))
	return nil
}

type serviceArg struct {
	Service string `positional-arg-name:"SERVICE" required:"1"`
}

type historyCommand struct {
	ctl  *command
	Args serviceArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (h *historyCommand) Execute([]string) error {
	entries, err := h.ctl.history(h.Args.Service)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, e := range entries {
		file := e.File
		if e.Removed {
			file = "removed"
		}
		rows = append(rows, []string{strconv.FormatUint(e.Revision, 10), e.Time, e.Author, file, e.Note})
	}
	return h.ctl.printResult(entries, []string{"REVISION", "TIME", "AUTHOR", "FILE", "NOTE"}, rows)
}

func (c *command) history(name string) ([]*carawayv1.HistoryEntry, error) {
	client, err := c.firstReachableAdmin()
	if err != nil {
		return nil, err
	}
	resp, err := call(client.ListHistory, &carawayv1.ListHistoryRequest{Service: name})
	if err != nil {
		return nil, err
	}
	if len(resp.Entries) == 0 {
		return nil, exitErrorf(ExitFailed, "no history of service %q", name)
	}
	return resp.Entries, nil
}

type rollbackCommand struct {
	ctl    *command
	Author string `long:"author" env:"CARAWAY_AUTHOR" description:"who publishes; the name of --certificate when that is given"`
	To     uint64 `long:"to" description:"revision to put into force again" required:"yes"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (r *rollbackCommand) Execute([]string) error {
	if err := r.ctl.checkAuthor(r.Author); err != nil {
		return err
	}
	entries, err := r.ctl.history(r.Args.Service)
	if err != nil {
		return err
	}
	body, err := bodyAt(entries, r.To)
	if err != nil {
		return err
	}
	active, err := r.ctl.servicesInForce()
	if err != nil {
		return err
	}
	var base uint64
	if s := active[r.Args.Service]; s != nil {
		base = s.Revision
	}
	client, err := r.ctl.firstReachableAdmin()
	if err != nil {
		return err
	}
	resp, err := call(client.Publish, &carawayv1.PublishRequest{
		Author:  r.Author,
		Note:    fmt.Sprintf("rollback to revision %d", r.To),
		Changes: []*carawayv1.ServiceChange{{Service: r.Args.Service, BaseRevision: base, Body: body, File: "rollback"}},
	})
	if err != nil {
		return err
	}
	if !resp.Accepted {
		return exitErrorf(ExitConflict, "refused: %s", resp.Conflicts[0].Reason)
	}
	fmt.Fprintf(r.ctl.stdout, "revision %d of %s is in force again as revision %d\n", r.To, r.Args.Service, resp.Revision)
	return nil
}

func bodyAt(entries []*carawayv1.HistoryEntry, revision uint64) (string, error) {
	for _, e := range entries {
		if e.Revision != revision {
			continue
		}
		if e.Body == "" {
			return "", exitErrorf(ExitFailed, "revision %d has no body that could be put into force", revision)
		}
		return e.Body, nil
	}
	return "", exitErrorf(ExitFailed, "revision %d is not in the history", revision)
}

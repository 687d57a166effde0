package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/service"
)

// Bounds of publish --wait.
const (
	waitPoll    = 200 * time.Millisecond
	waitTimeout = 30 * time.Second
	// unheardWait is how long daemons that are announced and not heard are
	// waited for.
	unheardWait = 5 * time.Second
)

// file is one service file as read.
type file struct {
	path string
	body string
	spec *service.Spec
}

// fileArgs are the files of a command line.
type fileArgs struct {
	Paths []string `positional-arg-name:"PATH" description:"service files, or folders whose *.caraway.yaml files are taken" required:"1"`
}

// read reads and checks all files; every mistake is reported at once.
func (a fileArgs) read() ([]file, error) {
	paths, err := expand(a.Paths)
	if err != nil {
		return nil, fail(ExitMistake, "%v", err)
	}
	var files []file
	var mistakes []string
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			mistakes = append(mistakes, err.Error())
			continue
		}
		spec, err := service.Parse(path, body)
		if err != nil {
			mistakes = append(mistakes, err.Error())
			continue
		}
		files = append(files, file{path: path, body: string(body), spec: spec})
	}
	if len(mistakes) > 0 {
		return nil, fail(ExitMistake, "%s", strings.Join(mistakes, "\n"))
	}
	return files, nil
}

// serviceFileSuffix marks the files that a folder is searched for.
const serviceFileSuffix = ".caraway.yaml"

func expand(paths []string) ([]string, error) {
	var out []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			out = append(out, path)
			continue
		}
		err = filepath.WalkDir(path, func(p string, d os.DirEntry, err error) error {
			if err == nil && !d.IsDir() && strings.HasSuffix(p, serviceFileSuffix) {
				out = append(out, p)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if len(out) == 0 {
		return nil, fail(ExitMistake, "no *%s file in %s", serviceFileSuffix, strings.Join(paths, ", "))
	}
	return out, nil
}

// revisionsFile notes the revision each service file was written against.
type revisionsFile struct {
	Path string `long:"revisions" description:"file that notes the revision each service was written against" default:"caraway.revisions"`
}

func (r revisionsFile) read() (map[string]uint64, error) {
	data, err := os.ReadFile(r.Path)
	if os.IsNotExist(err) {
		return map[string]uint64{}, nil
	}
	if err != nil {
		return nil, fail(ExitMistake, "%v", err)
	}
	revisions := map[string]uint64{}
	if err := yaml.Unmarshal(data, &revisions); err != nil {
		return nil, fail(ExitMistake, "%s: %v", r.Path, err)
	}
	return revisions, nil
}

func (r revisionsFile) write(revisions map[string]uint64) error {
	names := make([]string, 0, len(revisions))
	for name := range revisions {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %d\n", name, revisions[name])
	}
	if err := os.WriteFile(r.Path, []byte(b.String()), 0o644); err != nil {
		return fail(ExitFailed, "%v", err)
	}
	return nil
}

type validateCommand struct {
	ctl  *command
	Args fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (v *validateCommand) Execute([]string) error {
	files, err := v.Args.read()
	if err != nil {
		return err
	}
	for _, f := range files {
		fmt.Fprintf(v.ctl.stdout, "%s: service %s is valid\n", f.path, f.spec.Service)
	}
	return nil
}

type publishCommand struct {
	ctl *command
	revisionsFile
	Author string   `long:"author" env:"CARAWAY_AUTHOR" description:"who publishes; must be the owner of each service that has one; the name of --certificate when that is given"`
	Note   string   `long:"note" description:"free text for the history"`
	Remove []string `long:"remove" description:"name of a service to remove"`
	DryRun bool     `long:"dry-run" description:"say what would happen and change nothing"`
	Wait   bool     `long:"wait" description:"return once all live daemons have the revision"`
	Args   struct {
		Paths []string `positional-arg-name:"PATH" description:"service files, or folders whose *.caraway.yaml files are taken"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (p *publishCommand) Execute([]string) error {
	if err := p.ctl.checkAuthor(p.Author); err != nil {
		return err
	}
	if len(p.Args.Paths) == 0 && len(p.Remove) == 0 {
		return fail(ExitMistake, "nothing to publish: give service files or --remove")
	}
	revisions, err := p.revisionsFile.read()
	if err != nil {
		return err
	}
	changes, err := p.changes(revisions)
	if err != nil {
		return err
	}
	client, err := p.ctl.admin()
	if err != nil {
		return err
	}
	resp, err := call(client.Publish, &carawayv1.PublishRequest{
		Author: p.Author, Changes: changes, DryRun: p.DryRun, Note: p.Note,
	})
	if err != nil {
		return err
	}
	if !resp.Accepted {
		return p.conflict(resp)
	}
	if p.DryRun {
		fmt.Fprintf(p.ctl.stdout, "would be accepted over revision %d\n", resp.Revision)
		return nil
	}
	if err := p.note(changes, resp.Revision, revisions); err != nil {
		return err
	}
	fmt.Fprintf(p.ctl.stdout, "accepted as revision %d\n", resp.Revision)
	if p.Wait {
		return p.wait(client, resp.Revision)
	}
	return nil
}

func (p *publishCommand) changes(revisions map[string]uint64) ([]*carawayv1.ServiceChange, error) {
	var changes []*carawayv1.ServiceChange
	if len(p.Args.Paths) > 0 {
		files, err := fileArgs{Paths: p.Args.Paths}.read()
		if err != nil {
			return nil, err
		}
		for _, f := range files {
			name := string(f.spec.Service)
			changes = append(changes, &carawayv1.ServiceChange{
				Service: name, BaseRevision: revisions[name], Body: f.body, File: filepath.Base(f.path),
			})
		}
	}
	for _, name := range p.Remove {
		changes = append(changes, &carawayv1.ServiceChange{Service: name, BaseRevision: revisions[name]})
	}
	return changes, nil
}

// note writes the new revisions of the published services down.
func (p *publishCommand) note(changes []*carawayv1.ServiceChange, revision uint64, revisions map[string]uint64) error {
	for _, c := range changes {
		if c.Body == "" {
			delete(revisions, c.Service)
		} else {
			revisions[c.Service] = revision
		}
	}
	return p.write(revisions)
}

func (p *publishCommand) conflict(resp *carawayv1.PublishResponse) error {
	var b strings.Builder
	fmt.Fprintf(&b, "refused, nothing was changed; revision %d is in force", resp.Revision)
	for _, c := range resp.Conflicts {
		fmt.Fprintf(&b, "\n\n%s: %s: written against revision %d, in force is revision %d by %s\n%s",
			c.Service, c.Reason, c.BaseRevision, c.CurrentRevision, orNobody(c.CurrentAuthor), c.Difference)
	}
	fmt.Fprint(&b, "\n\ntake the difference into your file, run carawayctl sync, and publish again")
	return fail(ExitConflict, "%s", b.String())
}

func orNobody(author string) string {
	if author == "" {
		return "nobody"
	}
	return author
}

// wait polls the daemon until it and all its live peers report the revision.
// Daemons that are announced and not yet heard are waited for as well, for a
// while: they may be starting, or gone.
func (p *publishCommand) wait(client carawayv1connect.AdminServiceClient, revision uint64) error {
	began := time.Now()
	last := ""
	for time.Since(began) < waitTimeout {
		st, err := call(client.GetStatus, &carawayv1.GetStatusRequest{})
		if err != nil {
			return err
		}
		up := takenUp(st, revision)
		if line := up.String(); line != last {
			fmt.Fprintln(p.ctl.stdout, line)
			last = line
		}
		if up.have == up.live && (up.unheard == 0 || time.Since(began) > unheardWait) {
			return nil
		}
		time.Sleep(waitPoll)
	}
	return fail(ExitTimeout, "not in force everywhere after %s", waitTimeout)
}

// uptake is how many daemons have a revision.
type uptake struct {
	revision            uint64
	have, live, unheard int
}

// String tells the uptake in one line.
func (u uptake) String() string {
	line := fmt.Sprintf("%d of %d daemons have revision %d", u.have, u.live, u.revision)
	if u.unheard > 0 {
		line += fmt.Sprintf(", %d announced and not heard", u.unheard)
	}
	return line
}

func takenUp(st *carawayv1.GetStatusResponse, revision uint64) uptake {
	u := uptake{revision: revision}
	count := func(r uint64) {
		u.live++
		if r >= revision {
			u.have++
		}
	}
	count(st.ConfigRevision)
	for _, peer := range st.Peers {
		if peer.Alive {
			count(peer.ConfigRevision)
		} else {
			u.unheard++
		}
	}
	return u
}

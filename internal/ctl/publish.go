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

// Timing of publish --wait.
const (
	waitPollInterval = 200 * time.Millisecond
	waitTimeout      = 30 * time.Second
	// unresponsiveTimeout bounds the wait for daemons that are announced but not
	// reported alive.
	unresponsiveTimeout = 5 * time.Second
)

// serviceFile is a service file that has been read and parsed.
type serviceFile struct {
	path string
	body string
	spec *service.Spec
}

// fileArgs are the positional arguments that name service files.
type fileArgs struct {
	Paths []string `positional-arg-name:"PATH" description:"service files, or folders whose *.caraway.yaml files are taken" required:"1"`
}

// read reads and parses all files. The error lists the faults of all files.
func (a fileArgs) read() ([]serviceFile, error) {
	paths, err := expandPaths(a.Paths)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%v", err)
	}
	var files []serviceFile
	var problems []string
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			problems = append(problems, err.Error())
			continue
		}
		spec, err := service.Parse(path, body)
		if err != nil {
			problems = append(problems, err.Error())
			continue
		}
		files = append(files, serviceFile{path: path, body: string(body), spec: spec})
	}
	if len(problems) > 0 {
		return nil, exitErrorf(ExitUsage, "%s", strings.Join(problems, "\n"))
	}
	return files, nil
}

// serviceFileSuffix is the suffix of service files in a folder.
const serviceFileSuffix = ".caraway.yaml"

func expandPaths(paths []string) ([]string, error) {
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
		return nil, exitErrorf(ExitUsage, "no *%s file in %s", serviceFileSuffix, strings.Join(paths, ", "))
	}
	return out, nil
}

// revisionsFile records, for each service, the revision that its local file is
// based on.
type revisionsFile struct {
	Path string `long:"revisions" description:"file that notes the revision each service was written against" default:"caraway.revisions"`
}

func (r revisionsFile) read() (map[string]uint64, error) {
	data, err := os.ReadFile(r.Path)
	if os.IsNotExist(err) {
		return map[string]uint64{}, nil
	}
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%v", err)
	}
	revisions := map[string]uint64{}
	if err := yaml.Unmarshal(data, &revisions); err != nil {
		return nil, exitErrorf(ExitUsage, "%s: %v", r.Path, err)
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
		return exitErrorf(ExitFailed, "%v", err)
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
		return exitErrorf(ExitUsage, "nothing to publish: give service files or --remove")
	}
	revisions, err := p.revisionsFile.read()
	if err != nil {
		return err
	}
	changes, err := p.changes(revisions)
	if err != nil {
		return err
	}
	client, err := p.ctl.firstReachableAdmin()
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
		return p.conflictError(resp)
	}
	if p.DryRun {
		fmt.Fprintf(p.ctl.stdout, "would be accepted over revision %d\n", resp.Revision)
		return nil
	}
	if err := p.recordRevisions(changes, resp.Revision, revisions); err != nil {
		return err
	}
	fmt.Fprintf(p.ctl.stdout, "accepted as revision %d\n", resp.Revision)
	if p.Wait {
		return p.waitForRollout(client, resp.Revision)
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

// recordRevisions writes the new revisions of the published services to the
// revisions file.
func (p *publishCommand) recordRevisions(changes []*carawayv1.ServiceChange, revision uint64, revisions map[string]uint64) error {
	for _, c := range changes {
		if c.Body == "" {
			delete(revisions, c.Service)
		} else {
			revisions[c.Service] = revision
		}
	}
	return p.write(revisions)
}

func (p *publishCommand) conflictError(resp *carawayv1.PublishResponse) error {
	var b strings.Builder
	fmt.Fprintf(&b, "refused, nothing was changed; revision %d is in force", resp.Revision)
	for _, c := range resp.Conflicts {
		fmt.Fprintf(&b, "\n\n%s: %s: written against revision %d, in force is revision %d by %s\n%s",
			c.Service, c.Reason, c.BaseRevision, c.CurrentRevision, authorOrNobody(c.CurrentAuthor), c.Difference)
	}
	fmt.Fprint(&b, "\n\ntake the difference into your file, run carawayctl sync, and publish again")
	return exitErrorf(ExitConflict, "%s", b.String())
}

func authorOrNobody(author string) string {
	if author == "" {
		return "nobody"
	}
	return author
}

// waitForRollout polls the daemon until it and all its live peers report the
// revision. It also waits, for at most unresponsiveTimeout, for daemons that are
// announced but not reported alive: they may be starting, or have terminated.
func (p *publishCommand) waitForRollout(client carawayv1connect.AdminServiceClient, revision uint64) error {
	start := time.Now()
	last := ""
	for time.Since(start) < waitTimeout {
		st, err := call(client.GetStatus, &carawayv1.GetStatusRequest{})
		if err != nil {
			return err
		}
		progress := countRollout(st, revision)
		if line := progress.String(); line != last {
			fmt.Fprintln(p.ctl.stdout, line)
			last = line
		}
		if progress.updated == progress.live && (progress.unresponsive == 0 || time.Since(start) > unresponsiveTimeout) {
			return nil
		}
		time.Sleep(waitPollInterval)
	}
	return exitErrorf(ExitTimeout, "not in force everywhere after %s", waitTimeout)
}

// rollout counts the daemons that have a revision.
type rollout struct {
	revision                    uint64
	updated, live, unresponsive int
}

// String formats the progress of the rollout as one line.
func (r rollout) String() string {
	line := fmt.Sprintf("%d of %d daemons have revision %d", r.updated, r.live, r.revision)
	if r.unresponsive > 0 {
		line += fmt.Sprintf(", %d announced and not heard", r.unresponsive)
	}
	return line
}

func countRollout(st *carawayv1.GetStatusResponse, revision uint64) rollout {
	r := rollout{revision: revision}
	count := func(have uint64) {
		r.live++
		if have >= revision {
			r.updated++
		}
	}
	count(st.ConfigRevision)
	for _, peer := range st.Peers {
		if peer.Alive {
			count(peer.ConfigRevision)
		} else {
			r.unresponsive++
		}
	}
	return r
}

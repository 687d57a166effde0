package routes

import (
	"cmp"
	"slices"
	"strings"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/service"
)

// Table is an immutable index of one document.
type Table struct {
	Document *Document
	// Catalog lists each plain service, and each model of an engine service, as
	// a separate service.
	Catalog *service.Catalog
	// HasColdServers is set if the servers of any service may be cold.
	HasColdServers bool

	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Workspace
	services map[string]*Service
}

// NewTable indexes a document.
func NewTable(d *Document) *Table {
	t := &Table{
		Document: d,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Workspace{},
		services: map[string]*Service{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			t.byKey[key] = &d.Workspaces[i]
		}
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
		t.HasColdServers = t.HasColdServers || d.Services[i].ColdRequestsPerSecond > 0
	}
	t.Catalog = catalogOf(d)
	return t
}

// Match returns the route for a request: the one with the longest matching path
// prefix among the routes of its host. The host may include a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace that an API key belongs to.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// NeedsKey reports whether requests of the route must carry a known key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Document.Workspaces) > 0 && !r.Public }

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService selects one of the route's services by weight; at is between 0
// and 1.
func (r *Route) PickService(at float64) string {
	total := 0.0
	for _, w := range r.Targets {
		total += w.Weight
	}
	at *= total
	for _, w := range r.Targets {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Repeatable reports whether a request may be retried at another backend server
// after it may have begun to run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Model returns the engine's model with the given name.
func (e *Engine) Model(name string) (*Model, bool) {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i], true
		}
	}
	return nil, false
}

// CommonHomes returns the regions that may run a request whose route and workspace have
// these homes; empty for all. It reports false if no region is a home of both.
func CommonHomes(route, workspace []fleet.Region) (homes []fleet.Region, ok bool) {
	if len(route) == 0 {
		return workspace, true
	}
	if len(workspace) == 0 {
		return route, true
	}
	for _, r := range route {
		if slices.Contains(workspace, r) {
			homes = append(homes, r)
		}
	}
	return homes, len(homes) > 0
}

// PublicWorkspace is the workspace of callers of public routes without a key.
const PublicWorkspace fleet.Workspace = "(public)"

// catalogOf returns the services that requests are routed to.
func catalogOf(d *Document) *service.Catalog {
	c := &service.Catalog{Revision: d.Version, Services: map[fleet.ServiceName]*service.Published{}}
	workspaces := []service.WorkspaceSpec{{Name: PublicWorkspace}}
	for _, w := range d.Workspaces {
		workspaces = append(workspaces, service.WorkspaceSpec{Name: w.Name})
	}
	add := func(spec service.Spec) {
		spec.Workspaces = workspaces
		c.Services[spec.Service] = &service.Published{Spec: spec, Revision: d.Version}
	}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine == nil {
			add(service.Spec{Service: fleet.ServiceName(s.Name), Kind: fleet.KindPlain, Pool: fleet.Pool(s.Name)})
			continue
		}
		for _, m := range s.Engine.Models {
			add(service.Spec{
				Service:  ModelService(s.Name, m.Name),
				Kind:     fleet.KindEngine,
				Pool:     fleet.Pool(s.Name),
				Model:    m.Name,
				Replicas: service.ReplicaSpec{Instances: m.Size, LoadTime: m.LoadTime},
			})
		}
	}
	return c
}

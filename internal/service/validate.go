package service

import (
	"regexp"
	"strings"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Defaults of the fields that a service file leaves out.
const (
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxTokens    = 1024
	DefaultDeadline     = 30 * time.Second
	DefaultMaxDeadline  = 120 * time.Second
	DefaultMaxAttempts  = 3
	DefaultRetryRatio   = 0.1
	DefaultDowntime     = 1.0 // weights.downtime
	DefaultStranded     = 1.0 // weights.stranded
	DefaultLoadTime     = 20 * time.Second
	DefaultInstances    = 1 // replicas.instances
	DefaultGroups       = 1 // versions[].groups
	DefaultShare        = 1.0
	DefaultRole         = fleet.Role("serve")
)

// Bounds of the fields.
const (
	maxBodyBytes = 64 << 20
	maxTokens    = 1 << 20
	maxDeadline  = time.Hour
	maxAttempts  = 10
	maxInstances = 1024
	maxGroups    = 100_000
	maxLoadTime  = 6 * time.Hour
	maxWeight    = 1e6
	maxShare     = 1e6
)

const nameRule = "letters, digits, '.', '_', '-' and '/', from 1 to 128, the first a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)

// validator checks a decoded file and fills in its defaults.
type validator struct {
	*decoder
	spec *Spec
}

func (v *validator) all() {
	v.identity()
	if v.spec.Kind == fleet.KindEngine {
		v.engine()
	}
	if v.spec.Kind == fleet.KindPlain {
		v.plain()
	}
	v.workspaces()
	v.limits()
	v.weights()
}

// wrong notes a mistake at a field, or at its nearest parent that is there.
func (v *validator) wrong(path, format string, args ...any) {
	at, ok := v.at[path]
	for parent := path; !ok && parent != ""; {
		parent = parent[:max(0, strings.LastIndexAny(parent, ".["))]
		at, ok = v.at[parent]
	}
	if !ok {
		at = position{line: 1, column: 1}
	}
	v.fail(at, path, format, args...)
}

func (v *validator) has(path string) bool {
	_, ok := v.at[path]
	return ok
}

func (v *validator) name(path, value string) {
	if !namePattern.MatchString(value) {
		v.wrong(path, "is required: %s", nameRule)
	}
}

func (v *validator) optionalName(path, value string) {
	if v.has(path) {
		v.name(path, value)
	}
}

// unique checks the names of a list's items.
func (v *validator) unique(list string, names []string, field string) {
	seen := map[string]bool{}
	for i, name := range names {
		path := indexed(list, i)
		if field != "" {
			path = join(path, field)
		}
		v.name(path, name)
		if seen[name] {
			v.wrong(path, "%q stands twice", name)
		}
		seen[name] = true
	}
}

func (v *validator) none(path, kind string) {
	if v.has(path) {
		v.wrong(path, "is for kind %s only", kind)
	}
}

func (v *validator) identity() {
	s := v.spec
	v.name("service", string(s.Service))
	if s.Kind != fleet.KindEngine && s.Kind != fleet.KindPlain {
		v.wrong("kind", "is required: %s or %s", fleet.KindEngine, fleet.KindPlain)
	}
	v.optionalName("owner", s.Owner)
	v.optionalName("pool", string(s.Pool))
}

func (v *validator) engine() {
	s := v.spec
	v.none("methods", "plain")
	v.name("model", s.Model)
	if len(s.Versions) == 0 {
		v.wrong("versions", "at least one version is required for kind engine")
	}
	var names, adapters []string
	for i := range s.Versions {
		version := &s.Versions[i]
		path := indexed("versions", i)
		names = append(names, string(version.Name))
		number(v, join(path, "groups"), &version.Groups, DefaultGroups, 1, maxGroups)
		if !v.has(join(path, "role")) {
			version.Role = DefaultRole
		}
		v.name(join(path, "role"), string(version.Role))
	}
	for _, a := range s.Adapters {
		adapters = append(adapters, string(a))
	}
	v.unique("versions", names, "name")
	v.unique("adapters", adapters, "")
	number(v, "replicas.instances", &s.Replicas.Instances, DefaultInstances, 1, maxInstances)
	number(v, "replicas.spares", &s.Replicas.Spares, 0, 0, maxInstances)
	number(v, "replicas.load_time", &s.Replicas.LoadTime, DefaultLoadTime, time.Millisecond, maxLoadTime)
}

func (v *validator) plain() {
	for _, path := range []string{"model", "versions", "adapters", "replicas"} {
		v.none(path, "engine")
	}
	if len(v.spec.Methods) == 0 {
		v.wrong("methods", "at least one method is required for kind plain")
	}
	var names []string
	for _, m := range v.spec.Methods {
		names = append(names, string(m.Name))
	}
	v.unique("methods", names, "name")
}

func (v *validator) workspaces() {
	if len(v.spec.Workspaces) == 0 {
		v.wrong("workspaces", "at least one workspace is required")
	}
	var names []string
	for i := range v.spec.Workspaces {
		w := &v.spec.Workspaces[i]
		names = append(names, string(w.Name))
		number(v, join(indexed("workspaces", i), "share"), &w.Share, DefaultShare, 1/maxShare, maxShare)
	}
	v.unique("workspaces", names, "name")
}

func (v *validator) limits() {
	l := &v.spec.Limits
	number(v, "limits.max_body_bytes", &l.MaxBodyBytes, DefaultMaxBodyBytes, 1, maxBodyBytes)
	number(v, "limits.max_tokens", &l.MaxTokens, DefaultMaxTokens, 1, maxTokens)
	number(v, "limits.max_deadline", &l.MaxDeadline, DefaultMaxDeadline, time.Millisecond, maxDeadline)
	number(v, "limits.default_deadline", &l.DefaultDeadline, min(DefaultDeadline, l.MaxDeadline), time.Millisecond, max(time.Millisecond, l.MaxDeadline))
	number(v, "limits.max_attempts", &l.MaxAttempts, DefaultMaxAttempts, 1, maxAttempts)
	number(v, "limits.retry_ratio", &l.RetryRatio, DefaultRetryRatio, 0, 1)
}

func (v *validator) weights() {
	w := &v.spec.Weights
	number(v, "weights.downtime", &w.Downtime, DefaultDowntime, 0, maxWeight)
	number(v, "weights.stranded", &w.Stranded, DefaultStranded, 0, maxWeight)
}

// number gives a field that is left out its default and checks the bounds of
// one that is there.
func number[T int | uint32 | float64 | time.Duration](v *validator, path string, field *T, byDefault, low, high T) {
	if !v.has(path) {
		*field = byDefault
		return
	}
	if !(*field >= low && *field <= high) {
		v.wrong(path, "is %v; allowed are %v to %v", *field, low, high)
	}
}

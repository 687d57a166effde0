package service

import (
	"regexp"
	"strings"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Default values of fields that a service file leaves out.
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

// Bounds of field values.
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

// validator validates a decoded file and fills in default values.
type validator struct {
	*decoder
	spec *Spec
}

func (v *validator) validate() {
	v.validateIdentity()
	if v.spec.Kind == fleet.KindEngine {
		v.validateEngine()
	}
	if v.spec.Kind == fleet.KindPlain {
		v.validatePlain()
	}
	v.validateWorkspaces()
	v.validateLimits()
	v.validateWeights()
}

// addFieldError records an error at the position of a field, or of its nearest
// parent that is present.
func (v *validator) addFieldError(path, format string, args ...any) {
	at, ok := v.positions[path]
	for parent := path; !ok && parent != ""; {
		parent = parent[:max(0, strings.LastIndexAny(parent, ".["))]
		at, ok = v.positions[parent]
	}
	if !ok {
		at = position{line: 1, column: 1}
	}
	v.addError(at, path, format, args...)
}

func (v *validator) isSet(path string) bool {
	_, ok := v.positions[path]
	return ok
}

func (v *validator) requireName(path, value string) {
	if !namePattern.MatchString(value) {
		v.addFieldError(path, "is required: %s", nameRule)
	}
}

func (v *validator) checkOptionalName(path, value string) {
	if v.isSet(path) {
		v.requireName(path, value)
	}
}

// requireUniqueNames checks that the names of a list's items are valid and
// unique.
func (v *validator) requireUniqueNames(list string, names []string, field string) {
	seen := map[string]bool{}
	for i, name := range names {
		path := indexPath(list, i)
		if field != "" {
			path = joinPath(path, field)
		}
		v.requireName(path, name)
		if seen[name] {
			v.addFieldError(path, "%q stands twice", name)
		}
		seen[name] = true
	}
}

func (v *validator) requireAbsent(path, kind string) {
	if v.isSet(path) {
		v.addFieldError(path, "is for kind %s only", kind)
	}
}

func (v *validator) validateIdentity() {
	s := v.spec
	v.requireName("service", string(s.Service))
	if s.Kind != fleet.KindEngine && s.Kind != fleet.KindPlain {
		v.addFieldError("kind", "is required: %s or %s", fleet.KindEngine, fleet.KindPlain)
	}
	v.checkOptionalName("owner", s.Owner)
	v.checkOptionalName("pool", string(s.Pool))
}

func (v *validator) validateEngine() {
	s := v.spec
	v.requireAbsent("methods", "plain")
	v.requireName("model", s.Model)
	if len(s.Versions) == 0 {
		v.addFieldError("versions", "at least one version is required for kind engine")
	}
	var names, adapters []string
	for i := range s.Versions {
		version := &s.Versions[i]
		path := indexPath("versions", i)
		names = append(names, string(version.Name))
		checkNumber(v, joinPath(path, "groups"), &version.Groups, DefaultGroups, 1, maxGroups)
		if !v.isSet(joinPath(path, "role")) {
			version.Role = DefaultRole
		}
		v.requireName(joinPath(path, "role"), string(version.Role))
	}
	for _, a := range s.Adapters {
		adapters = append(adapters, string(a))
	}
	v.requireUniqueNames("versions", names, "name")
	v.requireUniqueNames("adapters", adapters, "")
	checkNumber(v, "replicas.instances", &s.Replicas.Instances, DefaultInstances, 1, maxInstances)
	checkNumber(v, "replicas.spares", &s.Replicas.Spares, 0, 0, maxInstances)
	checkNumber(v, "replicas.load_time", &s.Replicas.LoadTime, DefaultLoadTime, time.Millisecond, maxLoadTime)
}

func (v *validator) validatePlain() {
	for _, path := range []string{"model", "versions", "adapters", "replicas"} {
		v.requireAbsent(path, "engine")
	}
	if len(v.spec.Methods) == 0 {
		v.addFieldError("methods", "at least one method is required for kind plain")
	}
	var names []string
	for _, m := range v.spec.Methods {
		names = append(names, string(m.Name))
	}
	v.requireUniqueNames("methods", names, "name")
}

func (v *validator) validateWorkspaces() {
	if len(v.spec.Workspaces) == 0 {
		v.addFieldError("workspaces", "at least one workspace is required")
	}
	var names []string
	for i := range v.spec.Workspaces {
		w := &v.spec.Workspaces[i]
		names = append(names, string(w.Name))
		checkNumber(v, joinPath(indexPath("workspaces", i), "share"), &w.Share, DefaultShare, 1/maxShare, maxShare)
	}
	v.requireUniqueNames("workspaces", names, "name")
}

func (v *validator) validateLimits() {
	l := &v.spec.Limits
	checkNumber(v, "limits.max_body_bytes", &l.MaxBodyBytes, DefaultMaxBodyBytes, 1, maxBodyBytes)
	checkNumber(v, "limits.max_tokens", &l.MaxTokens, DefaultMaxTokens, 1, maxTokens)
	checkNumber(v, "limits.max_deadline", &l.MaxDeadline, DefaultMaxDeadline, time.Millisecond, maxDeadline)
	checkNumber(v, "limits.default_deadline", &l.DefaultDeadline, min(DefaultDeadline, l.MaxDeadline), time.Millisecond, max(time.Millisecond, l.MaxDeadline))
	checkNumber(v, "limits.max_attempts", &l.MaxAttempts, DefaultMaxAttempts, 1, maxAttempts)
	checkNumber(v, "limits.retry_ratio", &l.RetryRatio, DefaultRetryRatio, 0, 1)
}

func (v *validator) validateWeights() {
	w := &v.spec.Weights
	checkNumber(v, "weights.downtime", &w.Downtime, DefaultDowntime, 0, maxWeight)
	checkNumber(v, "weights.stranded", &w.Stranded, DefaultStranded, 0, maxWeight)
}

// checkNumber sets a field that is left out to its default, or checks that the
// given value is within its bounds.
func checkNumber[T int | uint32 | float64 | time.Duration](v *validator, path string, field *T, defaultValue, low, high T) {
	if !v.isSet(path) {
		*field = defaultValue
		return
	}
	if !(*field >= low && *field <= high) {
		v.addFieldError(path, "is %v; allowed are %v to %v", *field, low, high)
	}
}

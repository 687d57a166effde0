package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/service"
)

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// maxPriority is the highest priority that a caller may request.
	maxPriority = 9
)

// unknownField returns a failure for a field that names something unknown.
func unknownField[T ~string](field string, got T, allowed []T) *fleet.Failure {
	f := fleet.NewNotRunFailure(fleet.ReasonUnknown, 0, "%q does not exist; allowed: %s", string(got), joinSorted(allowed))
	f.Field = field
	return f
}

func joinSorted[T ~string](names []T) string {
	if len(names) == 0 {
		return "none"
	}
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

// findService returns a service of the given kind that a workspace may use.
func findService(cat *service.Catalog, name fleet.ServiceName, ws fleet.Workspace, kind fleet.InstanceKind) (*service.Spec, service.WorkspaceSpec, *fleet.Failure) {
	pub := cat.Services[name]
	if pub == nil {
		names := make([]fleet.ServiceName, 0, len(cat.Services))
		for n := range cat.Services {
			names = append(names, n)
		}
		return nil, service.WorkspaceSpec{}, unknownField("service", name, names)
	}
	spec := &pub.Spec
	if spec.Kind != kind {
		return nil, service.WorkspaceSpec{}, fleet.NewInvalidFieldFailure("service", "%q is of kind %s; this call needs one of kind %s", string(name), string(spec.Kind), string(kind))
	}
	for _, w := range spec.Workspaces {
		if w.Name == ws {
			if w.Share <= 0 {
				w.Share = defaultShare
			}
			return spec, w, nil
		}
	}
	f := fleet.NewNotRunFailure(fleet.ReasonForbidden, 0, "workspace %q may not use service %q", string(ws), string(name))
	f.Field = "workspace"
	return nil, service.WorkspaceSpec{}, f
}

// resolveGeneration fills in the defaults of a generation and validates it
// against its service.
func resolveGeneration(spec *service.Spec, g *Generation) *fleet.Failure {
	versions := make([]fleet.Version, len(spec.Versions))
	for i, v := range spec.Versions {
		versions[i] = v.Name
	}
	if g.Version == "" && len(versions) > 0 {
		g.Version = versions[0]
	}
	if !slices.Contains(versions, g.Version) {
		return unknownField("version", g.Version, versions)
	}
	if g.Adapter != "" && !slices.Contains(spec.Adapters, g.Adapter) {
		return unknownField("adapter", g.Adapter, spec.Adapters)
	}
	limit := orDefault(spec.Limits.MaxTokens, defaultMaxTokens)
	if g.MaxTokens == 0 {
		g.MaxTokens = limit
	}
	if g.MaxTokens > limit {
		return fleet.NewInvalidFieldFailure("max_tokens", "%d is over the service's limit; allowed: 1 to %d", g.MaxTokens, limit)
	}
	if g.Priority > maxPriority {
		return fleet.NewInvalidFieldFailure("priority", "%d; allowed: 0 to %d", g.Priority, maxPriority)
	}
	return checkSize("prompt", len(g.Prompt), spec)
}

// findMethod returns a method of a plain service and validates the call.
func findMethod(spec *service.Spec, i Invocation) (service.MethodSpec, *fleet.Failure) {
	names := make([]fleet.Method, len(spec.Methods))
	for n, m := range spec.Methods {
		names[n] = m.Name
	}
	at := slices.Index(names, i.Method)
	if at < 0 {
		return service.MethodSpec{}, unknownField("method", i.Method, names)
	}
	m := spec.Methods[at]
	if !m.Idempotent && i.IdempotencyKey == "" {
		return m, fleet.NewInvalidFieldFailure("idempotency_key", "method %q may run only once and needs a key of 1 to %d bytes", string(m.Name), maxKeyBytes)
	}
	if len(i.IdempotencyKey) > maxKeyBytes {
		return m, fleet.NewInvalidFieldFailure("idempotency_key", "%d bytes; allowed: 1 to %d", len(i.IdempotencyKey), maxKeyBytes)
	}
	return m, checkSize("body", len(i.Body), spec)
}

func checkSize(field string, size int, spec *service.Spec) *fleet.Failure {
	limit := orDefault(spec.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	if size > limit {
		return fleet.NewInvalidFieldFailure(field, "%d bytes; allowed: at most %d", size, limit)
	}
	return nil
}

// withDeadline returns a context with the request's deadline: the caller's, else
// the service's default, limited to the service's maximum.
func (d *Dispatcher) withDeadline(ctx context.Context, l service.LimitSpec) (context.Context, context.CancelFunc, *fleet.Failure) {
	now := time.Now()
	latest := now.Add(orDefault(l.MaxDeadline, d.cfg.MaxDeadline))
	at, ok := ctx.Deadline()
	if !ok {
		at = now.Add(orDefault(l.DefaultDeadline, d.cfg.DefaultDeadline))
	}
	if at.After(latest) {
		at = latest
	}
	if !at.After(now) {
		f := fleet.NewNotRunFailure(fleet.ReasonDeadline, 0, "the deadline was spent on arrival; allowed: up to %s", latest.Sub(now))
		f.Field = "deadline"
		return nil, nil, f
	}
	ctx, cancel := context.WithDeadline(ctx, at)
	return ctx, cancel, nil
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

package service

import (
	"context"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// OutcomeKind is the kind of a publication's outcome.
type OutcomeKind string

const (
	// Accepted means that the publication has taken effect.
	Accepted OutcomeKind = "accepted"
	// WouldBeAccepted means that a dry run found no conflict.
	WouldBeAccepted OutcomeKind = "would-be-accepted"
	// Conflicted means that another publication was accepted first or that a
	// service has another owner. The publication has no effect.
	Conflicted OutcomeKind = "conflicts"
	// Invalid means that the publication failed validation. Nothing was sent.
	Invalid OutcomeKind = "invalid"
	// NotPublished means that the log certainly did not receive the
	// publication, or received it too late to be accepted.
	NotPublished OutcomeKind = "not-published"
	// Unknown means that the publication may have reached the log or may still
	// reach it. Publishing it again is safe: the base revisions ensure that at
	// most one of the two is accepted.
	Unknown OutcomeKind = "unknown"
)

// Outcome is the result of a publication.
type Outcome struct {
	Kind OutcomeKind
	// Revision is the revision that the publication created if it was accepted,
	// otherwise the revision that it was compared with.
	Revision  uint64
	Conflicts []Conflict
	Problems  []error // validation errors if Kind is Invalid
	Err       error   // cause if Kind is NotPublished or Unknown
}

// Publisher proposes publications to the config stream.
type Publisher struct {
	proposer journal.Proposer
	fold     *Fold
	events   *event.Logger
}

// NewPublisher returns a publisher for the config stream with its proposer and
// fold.
func NewPublisher(p journal.Proposer, f *Fold, ev *event.Logger) *Publisher {
	return &Publisher{proposer: p, fold: f, events: ev}
}

// Publish validates a publication and applies all of its changes or none. It
// waits until the outcome is known or ctx ends.
func (p *Publisher) Publish(ctx context.Context, pub Publication) Outcome {
	out := p.publish(ctx, &pub)
	p.emitOutcome(pub, out)
	return out
}

// DryRun returns the outcome that Publish would have at this daemon's current
// revision.
func (p *Publisher) DryRun(pub Publication) Outcome {
	out := Outcome{Kind: WouldBeAccepted, Revision: p.fold.Catalog().Revision}
	if out.Problems = prepare(&pub); len(out.Problems) > 0 {
		out.Kind = Invalid
		return out
	}
	if out.Conflicts = p.fold.Conflicts(pub); len(out.Conflicts) > 0 {
		out.Kind = Conflicted
	}
	return out
}

func (p *Publisher) publish(ctx context.Context, pub *Publication) Outcome {
	if problems := prepare(pub); len(problems) > 0 {
		return Outcome{Kind: Invalid, Problems: problems, Revision: p.fold.Catalog().Revision}
	}
	res := p.proposer.Propose(ctx, KindPublish, *pub)
	out := Outcome{Revision: p.fold.Catalog().Revision, Err: res.Err}
	decision, _ := res.Verdict.Detail.(Decision)
	switch res.Outcome {
	case journal.OutcomeAccepted:
		out.Kind = Accepted
		if decision.Revision > 0 {
			out.Revision = decision.Revision
		}
	case journal.OutcomeRejected:
		out.Kind = Conflicted
		out.Conflicts = decision.Conflicts
		out.Err = errors.New(res.Verdict.Reason)
		if len(out.Conflicts) == 0 { // a verdict from an adopted state has no detail
			out.Conflicts = p.fold.Conflicts(*pub)
		}
		if len(out.Conflicts) == 0 { // the log received the record too late
			out.Kind = NotPublished
		}
	case journal.OutcomeNotAppended:
		out.Kind = NotPublished
	default:
		out.Kind = Unknown
	}
	return out
}

// prepare validates a publication and fills in the fields that its files
// determine.
func prepare(pub *Publication) []error {
	var problems []error
	if pub.Author == "" {
		problems = append(problems, errors.New("author: must not be empty"))
	}
	if len(pub.Changes) == 0 {
		problems = append(problems, errors.New("changes: at least one service file"))
	}
	changes := append([]Change(nil), pub.Changes...)
	seen := map[fleet.ServiceName]string{}
	for i := range changes {
		c := &changes[i]
		problems = append(problems, c.prepare()...)
		if firstFile, duplicate := seen[c.Service]; duplicate {
			problems = append(problems, errors.Errorf("%s: service %q is also in %s", c.File, c.Service, firstFile))
		}
		seen[c.Service] = c.File
	}
	pub.Changes = changes
	return problems
}

func (c *Change) prepare() []error {
	c.Syntax = Syntax
	if c.Body == "" {
		c.Owner = ""
		if c.Service == "" {
			return []error{errors.Errorf("%s: the service to remove is not named", c.File)}
		}
		return nil
	}
	spec, err := Parse(c.File, []byte(c.Body))
	if err != nil {
		return SplitErrors(err)
	}
	if c.Service != "" && c.Service != spec.Service {
		return []error{errors.Errorf("%s: names service %q, the change is for %q", c.File, spec.Service, c.Service)}
	}
	c.Service = spec.Service
	c.Owner = spec.Owner
	return nil
}

func (p *Publisher) emitOutcome(pub Publication, out Outcome) {
	kv := []any{"author", pub.Author, "services", len(pub.Changes), "revision", out.Revision}
	switch out.Kind {
	case Accepted:
		p.events.Emit(eventPublished, kv...)
	case Conflicted:
		for _, c := range out.Conflicts {
			p.events.Emit(eventConflict, append(kv, "service", c.Service, "reason", c.Reason, "won", c.Author, "current", c.CurrentRevision)...)
		}
	case NotPublished:
		p.events.Emit(eventNotPublished, append(kv, "err", out.Err)...)
	case Unknown:
		p.events.Emit(eventPublishUnknown, append(kv, "err", out.Err)...)
	}
}

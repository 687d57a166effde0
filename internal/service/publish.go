package service

import (
	"context"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// OutcomeKind says what became of a publication.
type OutcomeKind string

// Kinds of outcome.
const (
	// Accepted: the publication is in force.
	Accepted OutcomeKind = "accepted"
	// WouldBeAccepted: a dry run found nothing against it.
	WouldBeAccepted OutcomeKind = "would-be-accepted"
	// Conflicted: another publication won or a service has another owner.
	// Nothing of it is in force.
	Conflicted OutcomeKind = "conflicts"
	// Invalid: it can't be published as it is. Nothing was sent.
	Invalid OutcomeKind = "invalid"
	// NotPublished: it provably did not reach the log, or too late to count.
	NotPublished OutcomeKind = "not-published"
	// Unknown: it may have reached the log, now or later. Publishing it
	// again is safe: the base revisions let at most one of the two count.
	Unknown OutcomeKind = "unknown"
)

// Outcome is what became of a publication.
type Outcome struct {
	Kind OutcomeKind
	// Revision is the one in force with the publication when Accepted, and
	// the one that it was compared with otherwise.
	Revision  uint64
	Conflicts []Conflict
	Problems  []error // why it is Invalid
	Err       error   // why it is NotPublished or Unknown
}

// Publisher proposes publications to the config stream.
type Publisher struct {
	proposer journal.Proposer
	book     *Book
	events   *event.Logger
}

// NewPublisher returns a publisher on the config stream's proposer and book.
func NewPublisher(p journal.Proposer, b *Book, ev *event.Logger) *Publisher {
	return &Publisher{proposer: p, book: b, events: ev}
}

// Publish checks a publication and puts it into force, all of it or nothing.
// It waits until the fate is known or ctx ends.
func (p *Publisher) Publish(ctx context.Context, pub Publication) Outcome {
	out := p.publish(ctx, &pub)
	p.tell(pub, out)
	return out
}

// DryRun says what Publish would do with the revision in force here.
func (p *Publisher) DryRun(pub Publication) Outcome {
	out := Outcome{Kind: WouldBeAccepted, Revision: p.book.Catalog().Revision}
	if out.Problems = prepare(&pub); len(out.Problems) > 0 {
		out.Kind = Invalid
		return out
	}
	if out.Conflicts = p.book.Conflicts(pub); len(out.Conflicts) > 0 {
		out.Kind = Conflicted
	}
	return out
}

func (p *Publisher) publish(ctx context.Context, pub *Publication) Outcome {
	if problems := prepare(pub); len(problems) > 0 {
		return Outcome{Kind: Invalid, Problems: problems, Revision: p.book.Catalog().Revision}
	}
	res := p.proposer.Propose(ctx, KindPublish, *pub)
	out := Outcome{Revision: p.book.Catalog().Revision, Err: res.Err}
	decision, _ := res.Verdict.Detail.(Decision)
	switch res.Fate {
	case journal.FateAccepted:
		out.Kind = Accepted
		if decision.Revision > 0 {
			out.Revision = decision.Revision
		}
	case journal.FateRejected:
		out.Kind = Conflicted
		out.Conflicts = decision.Conflicts
		out.Err = errors.New(res.Verdict.Reason)
		if len(out.Conflicts) == 0 { // the verdict came with an adopted state
			out.Conflicts = p.book.Conflicts(*pub)
		}
		if len(out.Conflicts) == 0 { // it reached the log too late to count
			out.Kind = NotPublished
		}
	case journal.FateNotAppended:
		out.Kind = NotPublished
	default:
		out.Kind = Unknown
	}
	return out
}

// prepare checks a publication and fills in what its files say.
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
		if first, twice := seen[c.Service]; twice {
			problems = append(problems, errors.Errorf("%s: service %q is also in %s", c.File, c.Service, first))
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
		return Mistakes(err)
	}
	if c.Service != "" && c.Service != spec.Service {
		return []error{errors.Errorf("%s: names service %q, the change is for %q", c.File, spec.Service, c.Service)}
	}
	c.Service = spec.Service
	c.Owner = spec.Owner
	return nil
}

func (p *Publisher) tell(pub Publication, out Outcome) {
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

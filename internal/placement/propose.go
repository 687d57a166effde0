package placement

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/journal"
)

// execute logs the actions of a plan, applies its promotions and proposes the
// other actions as log records in the background.
func (e *Executor) execute(ctx context.Context, run *scopeRun, actions []Action) {
	var records []Action
	for _, a := range actions {
		switch a.Kind {
		case ActionWait, ActionHalt:
			e.logDecisionOnce(run, a)
		case ActionPromote:
			e.logDecisionOnce(run, a)
			run.promoted[a.Group.ID] = promotion{epoch: a.Group.Epoch, members: a.Group.Members}
		default:
			records = append(records, a)
		}
	}
	if len(records) == 0 || run.outage {
		return
	}
	run.proposing.Store(true)
	e.running.Go(func() {
		defer run.proposing.Store(false)
		e.proposeAll(ctx, run, records)
	})
}

// logDecisionOnce logs a decision unless it is the last one logged for its group.
func (e *Executor) logDecisionOnce(run *scopeRun, a Action) {
	decision := string(a.Kind) + " " + a.Reason
	if run.lastLogged[a.Group.ID] == decision {
		return
	}
	run.lastLogged[a.Group.ID] = decision
	e.logDecision(run, a)
	switch a.Kind {
	case ActionHalt:
		e.cfg.Events.Emit(eventRolloutHalted, "service", a.Service, "version", a.Group.Version, "reason", a.Reason)
	case ActionPromote:
		e.count("placement.repairs")
		e.count("placement.loads")
	}
}

// logDecision logs a decision and its rejected alternatives.
func (e *Executor) logDecision(run *scopeRun, a Action) {
	e.cfg.Events.Emit(eventDecision, "kind", a.Kind, "service", a.Service, "group", a.Group.ID, "epoch", a.Group.Epoch,
		"version", a.Group.Version, "scope", run.scope, "term", run.term, "reason", a.Reason, "cost", int64(a.Cost))
	for _, o := range a.Rejected {
		e.cfg.Events.Emit(eventAlternatives, "group", a.Group.ID, "epoch", a.Group.Epoch, "chosen", a.Kind, "cost", int64(a.Cost),
			"other", o.Kind, "other_cost", o.Cost)
	}
}

// proposeAll proposes the records in the order of the plan. It stops at the first
// one that is not accepted, because the later ones depend on it.
func (e *Executor) proposeAll(ctx context.Context, run *scopeRun, actions []Action) {
	for _, a := range actions {
		e.logDecision(run, a)
		if !e.propose(ctx, run, a) {
			return
		}
	}
}

// propose proposes one record and reports whether it was accepted.
func (e *Executor) propose(ctx context.Context, run *scopeRun, a Action) bool {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ProposeTimeout)
	defer cancel()
	kind, body := recordOf(run, a)
	res := e.cfg.Proposer.Propose(ctx, kind, body)
	switch res.Outcome {
	case journal.OutcomeAccepted:
		e.countAction(a)
		return true
	case journal.OutcomeRejected:
		e.cfg.Events.Emit(eventRejected, "record", kind, "group", a.Group.ID, "reason", res.Verdict.Reason)
	case journal.OutcomeNotAppended:
		e.cfg.Events.Emit(eventNotAppended, "record", kind, "group", a.Group.ID, "error", res.Err)
	default:
		e.cfg.Events.Emit(eventUnknown, "record", kind, "group", a.Group.ID, "error", res.Err)
	}
	return false
}

// recordOf returns the log record of an action.
func recordOf(run *scopeRun, a Action) (journal.Kind, any) {
	g := a.Group
	switch a.Kind {
	case ActionForm:
		return group.KindForm, group.FormRecord{Group: *g}
	case ActionRepair:
		return group.KindRepair, group.RepairRecord{
			Scope: run.scope, Term: run.term, Group: g.ID, Epoch: g.Epoch,
			Members: g.Members, Spares: g.Spares, ServiceRevision: g.ServiceRevision,
		}
	case ActionDrain:
		return group.KindDrain, group.DrainRecord{Scope: run.scope, Term: run.term, Group: g.ID, Epoch: g.Epoch}
	default:
		return group.KindDissolve, group.DissolveRecord{Scope: run.scope, Term: run.term, Group: g.ID, Epoch: g.Epoch}
	}
}

func (e *Executor) countAction(a Action) {
	switch a.Kind {
	case ActionForm:
		e.count("placement.loads")
	case ActionRepair:
		e.count("placement.loads")
		e.count("placement.repairs")
	}
}

func (e *Executor) count(name string) {
	metrics.GetOrRegisterCounter(name, e.cfg.Metrics).Inc(1)
}

package daemon

import (
	"context"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/gateway"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// Version is the version that carawayd and carawayctl report.
const Version = "0.1.0"

// adminService serves the admin API of one daemon.
type adminService struct{ d *Daemon }

var _ carawayv1connect.AdminServiceHandler = adminService{}

// Publish implements carawayv1connect.AdminServiceHandler.
func (a adminService) Publish(ctx context.Context, req *connect.Request[carawayv1.PublishRequest]) (*connect.Response[carawayv1.PublishResponse], error) {
	author, err := a.author(ctx, req.Msg.Author)
	if err != nil {
		return nil, err
	}
	pub := service.Publication{Author: author, Note: req.Msg.Note}
	for _, c := range req.Msg.Changes {
		pub.Changes = append(pub.Changes, service.Change{
			Service:      fleet.ServiceName(c.Service),
			BaseRevision: c.BaseRevision,
			Body:         c.Body,
			File:         c.File,
		})
	}
	var out service.Outcome
	if req.Msg.DryRun {
		out = a.d.publisher.DryRun(pub)
	} else {
		out = a.d.publisher.Publish(ctx, pub)
	}
	return publishResponse(out)
}

// publishResponse converts an outcome to a response. A conflict is part of the
// response; for a publication that is invalid, was not published or has an
// unknown outcome, it returns an error.
func publishResponse(out service.Outcome) (*connect.Response[carawayv1.PublishResponse], error) {
	switch out.Kind {
	case service.Invalid:
		return nil, connect.NewError(connect.CodeInvalidArgument, joinProblems(out.Problems))
	case service.NotPublished:
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(out.Err, "not published"))
	case service.Unknown:
		return nil, connect.NewError(connect.CodeUnknown, errors.Wrap(out.Err, "may have been published; publishing it again is safe"))
	}
	resp := &carawayv1.PublishResponse{
		Accepted: out.Kind == service.Accepted || out.Kind == service.WouldBeAccepted,
		Revision: out.Revision,
	}
	for _, c := range out.Conflicts {
		resp.Conflicts = append(resp.Conflicts, &carawayv1.PublishConflict{
			Service:         string(c.Service),
			BaseRevision:    c.BaseRevision,
			CurrentRevision: c.CurrentRevision,
			CurrentAuthor:   c.Author,
			Difference:      c.Diff,
			Reason:          string(c.Reason),
		})
	}
	return connect.NewResponse(resp), nil
}

func joinProblems(problems []error) error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return errors.New(strings.Join(lines, "\n"))
}

// GetStatus implements carawayv1connect.AdminServiceHandler.
func (a adminService) GetStatus(context.Context, *connect.Request[carawayv1.GetStatusRequest]) (*connect.Response[carawayv1.GetStatusResponse], error) {
	d := a.d
	now := time.Now()
	ready, reason := d.Ready()
	resp := &carawayv1.GetStatusResponse{
		Daemon:           string(d.id),
		AvailabilityZone: d.settings.Zone,
		Ready:            ready,
		Reason:           reason,
		ConfigRevision:   d.services.Catalog().Revision,
		LogReachable:     now.Sub(d.control.Status().LastLogResponse) < logReachableWithin,
		Version:          Version,
		Draining:         d.draining.Load(),
		InFlight:         uint32(d.dispatcher.InFlight()),
	}
	for _, p := range d.mesh.View().Peers {
		resp.Peers = append(resp.Peers, &carawayv1.PeerStatus{
			Daemon:         string(p.Heartbeat.From),
			Address:        p.Heartbeat.Address,
			Alive:          p.Alive,
			Ready:          p.Heartbeat.Ready,
			ConfigRevision: p.Heartbeat.ConfigRevision,
			HeardAgo:       durationpb.New(now.Sub(p.ReceivedAt)),
			Incarnation:    p.Heartbeat.Incarnation,
		})
	}
	resp.Peers = append(resp.Peers, a.peersWithoutHeartbeat()...)
	sort.Slice(resp.Peers, func(i, j int) bool { return resp.Peers[i].Daemon < resp.Peers[j].Daemon })
	for _, r := range d.replicas() {
		resp.Streams = append(resp.Streams, streamStatus(r.Status(), now))
	}
	for _, scope := range d.scopes() {
		if l, ok := d.leases.Current(scope); ok {
			resp.Leases = append(resp.Leases, &carawayv1.LeaseStatus{Scope: string(scope), Term: uint64(l.Term), Holder: string(l.Holder)})
		}
	}
	return connect.NewResponse(resp), nil
}

// peersWithoutHeartbeat returns the daemons that are announced in the log and
// have sent no heartbeat to this daemon.
func (a adminService) peersWithoutHeartbeat() []*carawayv1.PeerStatus {
	peers := a.d.mesh.View().Peers
	var out []*carawayv1.PeerStatus
	for _, h := range a.d.registry.Daemons() {
		if _, hasHeartbeat := peers[h.Daemon]; !hasHeartbeat && h.Daemon != a.d.id {
			out = append(out, &carawayv1.PeerStatus{Daemon: string(h.Daemon), Address: h.Address, Incarnation: h.Incarnation})
		}
	}
	return out
}

// logReachableWithin is the maximum age of the log's last response for the log
// to count as reachable.
const logReachableWithin = 5 * time.Second

func streamStatus(s journal.Status, now time.Time) *carawayv1.StreamStatus {
	out := &carawayv1.StreamStatus{Stream: string(s.Stream), Next: uint64(s.Next)}
	if !s.ConfirmedAt.IsZero() {
		out.ConfirmedAgo = durationpb.New(now.Sub(s.ConfirmedAt))
	}
	if s.Err != nil {
		out.Problem = s.Err.Error()
	}
	return out
}

// ListServices implements carawayv1connect.AdminServiceHandler.
func (a adminService) ListServices(context.Context, *connect.Request[carawayv1.ListServicesRequest]) (*connect.Response[carawayv1.ListServicesResponse], error) {
	catalog := a.d.services.Catalog()
	resp := &carawayv1.ListServicesResponse{ConfigRevision: catalog.Revision}
	now := time.Now()
	for name, p := range catalog.Services {
		s := &carawayv1.ServiceStatus{
			Service:  string(name),
			Revision: p.Revision,
			Author:   p.Author,
			Kind:     string(p.Spec.Kind),
			Owner:    p.Spec.Owner,
			Body:     p.Body,
		}
		for _, v := range p.Spec.Versions {
			s.GroupsWanted += uint32(v.Groups)
		}
		for _, c := range a.d.store.Candidates(name, now) {
			if p.Spec.Kind == fleet.KindPlain {
				s.GroupsWanted++
			}
			if c.Whole {
				s.GroupsWhole++
			}
		}
		resp.Services = append(resp.Services, s)
	}
	sort.Slice(resp.Services, func(i, j int) bool { return resp.Services[i].Service < resp.Services[j].Service })
	return connect.NewResponse(resp), nil
}

// ListGroups implements carawayv1connect.AdminServiceHandler.
func (a adminService) ListGroups(_ context.Context, req *connect.Request[carawayv1.ListGroupsRequest]) (*connect.Response[carawayv1.ListGroupsResponse], error) {
	resp := &carawayv1.ListGroupsResponse{}
	now := time.Now()
	inFlight := a.d.totalInFlight()
	for _, g := range a.d.groups.View().Groups {
		if req.Msg.Service != "" && string(g.Service) != req.Msg.Service {
			continue
		}
		w := group.Whole(g, a.d.watcher, now, datastore.Freshness)
		s := &carawayv1.GroupStatus{
			Group:        string(g.ID),
			Service:      string(g.Service),
			Epoch:        uint64(g.Epoch),
			Version:      string(g.Version),
			State:        string(g.Phase),
			Whole:        w.Whole,
			Reason:       w.Reason,
			FabricDomain: string(g.Fabric),
			InFlight:     inFlight[g.ID],
		}
		s.Members, s.Spares = a.composition(g)
		resp.Groups = append(resp.Groups, s)
	}
	sort.Slice(resp.Groups, func(i, j int) bool { return resp.Groups[i].Group < resp.Groups[j].Group })
	return connect.NewResponse(resp), nil
}

// composition returns the instances that currently serve in the group, in rank
// order, and the spares.
func (a adminService) composition(g *group.Group) (members, spares []string) {
	serving := map[fleet.InstanceID]bool{}
	for _, m := range group.ReportedComposition(g, a.d.watcher) {
		serving[m.Instance] = true
		members = append(members, string(m.Instance))
	}
	for m := range g.All() {
		if !serving[m.Instance] {
			spares = append(spares, string(m.Instance))
		}
	}
	return members, spares
}

// Explain implements carawayv1connect.AdminServiceHandler.
func (a adminService) Explain(_ context.Context, req *connect.Request[carawayv1.ExplainRequest]) (*connect.Response[carawayv1.ExplainResponse], error) {
	resp := &carawayv1.ExplainResponse{}
	for _, x := range a.d.decisions.forSubject(req.Msg.RequestId) {
		resp.Decisions = append(resp.Decisions, &carawayv1.Decision{
			Time:   x.at.UTC().Format(time.RFC3339Nano),
			Event:  uint32(x.event.Number),
			Text:   x.event.Name + " " + event.Text(x.keyvals),
			Daemon: string(a.d.id),
		})
	}
	return connect.NewResponse(resp), nil
}

// Drain implements carawayv1connect.AdminServiceHandler. It drains only this
// daemon; other instances are drained through the platform's list.
func (a adminService) Drain(ctx context.Context, req *connect.Request[carawayv1.DrainRequest]) (*connect.Response[carawayv1.DrainResponse], error) {
	if err := a.authorizeChange(ctx); err != nil {
		return nil, err
	}
	if req.Msg.Instance != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("an instance is drained by the platform's list; only the daemon itself can be drained here"))
	}
	a.d.Drain()
	return connect.NewResponse(&carawayv1.DrainResponse{InFlight: uint32(a.d.dispatcher.InFlight())}), nil
}

// ListHistory implements carawayv1connect.AdminServiceHandler.
func (a adminService) ListHistory(_ context.Context, req *connect.Request[carawayv1.ListHistoryRequest]) (*connect.Response[carawayv1.ListHistoryResponse], error) {
	resp := &carawayv1.ListHistoryResponse{}
	history := a.d.services.History(fleet.ServiceName(req.Msg.Service))
	for i := range history {
		h := history[len(history)-1-i] // newest first
		resp.Entries = append(resp.Entries, &carawayv1.HistoryEntry{
			Revision: h.Revision,
			Service:  req.Msg.Service,
			Author:   h.Author,
			Time:     time.UnixMilli(h.UnixMilli).UTC().Format(time.RFC3339),
			Body:     h.Body,
			Removed:  h.Removed,
			Note:     h.Note,
			File:     h.File,
		})
	}
	return connect.NewResponse(resp), nil
}

// ListSuspects implements carawayv1connect.AdminServiceHandler.
func (a adminService) ListSuspects(context.Context, *connect.Request[carawayv1.ListSuspectsRequest]) (*connect.Response[carawayv1.ListSuspectsResponse], error) {
	resp := &carawayv1.ListSuspectsResponse{}
	for _, v := range a.d.suspects.Verdicts() {
		resp.Suspects = append(resp.Suspects, gateway.SuspectMessage(v))
	}
	return connect.NewResponse(resp), nil
}

// ClearSuspect implements carawayv1connect.AdminServiceHandler.
func (a adminService) ClearSuspect(ctx context.Context, req *connect.Request[carawayv1.ClearSuspectRequest]) (*connect.Response[carawayv1.ClearSuspectResponse], error) {
	if err := a.authorizeChange(ctx); err != nil {
		return nil, err
	}
	f, err := suspect.ParseFingerprint(req.Msg.Fingerprint)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	res := a.d.tracker.Clear(ctx, f)
	switch res.Outcome {
	case journal.OutcomeAccepted:
		return connect.NewResponse(&carawayv1.ClearSuspectResponse{}), nil
	case journal.OutcomeRejected:
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New(res.Verdict.Reason))
	default:
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(res.Err, "not recorded"))
	}
}

// ListEvacuations implements carawayv1connect.AdminServiceHandler. Only a daemon with a
// store learns of evacuations.
func (a adminService) ListEvacuations(context.Context, *connect.Request[carawayv1.ListEvacuationsRequest]) (*connect.Response[carawayv1.ListEvacuationsResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.Errorf("daemon %s runs without a store, from which evacuations are read", a.d.id))
}

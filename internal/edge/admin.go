package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/gateway"
	"carawayproxy.example/caraway/internal/suspect"
)

// adminService serves the operators' calls that apply to a daemon on the
// platform: those on requests that crash backend servers, and on evacuations.
type adminService struct {
	carawayv1connect.UnimplementedAdminServiceHandler
	d *Daemon
}

// ListSuspects implements carawayv1connect.AdminServiceHandler.
func (a adminService) ListSuspects(context.Context, *connect.Request[carawayv1.ListSuspectsRequest]) (*connect.Response[carawayv1.ListSuspectsResponse], error) {
	resp := &carawayv1.ListSuspectsResponse{}
	for _, v := range a.d.detector.Verdicts() {
		resp.Suspects = append(resp.Suspects, gateway.SuspectMessage(v))
	}
	return connect.NewResponse(resp), nil
}

// ClearSuspect implements carawayv1connect.AdminServiceHandler. All daemons learn
// of the clearance, and the store keeps it for those that start later.
func (a adminService) ClearSuspect(ctx context.Context, req *connect.Request[carawayv1.ClearSuspectRequest]) (*connect.Response[carawayv1.ClearSuspectResponse], error) {
	if a.d.settings.AdminClientCA != "" {
		return nil, connect.NewError(connect.CodeUnauthenticated,
			errors.New("this daemon's admin listener does not verify the certificates that admin-client-ca asks for"))
	}
	f, err := suspect.ParseFingerprint(req.Msg.Fingerprint)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	v := a.d.detector.Clear(f)
	a.d.broadcastVerdict(v)
	err = a.d.env.Platform.Verdicts.RecordVerdict(ctx, v)
	a.d.detector.Recorded(v, err)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "cleared at the daemons that run now, but not recorded"))
	}
	return connect.NewResponse(&carawayv1.ClearSuspectResponse{}), nil
}

// ListEvacuations implements carawayv1connect.AdminServiceHandler.
func (a adminService) ListEvacuations(context.Context, *connect.Request[carawayv1.ListEvacuationsRequest]) (*connect.Response[carawayv1.ListEvacuationsResponse], error) {
	if _, known := a.d.evacuations.State(); !known {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Errorf("daemon %s has not read the operator's records yet", a.d.id))
	}
	resp, zones, now := &carawayv1.ListEvacuationsResponse{Daemon: string(a.d.id)}, a.d.checkEvacuatedZones(), time.Now()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zone]
		e := &carawayv1.Evacuation{AvailabilityZone: string(zone), KnownFor: durationpb.New(now.Sub(z.since)), InFlight: z.inFlight}
		if !z.emptyAt.IsZero() {
			e.EmptyAgo = durationpb.New(max(now.Sub(z.emptyAt), 0))
		}
		resp.Evacuations = append(resp.Evacuations, e)
	}
	return connect.NewResponse(resp), nil
}

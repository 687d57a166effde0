package edge

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/gateway"
	"carawayproxy.example/caraway/internal/suspect"
)

// adminService serves the operators' calls that apply to a daemon on the
// platform: those on requests that crash backend servers.
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

package edge

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/reach"
)

// linkCheckTimeout limits the check of the link to the leader of a stalled group.
const linkCheckTimeout = 200 * time.Millisecond

// reachConfig returns the configuration of connections to backend servers through
// other daemons.
func (d *Daemon) reachConfig(key string) reach.Config {
	drop := func() {
		if d.env.Platform.DropConnections != nil {
			d.env.Platform.DropConnections()
		}
	}
	return reach.Config{
		Self:        d.id,
		Key:         key,
		Peers:       d.tunnelPeers,
		Carries:     d.carries,
		Servers:     d.serverAddresses,
		ServerCount: d.directory.Len,
		OnLost: func() {
			d.mesh.LinkAlso(d.moreTunnelAddresses())
			d.stallDetector.Reset()
			drop()
			d.mesh.RequestHeartbeat()
		},
		OnBack: func() {
			d.mesh.LinkAlso(nil)
			drop()
			d.mesh.RequestHeartbeat()
		},
		OnPeersChanged: drop,
		Events:         d.events,
		Metrics:        d.metrics,
	}
}

// newTunnelKey returns the key that admits other daemons' tunnels. They receive it
// over their links.
func newTunnelKey() string { return crand.Text() }

// moreTunnels is the number of daemons besides the hubs that a daemon without links to
// the servers links to, so that not only the hubs carry its connections.
const moreTunnels = 8

// moreTunnelAddresses returns the addresses of random daemons, those of this daemon's
// zone first.
func (d *Daemon) moreTunnelAddresses() []string {
	endpoints := d.mesh.Endpoints()
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	own := fleet.Zone(d.settings.Zone)
	slices.SortStableFunc(endpoints, func(a, b membership.Endpoint) int {
		switch {
		case (a.Zone == own) == (b.Zone == own):
			return 0
		case a.Zone == own:
			return -1
		}
		return 1
	})
	var addresses []string
	for _, e := range endpoints {
		if e.Address != d.peerAddress() && len(addresses) < moreTunnels {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// tunnelPeers returns the daemons that have their links to the backend servers, in
// random order, those of this daemon's zone first.
func (d *Daemon) tunnelPeers() []reach.Peer {
	var near, far []reach.Peer
	for _, p := range d.mesh.View().Peers {
		h := &p.Heartbeat
		if !p.Alive || p.Departing || h.Draining || h.LinksLost || h.TunnelKey == "" {
			continue
		}
		peer := reach.Peer{ID: h.From, Address: h.Address, Key: h.TunnelKey, Zone: h.Zone}
		if h.Zone == fleet.Zone(d.settings.Zone) {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	for _, peers := range [][]reach.Peer{near, far} {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	}
	return append(near, far...)
}

// carries returns which daemons a tunnel to a server may lead through: those in the
// server's region, which may be the only home of a request.
func (d *Daemon) carries(address string) func(reach.Peer) bool {
	if !d.settings.HasSeveralRegions() { // no request can leave its home
		return func(reach.Peer) bool { return true }
	}
	var region fleet.Region
	for _, s := range d.directory.Servers() {
		if s.Address == address {
			region = d.settings.RegionOf(s.Zone)
		}
	}
	return func(p reach.Peer) bool { return d.settings.RegionOf(p.Zone) == region }
}

// serverAddresses returns the addresses of the listed backend servers.
func (d *Daemon) serverAddresses() []string {
	servers := d.directory.Servers()
	out := make([]string, 0, len(servers))
	for _, s := range servers {
		out = append(out, s.Address)
	}
	return out
}

// peerHandler serves the listener for peers: links of the mesh, and tunnels.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(membership.PeerPath, d.mesh.Handler())
	mux.Handle(reach.TunnelPath, d.env.ServerDialer.Handler(func() bool { return !d.draining.Load() }))
	return mux
}

// checkLinkTo checks this daemon's own link to the leader of a group whose streams
// have stalled here.
func (d *Daemon) checkLinkTo(id fleet.GroupID) {
	g := d.directory.Groups().Groups[id]
	if g == nil || len(g.Members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), linkCheckTimeout)
	defer cancel()
	d.env.ServerDialer.CheckServer(ctx, g.Members[0].Address)
}

package reach

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventLinksLost = event.Define(2400, "reach.links-lost", log.WarnLevel,
		"Dials of several backend servers failed in a row: this daemon's own links to them are lost. It reaches them through other daemons, and draws no conclusion about the servers.",
		"Check the network between this daemon's instance and the backend servers.")
	eventLinksBack = event.Define(2401, "reach.links-back", log.InfoLevel,
		"This daemon reaches a backend server directly again.", "Nothing.")
	eventTunnelServed = event.Define(2402, "reach.tunnel-served", log.InfoLevel,
		"This daemon opened a connection to a backend server for another daemon that can't reach it.",
		"See reach.links-lost at the other daemon; dispatch.relayed there names the requests.")
	eventTunnelFailed = event.Define(2403, "reach.tunnel-failed", log.InfoLevel,
		"Another daemon asked for a connection to a backend server that this daemon can't reach either; linked says whether it reaches others.",
		"If linked, check the backend server, otherwise this daemon's network.")
)

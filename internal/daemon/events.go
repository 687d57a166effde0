package daemon

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventStarted = event.Define(1001, "daemon.started", log.InfoLevel,
		"The daemon's listeners are open and it is catching up with the log.", "Nothing; the daemon becomes ready by itself.")
	eventStopped = event.Define(1002, "daemon.stopped", log.InfoLevel,
		"The daemon has stopped.", "Nothing after a planned stop.")
	eventReady = event.Define(1003, "daemon.ready", log.InfoLevel,
		"The daemon accepts requests from the balancer.", "Nothing.")
	eventUnready = event.Define(1004, "daemon.unready", log.WarnLevel,
		"The daemon rejects requests without running them, for the given reason.", "If the daemon stays unready, check that it reaches the platform and its peers.")
	eventDraining = event.Define(1005, "daemon.draining", log.InfoLevel,
		"A planned stop has started.", "Wait for daemon.stopped before removing the instance.")
	eventDrained = event.Define(1006, "daemon.drained", log.InfoLevel,
		"No request is in flight and every outcome is recorded.", "Nothing.")
	eventDrainTimeout = event.Define(1007, "daemon.drain-timeout", log.ErrorLevel,
		"The planned stop exceeded drain-timeout and ended with requests in flight or unrecorded outcomes.", "Set drain-timeout above the longest request deadline, or check for an outage of the log.")
	eventListFailed = event.Define(1008, "daemon.list-failed", log.WarnLevel,
		"The platform's list of instances could not be read; the daemon keeps using the last one.", "Check that the platform answers.")
	eventServeFailed = event.Define(1009, "daemon.serve-failed", log.ErrorLevel,
		"A listener stopped with an error.", "Check whether the address is already in use, then restart the daemon.")
	eventAnnounceFailed = event.Define(1010, "daemon.hello-failed", log.WarnLevel,
		"The daemon could not announce itself in the log; it will retry.", "Nothing unless it repeats: then check that the log answers.")
	eventAnnouncementWithdrawn = event.Define(1011, "daemon.taken-back", log.InfoLevel,
		"The announcement of a daemon that has sent no heartbeats for a long time was withdrawn.", "Nothing if that instance is gone; otherwise check the network between the two daemons.")
	eventClientLimits = event.Define(1012, "daemon.client-limits", log.InfoLevel,
		"What callers may take together: connections, and bytes of memory for bodies of calls, for answers, for connections and without callers. With a memory limit their total is below it.", "None.")
	eventConnectionClosed = event.Define(1013, "daemon.connection-closed", log.WarnLevel,
		"A connection that waited for its client was closed in favor of another one, because its listener had as many as the limit. Each client is logged once a minute, at most 64 of them; unlogged counts the ones since the last line.",
		"See \"Under attack\" in OPERATIONS.md.")
	eventLimitMet = event.Define(1014, "daemon.limit-met", log.WarnLevel,
		"A caller met a limit: the body of its call is too large, or there is no memory for it beside the others; the call was not run. Each client and limit is logged once a minute, at most 64 of them; unlogged counts the ones since the last line.",
		"See \"Under attack\" in OPERATIONS.md.")
)

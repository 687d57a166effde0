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
)

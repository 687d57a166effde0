package daemon

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventStarted = event.Define(1001, "daemon.started", log.InfoLevel,
		"The daemon listens and catches up with the log.", "Nothing; it turns ready by itself.")
	eventStopped = event.Define(1002, "daemon.stopped", log.InfoLevel,
		"The daemon has ended.", "Nothing after a planned stop.")
	eventReady = event.Define(1003, "daemon.ready", log.InfoLevel,
		"The daemon takes requests from the balancer.", "Nothing.")
	eventUnready = event.Define(1004, "daemon.unready", log.WarnLevel,
		"The daemon refuses requests as not run, for the reason given.", "If it stays unready, see whether it reaches the platform and its peers.")
	eventDraining = event.Define(1005, "daemon.draining", log.InfoLevel,
		"A planned stop has begun.", "Wait for daemon.stopped before the instance is taken away.")
	eventDrained = event.Define(1006, "daemon.drained", log.InfoLevel,
		"No request is in flight and every outcome is recorded.", "Nothing.")
	eventDrainCut = event.Define(1007, "daemon.drain-timeout", log.ErrorLevel,
		"The planned stop took longer than drain-timeout and ended with work left.", "Raise drain-timeout above the longest deadline, or look for the log's outage.")
	eventListFailed = event.Define(1008, "daemon.list-failed", log.WarnLevel,
		"The platform's list of instances could not be read; the last one stands.", "See whether the platform answers.")
	eventServeFailed = event.Define(1009, "daemon.serve-failed", log.ErrorLevel,
		"A listener ended with an error.", "Restart the daemon; look for the address being in use.")
	eventHelloFailed = event.Define(1010, "daemon.hello-failed", log.WarnLevel,
		"The daemon could not announce itself in the log; it tries again.", "Nothing unless it repeats: see whether the log answers.")
	eventTakenBack = event.Define(1011, "daemon.taken-back", log.InfoLevel,
		"The announcement of a daemon that has long been unheard was taken back.", "Nothing, if that instance is gone; otherwise look for a cut between the two.")
)

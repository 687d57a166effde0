package ratelimit

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventRateAnnounced = event.Define(2300, "ratelimit.announced", log.InfoLevel,
		"A backend server names, or changes, the number of requests a second that it takes from all daemons together; a few daemons share that rate.",
		"Check why the server is in need. Requests that exceed the rates of all its service's servers are refused.")
	eventRateEnded = event.Define(2301, "ratelimit.ended", log.InfoLevel,
		"A backend server that had named a request rate answers without one.",
		"Nothing.")
	eventPaused = event.Define(2302, "ratelimit.paused", log.InfoLevel,
		"A backend server turned a request away and wants none from this daemon for a time; requests go elsewhere or are refused.",
		"Check why the server is in need if it asks again and again.")
	eventColdServer = event.Define(2303, "ratelimit.cold", log.InfoLevel,
		"A backend server has just started, has become cold, or may have; a few daemons share the requests that it takes.",
		"Nothing. Check why servers start often.")
	eventWarmServer = event.Define(2304, "ratelimit.warm", log.InfoLevel,
		"A backend server that was cold takes requests as others do.",
		"Nothing.")
)

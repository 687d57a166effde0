package service

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

// Events of the package.
var (
	eventPublished = event.Define(1200, "service.published", log.InfoLevel,
		"A publication was accepted and is the configuration in force.", "Nothing.")
	eventConflict = event.Define(1201, "service.conflict", log.InfoLevel,
		"A publication lost to another one or was not its author's to make.",
		"The author takes the difference in and publishes again.")
	eventNotPublished = event.Define(1202, "service.not-published", log.WarnLevel,
		"A publication did not reach the log and has no effect.", "Publish again once the log answers.")
	eventPublishUnknown = event.Define(1203, "service.publish-unknown", log.WarnLevel,
		"A publication may have reached the log; its history tells once the log answers.",
		"Look at the service's history before publishing again.")
)

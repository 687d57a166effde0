package service

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventPublished = event.Define(1200, "service.published", log.InfoLevel,
		"A publication was accepted and is the configuration in force.", "Nothing.")
	eventConflict = event.Define(1201, "service.conflict", log.InfoLevel,
		"A publication was rejected because another one was accepted first or because a service has another owner.",
		"The author merges the difference and publishes again.")
	eventNotPublished = event.Define(1202, "service.not-published", log.WarnLevel,
		"A publication was not accepted because the log did not receive it or received it too late; it has no effect.", "Publish again once the log answers.")
	eventPublishUnknown = event.Define(1203, "service.publish-unknown", log.WarnLevel,
		"The log may have received a publication; once the log answers, the history of its services shows whether it was accepted.",
		"Check the history of the services before publishing again.")
)

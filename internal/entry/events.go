package entry

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var eventRefused = event.Define(1700, "entry.refused", log.InfoLevel,
	"A request was refused before it was passed on: its route, key, size or form is at fault, or no routing document is there yet.",
	"See the reason; tell the caller when it is the request's fault.")

package admission

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

// Events of the package. The caller of Admit writes them.
var (
	EventRefused = event.Define(1800, "admission.refused", log.InfoLevel,
		"A request was refused before it ran, for load or for its deadline.",
		"If one workspace is refused all the time, compare its weight and limit with its load; if all are, add groups.")
	EventRetryBudgetSpent = event.Define(1801, "admission.retry_budget_spent", log.WarnLevel,
		"A failed attempt was not retried because the service's retry budget is spent.",
		"Find out why attempts fail: look for lost groups and dark fabric domains.")
)

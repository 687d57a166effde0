package lease

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

// Events of the package.
var (
	eventClaimed = event.Define(1300, "lease.claimed", log.InfoLevel,
		"The daemon has acquired the lease of a control scope under a new term.", "Nothing.")
	eventLapsed = event.Define(1301, "lease.lapsed", log.WarnLevel,
		"The daemon's lease of a scope expired before a renewal was accepted.",
		"Check for an outage of the log, a pause of the daemon, or another holder.")
	eventExpired = event.Define(1302, "lease.expired", log.InfoLevel,
		"A holder stopped renewing its lease of a scope; the daemon claims the scope.", "Check the holder if it was not stopped on purpose.")
	eventReleased = event.Define(1303, "lease.released", log.InfoLevel,
		"The daemon released scopes, for a planned stop or to rebalance the scopes.", "Nothing.")
)

var (
	eventShareTaken = event.Define(1306, "lease.share-taken", log.InfoLevel,
		"The daemon has claimed a control scope and acts for it under the given term.", "None.")
	eventShareLost = event.Define(1307, "lease.share-lost", log.InfoLevel,
		"Another daemon has claimed a control scope that this daemon held.", "None.")
	eventLogRestored = event.Define(1309, "lease.log-restored", log.WarnLevel,
		"The log of claims has come back from an older copy. A hold that is still valid goes on; else the scope is claimed once all holds of before have ended.", "Nothing.")
	eventShareFailed = event.Define(1308, "lease.share-failed", log.WarnLevel,
		"The store did not accept a renewal of this daemon's lease of a control scope; without a renewal the lease expires.", "Check whether the store responds.")
)

package edge

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventStarted = event.Define(1801, "edge.started", log.InfoLevel,
		"The daemon listens and reads the routing document and the list of backend servers.", "Nothing; the daemon becomes ready by itself.")
	eventStopped = event.Define(1802, "edge.stopped", log.InfoLevel,
		"The daemon has stopped.", "Nothing after a planned stop.")
	eventDraining = event.Define(1803, "edge.draining", log.InfoLevel,
		"A planned stop has started.", "Wait for edge.stopped before removing the instance.")
	eventDrained = event.Define(1804, "edge.drained", log.InfoLevel,
		"No requests are in flight.", "Nothing.")
	eventDrainTimeout = event.Define(1805, "edge.drain-timeout", log.ErrorLevel,
		"The planned stop exceeded drain-timeout and ended with requests in flight.", "Raise drain-timeout above the longest deadline.")
	eventServeFailed = event.Define(1806, "edge.serve-failed", log.ErrorLevel,
		"A listener failed.", "Restart the daemon; check whether the address is in use.")
	eventDocument = event.Define(1807, "edge.document", log.InfoLevel,
		"A newer routing document is in effect at this daemon; source tells whether the store or a peer brought it. For the store, bytes is the size of the read, head the time until its answer began, which includes the wait for a change, and body that until its end.", "Nothing.")
	eventBadRecord = event.Define(1808, "edge.bad-record", log.WarnLevel,
		"A record of the store or a broadcast of a peer is invalid and was skipped; position is its offset or version, and the error names the field.", "Report the error to the writer of the record.")
	eventStoreFailed = event.Define(1809, "edge.store-failed", log.WarnLevel,
		"A call to the store failed; the last known state stays in effect. The error says how much of an answer had arrived, and when.", "Check whether the store responds.")
	eventStoreRestored = event.Define(1818, "edge.store-restored", log.WarnLevel,
		"The store has come back from an older copy, in which entries of the list may be missing or outdated until their servers write them again; era is that of its answers, before is the last one. Withheld is the number of entries that contradict what is known and do not count yet, missing that of servers without an entry, which are kept for now.", "Nothing, unless it was not intended.")
	eventListRecovered = event.Define(1810, "edge.list-back", log.InfoLevel,
		"The list of backend servers can be read again, or is known from a peer; away is how long it was not known to be current, and kept_for how long servers that drop off it are kept.", "Nothing.")
	eventServerUnlisted = event.Define(1811, "edge.unlisted", log.InfoLevel,
		"A backend server was removed from the list; kept says that it still gets requests, because an outage of the store may have removed its entry.", "Nothing, unless the server should be listed.")
	eventServerNotReturned = event.Define(1817, "edge.not-returned", log.InfoLevel,
		"A backend server that was kept when it dropped off the list has not returned to it, and gets no more requests.", "Nothing, unless the server should be listed.")
	eventAnnounceFailed = event.Define(1812, "edge.announce-failed", log.WarnLevel,
		"The daemon could not publish its address to the other daemons; it retries.", "Check whether the store responds.")
	eventGroupStalled = event.Define(1813, "edge.group-stalled", log.WarnLevel,
		"No stream of this daemon at a group makes progress; the group gets no new requests and its members are checked.", "See placement.engine-down for the failed member.")
	eventServerLeaving = event.Define(1816, "edge.server-leaving", log.InfoLevel,
		"A backend server has announced that it leaves, in an answer to this daemon or to a peer; it gets no new requests until its next start, whatever the list says.",
		"Nothing if the server ends soon. Restart it if it does not.")
	eventSettingsChanged = event.Define(1814, "edge.hangup", log.InfoLevel,
		"The daemon was notified that its settings changed; they take effect at its next start.", "Restart the daemon to apply the settings.")
	eventUnknownBroadcast = event.Define(1815, "edge.unknown-broadcast", log.InfoLevel,
		"Another daemon broadcast something that this version does not know; it was passed over.",
		"Expected during a rolling upgrade; otherwise compare the daemons' versions.")
	eventZoneEvacuated = event.Define(1819, "edge.zone-evacuated", log.InfoLevel,
		"The operator evacuates an availability zone: from now on this daemon sends its backend servers no requests. Source tells whether the store or a peer brought it, and requests how many of this daemon's still run there.",
		"Wait for edge.zone-empty of all daemons before the zone is switched off.")
	eventZoneTakenBack = event.Define(1820, "edge.zone-taken-back", log.InfoLevel,
		"An availability zone is used again. Missing says that the record of its evacuation is missing in a store that came back from an older copy, and was not written again in time.",
		"Nothing; if missing is set and the zone is to stay empty, write the evacuation again.")
	eventZoneEmpty = event.Define(1821, "edge.zone-empty", log.InfoLevel,
		"No request of this daemon runs in an availability zone that is evacuated.", "Nothing.")
	eventBoundShort = event.Define(1832, "edge.bound-short", log.WarnLevel,
		"A bound of the settings may not be kept if an answer of the store is lost just then; the reason names it and the time that a change may take.",
		"Raise the bound if the deployment allows it; otherwise expect a few requests beyond it when the store loses answers.")
	eventClientLimits = event.Define(1830, "edge.client-limits", log.InfoLevel,
		"What clients may take together: connections, and bytes of memory for bodies of requests, for answers, for connections and without clients. With a memory limit their total is below it.", "None.")
	eventConnectionClosed = event.Define(1831, "edge.connection-closed", log.WarnLevel,
		"A connection that waited for its client was closed in favor of another one, because there were as many as the limit. Each client is logged once a minute, at most 64 of them; unlogged counts the ones since the last line.",
		"See \"Under attack\" in OPERATIONS.md.")
)

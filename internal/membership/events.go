package membership

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

// Events of the package.
var (
	eventLinkUp = event.Define(2000, "membership.link-up", log.InfoLevel,
		"A link to another daemon was opened.", "Nothing.")
	eventLinkDown = event.Define(2001, "membership.link-down", log.WarnLevel,
		"A link to another daemon was closed for the stated reason.",
		"Nothing if the peer was stopped; otherwise check the network between the two addresses.")
	eventDialFailed = event.Define(2002, "membership.dial-failed", log.DebugLevel,
		"A dial to another daemon's address failed; the daemon retries.",
		"If it persists, check that the address is in the platform's list and that its peer listener can be reached.")
	eventUnknownMessage = event.Define(2003, "membership.unknown-message", log.WarnLevel,
		"A peer sent a message of an unknown type, which was ignored.",
		"Expected during a rolling upgrade; otherwise compare the daemons' versions.")
	eventBadMessage = event.Define(2004, "membership.bad-message", log.ErrorLevel,
		"A peer sent a message that can't be decoded; the link was closed if later messages depend on it.",
		"Compare the daemons' versions, and check that nothing else connects to the peer listener.")
	eventRelayed = event.Define(2005, "membership.relayed", log.InfoLevel,
		"This daemon was behind and fetched log records from a peer.",
		"If it repeats, check this daemon's connection to the log.")
	eventPeerGone = event.Define(2006, "membership.peer-gone", log.InfoLevel,
		"A peer was removed from the view: it sent a goodbye, was replaced or sent no heartbeats.",
		"Nothing if it was stopped or replaced.")
	eventRequestFailed = event.Define(2007, "membership.request-failed", log.WarnLevel,
		"A request for state or records to a peer failed.", "Nothing; the daemon tries another peer.")
)

package membership

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

// Events of the package.
var (
	eventLinkUp = event.Define(2000, "membership.link-up", log.InfoLevel,
		"A link to another daemon is open.", "Nothing.")
	eventLinkDown = event.Define(2001, "membership.link-down", log.WarnLevel,
		"A link to another daemon ended for the stated reason.",
		"Nothing if the peer was stopped; otherwise look at the network between the two addresses.")
	eventDialFailed = event.Define(2002, "membership.dial-failed", log.DebugLevel,
		"Another daemon's address could not be reached; the daemon tries again.",
		"If it lasts, check that the address is in the platform's list and that its peer listener can be reached.")
	eventUnknownMessage = event.Define(2003, "membership.unknown-message", log.WarnLevel,
		"A peer sent a message of an unknown type, which was ignored.",
		"Expected while two releases run side by side; otherwise compare the daemons' versions.")
	eventBadMessage = event.Define(2004, "membership.bad-message", log.ErrorLevel,
		"A peer sent a message that can't be decoded; the link was dropped.",
		"Compare the daemons' versions, and check that nothing else connects to the peer listener.")
	eventRelayed = event.Define(2005, "membership.relayed", log.InfoLevel,
		"Records of the log were taken from a peer, because this daemon was behind.",
		"If it repeats, look at this daemon's way to the log.")
	eventPeerGone = event.Define(2006, "membership.peer-gone", log.InfoLevel,
		"A peer is no longer counted: it said goodbye, was replaced or stayed silent.",
		"Nothing if it was stopped or replaced.")
	eventRequestFailed = event.Define(2007, "membership.request-failed", log.WarnLevel,
		"A request for state or records to a peer failed.", "Nothing; another peer is asked.")
)

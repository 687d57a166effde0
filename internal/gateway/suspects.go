package gateway

import (
	"time"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/internal/suspect"
)

// SuspectMessage returns a verdict as operators see it.
func SuspectMessage(v suspect.Verdict) *carawayv1.Suspect {
	m := &carawayv1.Suspect{
		Fingerprint: v.Fingerprint.String(),
		Service:     string(v.Service),
		Deaths:      uint32(v.Deaths),
		Until:       time.UnixMilli(v.Until).UTC().Format(time.RFC3339),
		Cleared:     v.Cleared,
		Part:        v.Part,
		Survivals:   uint32(v.Survivals),
	}
	if at := v.DecidedAt(); !at.IsZero() {
		m.Decided = at.UTC().Format(time.RFC3339)
	}
	return m
}

package site

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the platform on requests that crash backend servers: at most
// MaxLateSends reach one later than StableWindow after the crash numbered
// CrashesOfRequest, or with a part of a prompt CrashesOfPart.
const (
	StableWindow     = 3 * time.Second
	CrashesOfRequest = 3
	CrashesOfPart    = 5
	MaxLateSends     = 3
)

// LateCrashingRuns returns how many requests with a body or a part of a prompt
// that crashes servers reached one later than StableWindow after the given number
// of its crashes, and after since.
func (w *World) LateCrashingRuns(cause string, crashes int, since time.Time) int {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	if len(w.shared.crashes[cause]) < crashes {
		return 0
	}
	late := 0
	for _, run := range w.shared.crashingRuns[cause] {
		if run.at.Sub(w.shared.crashes[cause][crashes-1]) > StableWindow && run.at.After(since) {
			late++
		}
	}
	return late
}

// CrashOn makes engines crash when they begin an answer to a prompt with this
// part, given as on the wire.
func (w *World) CrashOn(part string) {
	w.Update(func() { w.shared.crashingParts[part] = true })
}

// Prompt is the header of a prompt with these parts and a last one of its own.
func Prompt(parts []string, last int) http.Header {
	return http.Header{"X-Carawayproxy-Prefix-Hash": {strings.Join(parts, ":100,") + fmt.Sprintf(":100,%x:50", 1<<32+last)}}
}

// Engine returns the engine that was started as the i-th, with the lock of
// World.shared held meanwhile.
func (w *World) Engine(i int) *Engine {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	return w.Engines[i]
}

package site

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// logBuffer collects the log lines of several daemons.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// linesOf returns the log lines of one request by event name.
func (b *logBuffer) linesOf(id string) map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]string{}
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, "request="+id+" ") {
			_, rest, _ := strings.Cut(line, "msg=")
			name, _, _ := strings.Cut(rest, " ")
			out[name] += line
		}
	}
	return out
}

// Every decision about a request is logged with the request id, the inputs of
// the decision with their version or age, and the outcome. Failed requests have
// all their lines.
func TestEachDecisionAboutARequestIsLogged(t *testing.T) {
	var log logBuffer
	synctest.Test(t, func(t *testing.T) {
		w, err := New(Options{Daemons: 1, Engines: 24, Plains: 2, Log: &log})
		assert.NilError(t, err)
		defer time.Sleep(settleTime)
		defer w.Close()
		time.Sleep(leadTime)
		d := w.Daemons[0]
		assert.Assert(t, w.Stream(d, "served", ModelOfTwo).IsComplete("served"))
		w.Call(d, http.MethodPost, "/nowhere/x", "no-route", "", "", nil)
		w.Call(d, http.MethodPost, "/stream/x", "no-model", "nobody", "", nil)
		w.Update(func() { w.Plains[0].DropResponses, w.Plains[1].DropResponses = true, true })
		w.Call(d, http.MethodPost, "/unsafe/x", "uncertain", "", "", nil)
		w.Update(func() {
			for _, e := range w.Engines {
				e.dead = true
			}
		})
		w.Stream(d, "late", ModelOfTwo)
		time.Sleep(time.Second)
	})
	for _, test := range []struct {
		id, event string
		parts     []string
	}{
		{"served", "entry.accepted", []string{"route=stream", "document=1", "service=engines/duo", "workspace=trust", "fingerprint=", "parts=", "left=6s"}},
		{"served", "dispatch.routed", []string{"group=duo.", "epoch=", "instance=i-", "own=0", "peers=0", "report_age=", "reason="}},
		{"served", "entry.answered", []string{"outcome=served", "status=200", "late=false", "first=", "longest_pause=", "took="}},
		{"no-route", "entry.refused", []string{"status=404", "document=1", "reason="}},
		{"no-model", "dispatch.refused", []string{"state=NOT_RUN", "reason=unknown"}},
		{"no-model", "entry.answered", []string{"status=503"}},
		{"uncertain", "dispatch.attempt-failed", []string{"group=plain/p-", "cause="}},
		{"uncertain", "dispatch.refused", []string{"state=MAY_HAVE_RUN"}},
		{"uncertain", "entry.answered", []string{"status=502"}},
		{"late", "dispatch.attempt-failed", []string{"group=duo."}},
		{"late", "entry.answered", []string{"outcome="}},
	} {
		line := log.linesOf(test.id)[test.event]
		for _, part := range test.parts {
			assert.Check(t, strings.Contains(line, part), fmt.Sprintf("%s of %s lacks %s: %q", test.event, test.id, part, line))
		}
	}
}

// The holder is one daemon of many and meets few requests. The split of the
// engines must follow the requests at all daemons, not the holder's own.
func TestSplitIgnoredRequestsAtOtherDaemons(t *testing.T) {
	const perSecond, forTime = 10, 70 * time.Second
	var log logBuffer
	synctest.Test(t, func(t *testing.T) {
		w, err := New(Options{Daemons: 3, Engines: 24, Plains: 2, Log: &log})
		assert.NilError(t, err)
		defer time.Sleep(settleTime)
		defer w.Close()
		time.Sleep(leadTime)
		var callers sync.WaitGroup
		for n := range perSecond * int(forTime.Seconds()) {
			d := w.Daemons[n%len(w.Daemons)]
			if d.HoldsLease() {
				d = w.Daemons[(n+1)%len(w.Daemons)]
			}
			callers.Go(func() { w.Stream(d, fmt.Sprintf("s-%d", n), ModelOfTwo) })
			time.Sleep(time.Second / perSecond)
		}
		callers.Wait()
	})
	// A prompt of 700 tokens at 45,000 a second, and 50 steps of 8.8 ms for 8 slots:
	// a request without a hint counts with half of its maximum of 100 tokens.
	const want = perSecond * (700.0/45000 + 50*0.0088/8)
	got := 0.0
	for line := range strings.Lines(log.text.String()) {
		if _, work, ok := strings.Cut(line, "work="); ok && strings.Contains(line, "placement.split") && strings.Contains(line, "measured=true") && strings.Contains(line, "service=engines/duo") {
			fmt.Sscan(work, &got)
		}
	}
	assert.Assert(t, got > 0.7*want && got < 1.3*want, "measured work %g, want about %g", got, want)
}

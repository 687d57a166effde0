package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauses(t *testing.T) {
	p := NewPauses(nil)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	assert.Equal(t, p.Wait("e", 1, at(0)), time.Duration(0))
	p.ObservePause("e", 1, 2*time.Second, "answer", at(0))
	assert.Equal(t, p.Wait("e", 1, at(time.Second)), time.Second)
	p.ObservePause("e", 1, 500*time.Millisecond, "answer", at(time.Second))
	assert.Equal(t, p.Wait("e", 1, at(time.Second)), time.Second, "a shorter pause must not end the longer one")
	p.ObservePause("e", 1, 2*time.Second, "answer", at(time.Second))
	assert.Equal(t, p.Wait("e", 1, at(time.Second)), 2*time.Second)
	assert.Equal(t, p.Wait("e", 2, at(time.Second)), time.Duration(0), "the server's next start asked for nothing")
	assert.Equal(t, p.Wait("f", 1, at(time.Second)), time.Duration(0))
	assert.Equal(t, p.Wait("e", 1, at(3*time.Second)), time.Duration(0))
	p.ObservePause("f", 1, time.Second, "answer", at(4*time.Second))
	assert.Equal(t, len(p.until), 1, "pauses that have ended are forgotten")
}

package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPaths(t *testing.T) {
	at := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	p := NewPaths()
	lost, suspect := p.RecordFailure("a", 60, at)
	assert.Assert(t, !lost && !suspect, "one server")
	lost, suspect = p.RecordFailure("a", 60, at)
	assert.Assert(t, !lost && !suspect, "one server twice")
	lost, suspect = p.RecordFailure("b", 60, at)
	assert.Assert(t, !lost && suspect, "two servers")
	p.RecordSuccess("c", 60, at)
	lost, suspect = p.RecordFailure("d", 60, at.Add(time.Millisecond))
	assert.Assert(t, !lost && !suspect, "another one was reached in between")
	p.RecordFailure("e", 60, at.Add(2*time.Millisecond))
	lost, _ = p.RecordFailure("f", 60, at.Add(failureWindow+2*time.Millisecond))
	assert.Assert(t, !lost, "the first failure is too old")
	lost, _ = p.RecordFailure("g", 60, at.Add(failureWindow+2*time.Millisecond))
	assert.Assert(t, lost && p.Lost())
	at = at.Add(2 * failureWindow)
	back, hopeful := p.RecordSuccess("a", 60, at)
	assert.Assert(t, !back && hopeful, "one server was reached")
	back, _ = p.RecordSuccess("a", 60, at)
	assert.Assert(t, !back, "the same one again")
	p.RecordFailure("b", 60, at)
	back, _ = p.RecordSuccess("c", 60, at)
	assert.Assert(t, !back, "a dial failed in between")
	back, _ = p.RecordSuccess("d", 60, at)
	assert.Assert(t, back && !p.Lost())

	p.RecordRelayed("x", "edge-1", at)
	assert.Assert(t, p.PrefersRelay("x", at) && !p.PrefersRelay("y", at))
	assert.Assert(t, !p.PrefersRelay("x", at.Add(relayTTL)))
	assert.Equal(t, string(p.LastRelay("x")), "edge-1")
	p.RecordSuccess("x", 60, at)
	assert.Assert(t, !p.PrefersRelay("x", at))
}

// A deployment may have fewer servers than failures are asked for.
func TestLinksToOneServer(t *testing.T) {
	at := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for name, learn := range map[string]func(p *Paths){
		"reached before":            func(p *Paths) { p.RecordSuccess("a", 1, at) },
		"reached by another daemon": func(p *Paths) { p.RecordRelayed("a", "edge-1", at) },
	} {
		p := NewPaths()
		learn(p)
		lost, _ := p.RecordFailure("a", 1, at.Add(time.Millisecond))
		assert.Assert(t, lost, name)
		back, _ := p.RecordSuccess("a", 1, at.Add(2*time.Millisecond))
		assert.Assert(t, back, name)
	}
}

// While a deployment starts, the list shows one server that does not answer yet. All
// daemons took it for the loss of all their links and opened tunnels.
func TestFirstServerThatDidNotAnswerWasTakenForLostLinks(t *testing.T) {
	at := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	p := NewPaths()
	for n := range 5 {
		lost, _ := p.RecordFailure("a", 1, at.Add(time.Duration(n)*100*time.Millisecond))
		assert.Assert(t, !lost && !p.Lost(), "failure %d", n)
	}
	lost, suspect := p.RecordFailure("b", 2, at.Add(600*time.Millisecond))
	assert.Assert(t, !lost && suspect, "two servers, none of which was ever reached")
	lost, _ = p.RecordFailure("c", 3, at.Add(700*time.Millisecond))
	assert.Assert(t, lost, "three servers")
}

package runs

import (
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lines collects what daemons log.
type lines struct {
	mu  sync.Mutex
	all strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

var wholeAt = regexp.MustCompile(`msg=placement\.group-whole event=1411 daemon=s\d+-d(\d)`)

// TestCaretakerOfWholeDaemons kills the holder of the group's scope while the
// log is down, and lets a member restart.
func TestCaretakerOfWholeDaemons(t *testing.T) {
	t.Parallel()
	log := &lines{}
	placed := false
	inBubble(t, Options{Seed: 1, Length: shortRun, calm: true, size: small, choices: defaultChoices, Log: log, tamper: func(m *tampering) {
		up := m.faults.logDown()
		pause(m.ctx, 20*time.Second)
		holders := wholeAt.FindAllStringSubmatch(log.String(), -1)
		m.world.daemons[holders[len(holders)-1][1][0]-'0'].kill()
		_, member := m.group()
		member.kill()
		_ = member.start()
		pause(m.ctx, 10*time.Second)
		_, a, _ := member.state()
		placed = a != nil
		up()
	}})
	assert.Assert(t, placed, "the member has no place in the outage")
	assert.Assert(t, strings.Contains(log.String(), "placement.place-given-back"))
}

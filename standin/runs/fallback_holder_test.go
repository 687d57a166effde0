package runs

import (
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// logBuffer collects the daemons' log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

var groupWholeEvent = regexp.MustCompile(`msg=placement\.group-whole event=1411 daemon=s\d+-d(\d)`)

// The holder of the group's scope is killed while the log is down, and a member
// of the group restarts. A fallback holder must order the member back into its
// place during the outage.
func TestFallbackHolderWhileLogIsDown(t *testing.T) {
	t.Parallel()
	log := &logBuffer{}
	placed := false
	runInBubble(t, Options{Seed: 1, Length: shortRun, noFaults: true, size: smallSize, settings: defaultSettings, Log: log, tamper: func(m *tampering) {
		endOutage := m.faults.logDown()
		sleep(m.ctx, 20*time.Second)
		holders := groupWholeEvent.FindAllStringSubmatch(log.String(), -1)
		m.world.daemons[holders[len(holders)-1][1][0]-'0'].kill()
		_, member := m.groupEngines()
		member.kill()
		_ = member.start()
		sleep(m.ctx, 10*time.Second)
		_, a, _ := member.state()
		placed = a != nil
		endOutage()
	}})
	assert.Assert(t, placed, "the restarted member was not placed during the outage")
	assert.Assert(t, strings.Contains(log.String(), "placement.place-given-back"))
}

package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// sampleReport returns a report that crosses a link unchanged, except for
// ReceivedAt.
func sampleReport() fleet.Report {
	return fleet.Report{
		Instance: "i-1", Incarnation: 4, Ready: true, Leaving: true, MaxRunning: 8, LoadProgress: 0.5,
		Assignment: &fleet.Assignment{Group: "g", Epoch: 2, Rank: 1, Service: "s", Model: "m", Version: "v", Adapters: []fleet.Adapter{"a"}, Role: "r", Members: []string{"x", "y"}},
		Running:    3, Queued: 2, PendingTokens: 700, TokensPerSecond: 90, LoadAge: 30 * time.Millisecond,
	}
}

// reportLink encodes and decodes reports as the two ends of a link do.
type reportLink struct {
	out      *nameTable
	in       nameList
	sent     map[fleet.InstanceID]fleet.Report
	received map[uint32]fleet.Report
}

func newReportLink() *reportLink {
	return &reportLink{out: newNameTable(), sent: map[fleet.InstanceID]fleet.Report{}, received: map[uint32]fleet.Report{}}
}

func (x *reportLink) send(t *testing.T, now, sentAt time.Time, reports ...fleet.Report) (*heartbeatMessage, []fleet.Report) {
	b := &heartbeatMessage{Sequence: 1}
	x.out.packReports(b, now, reports, x.sent)
	x.out.pack(b, nil, nil)
	body, err := decode(mustEncode(b))
	assert.NilError(t, err)
	b = body.(*heartbeatMessage)
	x.in = append(x.in, b.Names...)
	got, err := x.in.unpackReports(b, sentAt, x.received)
	assert.NilError(t, err)
	return b, got
}

func TestReportsCrossALinkAsChanges(t *testing.T) {
	now := time.Now()
	x := newReportLink()
	r := sampleReport()
	requestedAt := now.Add(-209 * time.Millisecond)
	// crosses sends the report with a new request time, and checks the received
	// report and how many states and loads were sent.
	crosses := func(step string, r fleet.Report, states, loads int) *heartbeatMessage {
		requestedAt = requestedAt.Add(time.Microsecond)
		r.ReceivedAt = requestedAt
		b, got := x.send(t, now, now, r)
		assert.Equal(t, len(b.Reports), states, step)
		assert.Equal(t, len(b.Loads), loads, step)
		r.ReceivedAt = now.Add(-210 * time.Millisecond) // the age is rounded up
		assert.DeepEqual(t, got, []fleet.Report{r})
		return b
	}
	crosses("first", r, 1, 1)
	crosses("busy", r, 0, 1)
	r.Running, r.Queued, r.PendingTokens = 0, 0, 0
	crosses("idle", r, 0, 1)
	b := crosses("idle again", r, 0, 0)
	assert.Assert(t, len(mustEncode(b)) < len(mustEncode(&heartbeatMessage{Sequence: 1}))+8, "an unchanged report takes a few bytes")
	r.ReceivedAt = requestedAt
	b, got := x.send(t, now, now, r)
	assert.Equal(t, len(b.Reports)+len(b.Loads)+len(b.ReportAges)+len(got), 0, "a report is sent once")
	for name, change := range map[string]func(*fleet.Report){
		"incarnation": func(r *fleet.Report) { r.Incarnation++ },
		"readiness":   func(r *fleet.Report) { r.Ready = !r.Ready },
		"leaving":     func(r *fleet.Report) { r.Leaving = !r.Leaving },
		"progress":    func(r *fleet.Report) { r.LoadProgress = 0.999 },
		"epoch":       func(r *fleet.Report) { a := *r.Assignment; a.Epoch++; r.Assignment = &a },
		"composition": func(r *fleet.Report) { a := *r.Assignment; a.Members = []string{"x", "z"}; r.Assignment = &a },
		"released":    func(r *fleet.Report) { r.Assignment = nil },
	} {
		changed := r
		change(&changed)
		crosses(name, changed, 1, 0)
		crosses("back", r, 1, 0)
	}
	assert.Assert(t, progress(fleet.Report{LoadProgress: 0.9999}) < progressUnit, "an unfinished load is never rounded up to complete")
}

func TestUnusableReports(t *testing.T) {
	x := newReportLink()
	now := time.Now()
	_, got := x.send(t, now, time.Time{}, sampleReport())
	assert.Equal(t, len(got), 0, "no lower bound for the request time")
	states := make([]wireReport, maxReports+1)
	loads := make([]wireLoad, maxReports+1)
	for number := range x.received {
		for i := range states {
			states[i].Instance = number
			loads[i].Instance = number
		}
	}
	for name, b := range map[string]heartbeatMessage{
		"no age":                    {ReportAges: []uint64{0}},
		"unknown report":            {ReportAges: []uint64{7, 1}},
		"number too large":          {ReportAges: []uint64{1 << 40, 1}},
		"load of an unknown report": {Loads: []wireLoad{{Instance: 7}}},
		"unknown name":              {Reports: []wireReport{{Instance: 7}}},
		"too many":                  {ReportAges: make([]uint64, 2*maxReports+2)},
		"too many states":           {Reports: states},
		"too many loads":            {Loads: loads},
	} {
		_, err := x.in.unpackReports(&b, now, x.received)
		assert.Assert(t, err != nil, name)
	}
}

// TestOlderReleaseIgnoresReports: a release that does not know the fields
// can read the rest of the heartbeat.
func TestOlderReleaseIgnoresReports(t *testing.T) {
	var older struct {
		Sequence uint64 `cbor:"2,keyasint"`
	}
	frame := mustEncode(sampleMessages()[1])
	assert.NilError(t, wireCodec.dec.Unmarshal(frame[headerBytes:], &older))
	assert.Equal(t, older.Sequence, uint64(9))
}

// ReceivedAt of a report that was buffered on the way is still when it was
// requested.
func TestBufferedReportsKeepTheirRequestTime(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		late, peer := c.members[0], c.members[1]
		var requestedAt time.Time // of the last poll
		peer.set(func(m *member) {
			m.poll = func(now time.Time) []fleet.Report {
				requestedAt = now.Add(-100 * time.Millisecond)
				r := sampleReport()
				r.ReceivedAt = requestedAt
				return []fleet.Report{r}
			}
		})
		time.Sleep(10*time.Second + DefaultHeartbeatInterval/5)
		received := func() (int, fleet.Report) {
			late.mu.Lock()
			defer late.mu.Unlock()
			return len(late.reports), late.reports[len(late.reports)-1]
		}
		lastRequestedAt := func() (at time.Time) {
			peer.set(func(*member) { at = requestedAt })
			return at
		}
		_, last := received()
		behind := lastRequestedAt().Sub(last.ReceivedAt)
		assert.Assert(t, behind >= 0 && behind < 50*time.Millisecond, "the bound is off by %v", behind)

		c.net.CutBoth(peer.ip, late.ip)
		time.Sleep(time.Second)
		peer.stop()
		before, _ := received()
		time.Sleep(2*time.Second + DefaultHeartbeatInterval/10)
		c.net.Heal(peer.ip, late.ip)
		time.Sleep(200 * time.Millisecond)
		after, last := received()
		assert.Assert(t, after > before, "buffered reports arrived")
		assert.Assert(t, !last.ReceivedAt.After(lastRequestedAt()), "ReceivedAt is %v after the request", last.ReceivedAt.Sub(lastRequestedAt()))
	})
}

func TestUnresponsiveInstancesAreSentOnChange(t *testing.T) {
	n, lastListed := newNameTable(), map[fleet.InstanceID]bool{}
	for i, step := range []struct {
		unresponsive []fleet.InstanceID
		sent         int
	}{
		{[]fleet.InstanceID{"i-1"}, 1},
		{[]fleet.InstanceID{"i-1", "i-2"}, 1},
		{[]fleet.InstanceID{"i-1", "i-2"}, 0},
		{[]fleet.InstanceID{"i-2"}, 0},
		{[]fleet.InstanceID{"i-1", "i-2"}, 1},
	} {
		var b heartbeatMessage
		b.Unresponsive = packNew(n, step.unresponsive, lastListed)
		assert.Equal(t, len(b.Unresponsive), step.sent, "step %d", i)
	}
}

// After RequestHeartbeat, unresponsive instances are sent before the next
// regular heartbeat.
func TestEarlyHeartbeatCarriesUnresponsiveInstances(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		time.Sleep(DefaultHeartbeatInterval / ticksPerHeartbeat / 2)
		c.members[1].set(func(m *member) { m.heartbeat.Unresponsive = []fleet.InstanceID{"i-1"} })
		c.members[1].RequestHeartbeat()
		time.Sleep(DefaultHeartbeatInterval/ticksPerHeartbeat + 2*oneWay)
		c.members[0].set(func(m *member) { assert.DeepEqual(t, m.unresponsive, []fleet.InstanceID{"i-1"}) })
	})
}

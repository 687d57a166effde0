package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// sampleReport is a report as a peer gets it, but for the time.
func sampleReport() fleet.Report {
	return fleet.Report{
		Instance: "i-1", Incarnation: 4, Ready: true, Leaving: true, MaxRunning: 8, LoadProgress: 0.5,
		Assignment: &fleet.Assignment{Group: "g", Epoch: 2, Rank: 1, Service: "s", Model: "m", Version: "v", Adapters: []fleet.Adapter{"a"}, Role: "r", Members: []string{"x", "y"}},
		Running:    3, Queued: 2, PendingTokens: 700, TokensPerSecond: 90, LoadAge: 30 * time.Millisecond,
	}
}

// told sends reports over a link and returns what the peer takes from them.
type told struct {
	out   *numbering
	in    names
	sent  map[fleet.InstanceID]fleet.Report
	heard map[uint32]fleet.Report
}

func newTold() *told {
	return &told{out: newNumbering(), sent: map[fleet.InstanceID]fleet.Report{}, heard: map[uint32]fleet.Report{}}
}

func (x *told) tell(t *testing.T, now, sentAt time.Time, reports ...fleet.Report) (*beatMessage, []fleet.Report) {
	b := &beatMessage{Sequence: 1}
	x.out.packReports(b, now, reports, x.sent)
	x.out.pack(b, nil, nil)
	body, err := decode(mustEncode(b))
	assert.NilError(t, err)
	b = body.(*beatMessage)
	x.in = append(x.in, b.Names...)
	got, err := x.in.unpackReports(b, sentAt, x.heard)
	assert.NilError(t, err)
	return b, got
}

func TestReportsCrossALinkAsChanges(t *testing.T) {
	now := time.Now()
	x := newTold()
	r := sampleReport()
	asked := now.Add(-209 * time.Millisecond)
	// crosses polls and sends the report and checks what the peer takes and how
	// many states and loads that cost.
	crosses := func(what string, r fleet.Report, states, loads int) *beatMessage {
		asked = asked.Add(time.Microsecond)
		r.ReceivedAt = asked
		b, got := x.tell(t, now, now, r)
		assert.Equal(t, len(b.Reports), states, what)
		assert.Equal(t, len(b.Loads), loads, what)
		r.ReceivedAt = now.Add(-210 * time.Millisecond) // rounded up to be safe
		assert.DeepEqual(t, got, []fleet.Report{r})
		return b
	}
	crosses("first", r, 1, 1)
	crosses("at work", r, 0, 1)
	r.Running, r.Queued, r.PendingTokens = 0, 0, 0
	crosses("idle", r, 0, 1)
	b := crosses("idle again", r, 0, 0)
	assert.Assert(t, len(mustEncode(b)) < len(mustEncode(&beatMessage{Sequence: 1}))+8, "an unchanged report costs a few bytes")
	r.ReceivedAt = asked
	b, got := x.tell(t, now, now, r)
	assert.Equal(t, len(b.Reports)+len(b.Loads)+len(b.Asked)+len(got), 0, "a report crosses once")
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
	assert.Assert(t, progress(fleet.Report{LoadProgress: 0.9999}) < progressUnit, "a load is not done before it is")
}

func TestReportsThatAreNotUsed(t *testing.T) {
	x := newTold()
	now := time.Now()
	_, got := x.tell(t, now, time.Time{}, sampleReport())
	assert.Equal(t, len(got), 0, "no bound in time")
	states := make([]wireReport, maxReports+1)
	loads := make([]wireLoad, maxReports+1)
	for number := range x.heard {
		for i := range states {
			states[i].Instance = number
			loads[i].Instance = number
		}
	}
	for name, b := range map[string]beatMessage{
		"no age":          {Asked: []uint64{0}},
		"never told":      {Asked: []uint64{7, 1}},
		"number too long": {Asked: []uint64{1 << 40, 1}},
		"load never told": {Loads: []wireLoad{{Instance: 7}}},
		"no name":         {Reports: []wireReport{{Instance: 7}}},
		"too many":        {Asked: make([]uint64, 2*maxReports+2)},
		"too many states": {Reports: states},
		"too many loads":  {Loads: loads},
	} {
		_, err := x.in.unpackReports(&b, now, x.heard)
		assert.Assert(t, err != nil, name)
	}
}

// TestOlderReleasePassesOverReports: one that does not know the fields reads
// the rest of the heartbeat.
func TestOlderReleasePassesOverReports(t *testing.T) {
	var older struct {
		Sequence uint64 `cbor:"2,keyasint"`
	}
	frame := mustEncode(sampleMessages()[1])
	assert.NilError(t, wire.dec.Unmarshal(frame[headerBytes:], &older))
	assert.Equal(t, older.Sequence, uint64(9))
}

// Reports that lay in a buffer count from when they were asked for.
func TestHeldReportsCountFromWhenTheyWereAsked(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		late, peer := c.members[0], c.members[1]
		var asked time.Time // of the last poll
		peer.set(func(m *member) {
			m.polled = func(now time.Time) []fleet.Report {
				asked = now.Add(-100 * time.Millisecond)
				r := sampleReport()
				r.ReceivedAt = asked
				return []fleet.Report{r}
			}
		})
		time.Sleep(10*time.Second + DefaultBeat/5)
		heard := func() (int, fleet.Report) {
			late.mu.Lock()
			defer late.mu.Unlock()
			return len(late.reports), late.reports[len(late.reports)-1]
		}
		lastAsked := func() (at time.Time) {
			peer.set(func(*member) { at = asked })
			return at
		}
		_, last := heard()
		behind := lastAsked().Sub(last.ReceivedAt)
		assert.Assert(t, behind >= 0 && behind < 50*time.Millisecond, "the bound is %v off", behind)

		c.net.CutBoth(peer.ip, late.ip)
		time.Sleep(time.Second)
		peer.stop()
		before, _ := heard()
		time.Sleep(2*time.Second + DefaultBeat/10)
		c.net.Heal(peer.ip, late.ip)
		time.Sleep(200 * time.Millisecond)
		after, last := heard()
		assert.Assert(t, after > before, "held reports arrived")
		assert.Assert(t, !last.ReceivedAt.After(lastAsked()), "counts from %v after it was asked for", last.ReceivedAt.Sub(lastAsked()))
	})
}

func TestSilenceIsToldOnceAndAgainAfterItsEnd(t *testing.T) {
	n, told := newNumbering(), map[fleet.InstanceID]bool{}
	for i, step := range []struct {
		silent []fleet.InstanceID
		told   int
	}{
		{[]fleet.InstanceID{"i-1"}, 1},
		{[]fleet.InstanceID{"i-1", "i-2"}, 1},
		{[]fleet.InstanceID{"i-1", "i-2"}, 0},
		{[]fleet.InstanceID{"i-2"}, 0},
		{[]fleet.InstanceID{"i-1", "i-2"}, 1},
	} {
		var b beatMessage
		b.Silent = packNew(n, step.silent, told)
		assert.Equal(t, len(b.Silent), step.told, "step %d", i)
	}
}

// What is silent crosses before the next heartbeat is due.
func TestHurryTellsOfTheSilent(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		time.Sleep(DefaultBeat / ticksPerBeat / 2)
		c.members[1].set(func(m *member) { m.heartbeat.Silent = []fleet.InstanceID{"i-1"} })
		c.members[1].Hurry()
		time.Sleep(DefaultBeat/ticksPerBeat + 2*oneWay)
		c.members[0].set(func(m *member) { assert.DeepEqual(t, m.silent, []fleet.InstanceID{"i-1"}) })
	})
}

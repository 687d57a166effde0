package runs

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/standin/engine"
	"carawayproxy.example/caraway/standin/plain"
)

// small is enough to prove a checker.
var small = Size{Daemons: 3, Fabrics: 1, Engines: 3, Plains: 2}

// shortRun has time for one seeded fault and one planned stop.
const shortRun = 135 * time.Second

func TestCalmRunFindsNothing(t *testing.T) {
	t.Parallel()
	r := inBubble(t, Options{Seed: 1, Length: 4 * time.Minute, calm: true, size: small, choices: defaultChoices})
	assert.Equal(t, len(r.Findings), 0, "%v", r.Findings)
	assert.Assert(t, r.Counts["calls whole"] > 300, "%v", r.Counts)
	assert.Assert(t, r.Counts["calls during a planned stop"] >= least["calls during a planned stop"], "%v", r.Counts)
}

// TestCheckersReport seeds one fault for each checker and expects its report.
func TestCheckersReport(t *testing.T) {
	tests := map[Checker]func(*tampering){
		CheckRunOnce: func(m *tampering) {
			m.callPlain("r-1", "twice")
			m.callPlain("r-2", "twice")
		},
		CheckAnswer: func(m *tampering) { g := "?"; m.callers.garble.Store(&g) },
		CheckNotRun: func(m *tampering) {
			k := m.callers.invoke(m.ctx, m.world.daemons[0], "NoSuchMethod", "", []byte("x"))
			m.callPlain(k.id, "ran all the same")
		},
		CheckWholeGroup: func(m *tampering) {
			leader, member := m.group()
			m.killDaemons()
			member.kill()
			pause(m.ctx, 2*missingBound)
			m.runStraight(leader)
		},
		CheckLeaving: func(m *tampering) {
			leader, _ := m.group()
			m.killDaemons()
			leader.set(func(f *engine.Faults) { f.Leaving = true })
			pause(m.ctx, 2*leavingBound)
			m.runStraight(leader)
		},
		CheckPlannedStop: func(m *tampering) {
			for _, p := range m.world.plains {
				p.set(func(f *plain.Faults) { f.DelayMS = 1000 })
			}
			for _, d := range m.world.daemons {
				d.abrupt = true
			}
		},
		CheckConfig: func(m *tampering) {
			lost := m.world.daemons[0]
			m.world.net.CutBoth(lost.ip, platformIP)
			for _, other := range m.world.daemons[1:] {
				m.world.net.CutBoth(lost.ip, other.ip)
			}
			m.change(m.world.daemons[1], 7)
		},
		CheckRevert: func(m *tampering) {
			m.watch.sampleConfig("d", 5, true, time.Now())
			m.watch.sampleConfig("d", 4, true, time.Now())
		},
		CheckRecovery: func(m *tampering) {
			for _, p := range m.world.plains {
				p.kill()
			}
		},
		CheckRace: func(m *tampering) {
			base, _ := m.ops.base(m.ctx, m.world.daemons[0])
			plainBase, _ := m.ops.baseOf(m.ctx, m.world.daemons[0], plainService)
			m.ops.raceWith(m.ctx, m.world.daemons[0], m.world.daemons[1],
				[]*carawayv1.ServiceChange{{Service: modelService, BaseRevision: base, Body: modelFile(1, 3), File: "a"}},
				[]*carawayv1.ServiceChange{{Service: plainService, BaseRevision: plainBase, Body: plainFile(3), File: "b"}})
		},
		CheckOutage: func(m *tampering) {
			for _, d := range m.world.daemons {
				for _, other := range m.world.daemons {
					m.world.net.CutBoth(d.ip, other.ip) // none can confirm what it knows
				}
			}
			m.faults.lone(longOutage, m.random())
		},
		// The world's daemons serve; the checker is told that they refuse.
		CheckCutOff: func(m *tampering) {
			z := zone{daemons: m.world.daemons[:2]}
			m.world.choices.cutOff = settings.CutOffRefuse
			end := m.faults.cutZone(z)
			pause(m.ctx, 2*cutOffBound)
			end()
		},
		// The small world's engines are all in one zone.
		CheckZone: func(m *tampering) { m.faults.lone(zoneKilled, m.random()) },
	}
	for checker, tamper := range tests {
		t.Run(string(checker), func(t *testing.T) {
			t.Parallel()
			o := Options{Seed: 1, Length: shortRun, calm: true, size: small, tamper: tamper, choices: defaultChoices}
			if checker == CheckPlannedStop {
				o.every = 200 * time.Millisecond // so that a kill finds calls under way
			}
			if checker == CheckCutOff {
				o.choices = choices{cutOff: settings.CutOffServe, flooded: settings.FloodedPart}
				o.size.Daemons = 6 // two of them hear each other
			}
			r := inBubble(t, o)
			for _, f := range r.Findings {
				if f.Checker == checker {
					t.Log(f)
					return
				}
			}
			t.Fatalf("no report: %v %v", r.Findings, r.Counts)
		})
	}
}

// TestMissingSnapshotsAreReported restarts all daemons after the records of the
// configuration have expired, with and without snapshots of it.
func TestMissingSnapshotsAreReported(t *testing.T) {
	restart := func(m *tampering) {
		pause(m.ctx, retention)
		m.killDaemons()
		for _, d := range m.world.daemons {
			_ = d.start()
		}
	}
	for name, tc := range map[string]struct {
		every time.Duration
		found bool
	}{
		"with":    {snapshotEvery, false},
		"without": {24 * time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := inBubble(t, Options{
				Seed: 1, Length: retention + 3*time.Minute, calm: true, size: small, tamper: restart, snapshots: tc.every, choices: defaultChoices,
			})
			assert.Equal(t, r.Counts["daemons started behind expired records"] >= small.Daemons, true, "%v", r.Counts)
			assert.Equal(t, r.Counts["finding "+string(CheckConfig)] > 0, tc.found, "%v %v", r.Findings, r.Counts)
		})
	}
}

func (m *tampering) random() *rand.Rand { return rand.New(rand.NewPCG(m.world.seed, 7)) }

// group returns the leader and another member of a group.
func (m *tampering) group() (leader, member *engineHost) {
	for _, e := range m.world.engines {
		_, a, _ := e.state()
		switch {
		case a == nil:
		case a.Rank == 0:
			leader = e
		default:
			member = e
		}
	}
	return leader, member
}

func (m *tampering) killDaemons() {
	for _, d := range m.world.daemons {
		d.kill()
	}
}

// runStraight runs a request on a leader without asking any daemon.
func (m *tampering) runStraight(leader *engineHost) {
	_, a, _ := leader.state()
	ctx, cancel := context.WithTimeout(m.ctx, callDeadline)
	defer cancel()
	_ = m.world.straightToEngine(ctx, leader, &carawayv1.RunRequest{
		RequestId: "straight", AttemptId: "straight", Group: a.Group, Epoch: a.Epoch, Service: modelService,
		Version: a.Version, Prompt: "straight", MaxTokens: 1,
	})
	pause(m.ctx, time.Second)
}

// callPlain calls a plain backend server without asking any daemon.
func (m *tampering) callPlain(request, body string) {
	client := carawayv1connect.NewPlainServiceClient(m.world.client, "http://"+m.world.plains[0].ip+":"+backendPort)
	ctx, cancel := context.WithTimeout(m.ctx, callDeadline)
	defer cancel()
	_, _ = client.Call(ctx, connect.NewRequest(&carawayv1.CallRequest{
		RequestId: request, AttemptId: request, Service: plainService, Method: methodBook, Body: []byte(body),
	}))
}

// change publishes one change of the model's service.
func (m *tampering) change(d *daemonHost, share int) {
	base, _ := m.ops.base(m.ctx, d)
	m.ops.publish(m.ctx, d, "trust", []*carawayv1.ServiceChange{
		{Service: modelService, BaseRevision: base, Body: modelFile(m.ops.groups, share), File: "drafting.yaml"},
	})
}

// straightToEngine sends an attempt past all daemons, as a broken guard would
// let it through.
func (w *World) straightToEngine(ctx context.Context, e *engineHost, req *carawayv1.RunRequest) error {
	client := carawayv1connect.NewEngineServiceClient(w.client, "http://"+e.address())
	stream, err := client.Run(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
	}
	return stream.Err()
}

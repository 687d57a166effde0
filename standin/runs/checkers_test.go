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

// smallSize is a world large enough to test a checker.
var smallSize = Size{Daemons: 3, Fabrics: 1, Engines: 3, Plains: 2}

// shortRun leaves time for one injected fault and one planned stop.
const shortRun = 135 * time.Second

func TestCalmRunFindsNothing(t *testing.T) {
	t.Parallel()
	r := runInBubble(t, Options{Seed: 1, Length: 4 * time.Minute, noFaults: true, size: smallSize, settings: defaultSettings})
	assert.Equal(t, len(r.Findings), 0, "%v", r.Findings)
	assert.Assert(t, r.Counts["calls whole"] > 300, "%v", r.Counts)
	assert.Assert(t, r.Counts["calls during a planned stop"] >= minAverageCounts["calls during a planned stop"], "%v", r.Counts)
}

// Each checker must report the fault that is injected for it.
func TestCheckersReport(t *testing.T) {
	tests := map[Checker]func(*tampering){
		CheckRunOnce: func(m *tampering) {
			m.callPlain("r-1", "twice")
			m.callPlain("r-2", "twice")
		},
		CheckAnswer: func(m *tampering) { suffix := "?"; m.callers.promptSuffix.Store(&suffix) },
		CheckNotRun: func(m *tampering) {
			k := m.callers.invoke(m.ctx, m.world.daemons[0], "NoSuchMethod", "", []byte("x"))
			m.callPlain(k.id, "ran despite its rejection")
		},
		CheckWholeGroup: func(m *tampering) {
			leader, member := m.groupEngines()
			m.killDaemons()
			member.kill()
			sleep(m.ctx, 2*missingBound)
			m.runDirectly(leader)
		},
		CheckLeaving: func(m *tampering) {
			leader, _ := m.groupEngines()
			m.killDaemons()
			leader.setFaults(func(f *engine.Faults) { f.Leaving = true })
			sleep(m.ctx, 2*leavingBound)
			m.runDirectly(leader)
		},
		CheckPlannedStop: func(m *tampering) {
			for _, p := range m.world.plains {
				p.setFaults(func(f *plain.Faults) { f.DelayMS = 1000 })
			}
			for _, d := range m.world.daemons {
				d.killOnDrain = true
			}
		},
		CheckConfig: func(m *tampering) {
			cutOff := m.world.daemons[0]
			m.world.net.CutBoth(cutOff.ip, platformIP)
			for _, other := range m.world.daemons[1:] {
				m.world.net.CutBoth(cutOff.ip, other.ip)
			}
			m.publishChange(m.world.daemons[1], 7)
		},
		CheckRevert: func(m *tampering) {
			m.monitor.sampleConfig("d", 5, true, time.Now())
			m.monitor.sampleConfig("d", 4, true, time.Now())
		},
		CheckRecovery: func(m *tampering) {
			for _, p := range m.world.plains {
				p.kill()
			}
		},
		CheckRace: func(m *tampering) {
			base, _ := m.ops.modelRevision(m.ctx, m.world.daemons[0])
			plainBase, _ := m.ops.serviceRevision(m.ctx, m.world.daemons[0], plainService)
			m.ops.raceWith(m.ctx, m.world.daemons[0], m.world.daemons[1],
				[]*carawayv1.ServiceChange{{Service: modelService, BaseRevision: base, Body: modelFile(1, 3), File: "a"}},
				[]*carawayv1.ServiceChange{{Service: plainService, BaseRevision: plainBase, Body: plainFile(3), File: "b"}})
		},
		CheckOutage: func(m *tampering) {
			for _, d := range m.world.daemons {
				for _, other := range m.world.daemons {
					m.world.net.CutBoth(d.ip, other.ip) // no daemon can confirm its state with a peer
				}
			}
			m.faults.injectIsolated(longOutage, m.random())
		},
		// The daemons are set to serve; the checker expects them to reject.
		CheckCutOff: func(m *tampering) {
			z := zone{daemons: m.world.daemons[:2]}
			m.world.settings.cutOff = settings.CutOffRefuse
			end := m.faults.cutZone(z)
			sleep(m.ctx, 2*cutOffBound)
			end()
		},
		// All engines of the small world are in one zone.
		CheckZone: func(m *tampering) { m.faults.injectIsolated(zoneKilled, m.random()) },
	}
	for checker, tamper := range tests {
		t.Run(string(checker), func(t *testing.T) {
			t.Parallel()
			o := Options{Seed: 1, Length: shortRun, noFaults: true, size: smallSize, tamper: tamper, settings: defaultSettings}
			if checker == CheckPlannedStop {
				o.callInterval = 200 * time.Millisecond // ensures calls in flight at the kill
			}
			if checker == CheckCutOff {
				o.settings = drawnSettings{cutOff: settings.CutOffServe, flooded: settings.FloodedPart}
				o.size.Daemons = 6 // two of them reach each other
			}
			r := runInBubble(t, o)
			for _, f := range r.Findings {
				if f.Checker == checker {
					t.Log(f)
					return
				}
			}
			t.Fatalf("no finding of the checker: %v %v", r.Findings, r.Counts)
		})
	}
}

// All daemons restart after the records of the configuration have expired. The
// checker must report this without snapshots, and only then.
func TestMissingSnapshotsAreReported(t *testing.T) {
	restart := func(m *tampering) {
		sleep(m.ctx, retention)
		m.killDaemons()
		for _, d := range m.world.daemons {
			_ = d.start()
		}
	}
	for name, tc := range map[string]struct {
		every time.Duration
		found bool
	}{
		"with":    {snapshotInterval, false},
		"without": {24 * time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runInBubble(t, Options{
				Seed: 1, Length: retention + 3*time.Minute, noFaults: true, size: smallSize, tamper: restart, snapshotInterval: tc.every, settings: defaultSettings,
			})
			assert.Equal(t, r.Counts["daemons started behind expired records"] >= smallSize.Daemons, true, "%v", r.Counts)
			assert.Equal(t, r.Counts["finding "+string(CheckConfig)] > 0, tc.found, "%v %v", r.Findings, r.Counts)
		})
	}
}

func (m *tampering) random() *rand.Rand { return rand.New(rand.NewPCG(m.world.seed, 7)) }

// groupEngines returns the leader and another member of a group.
func (m *tampering) groupEngines() (leader, member *engineHost) {
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

// runDirectly runs a request on a group leader without going through a daemon.
func (m *tampering) runDirectly(leader *engineHost) {
	_, a, _ := leader.state()
	ctx, cancel := context.WithTimeout(m.ctx, callDeadline)
	defer cancel()
	_ = m.world.sendToEngine(ctx, leader, &carawayv1.RunRequest{
		RequestId: "straight", AttemptId: "straight", Group: a.Group, Epoch: a.Epoch, Service: modelService,
		Version: a.Version, Prompt: "straight", MaxTokens: 1,
	})
	sleep(m.ctx, time.Second)
}

// callPlain calls a plain backend server without going through a daemon.
func (m *tampering) callPlain(request, body string) {
	client := carawayv1connect.NewPlainServiceClient(m.world.client, "http://"+m.world.plains[0].ip+":"+backendPort)
	ctx, cancel := context.WithTimeout(m.ctx, callDeadline)
	defer cancel()
	_, _ = client.Call(ctx, connect.NewRequest(&carawayv1.CallRequest{
		RequestId: request, AttemptId: request, Service: plainService, Method: methodBook, Body: []byte(body),
	}))
}

// publishChange publishes a change of the model's service.
func (m *tampering) publishChange(d *daemonHost, share int) {
	base, _ := m.ops.modelRevision(m.ctx, d)
	m.ops.publish(m.ctx, d, "trust", []*carawayv1.ServiceChange{
		{Service: modelService, BaseRevision: base, Body: modelFile(m.ops.groups, share), File: "drafting.yaml"},
	})
}

// sendToEngine sends an attempt to an engine without a daemon, as a daemon
// without the checked guarantee would.
func (w *World) sendToEngine(ctx context.Context, e *engineHost, req *carawayv1.RunRequest) error {
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

package membership

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// trafficBudget is the limit on a daemon's control traffic, in bytes per
	// second.
	trafficBudget = 13_000
	// packetOverhead is the size of the IP and TCP headers with timestamps.
	packetOverhead = 52
)

// wireRate returns a member's traffic in bytes per second, in both directions,
// counting a packet and its acknowledgement for each message.
func (c *cluster) wireRate(m *member, over time.Duration) float64 {
	bytes, messages := c.traffic(m)
	time.Sleep(over)
	moreBytes, moreMessages := c.traffic(m)
	total := float64(moreBytes-bytes) + 2*packetOverhead*float64(moreMessages-messages)
	return total / over.Seconds()
}

func (c *cluster) traffic(m *member) (bytes uint64, messages int64) {
	s := c.net.Stats(m.ip)
	return s.BytesSent + s.BytesReceived, m.meters.messagesSent.Count() + m.meters.messagesReceived.Count()
}

// busyHeartbeat returns the heartbeat of a busy daemon.
func busyHeartbeat() Heartbeat {
	h := Heartbeat{Ready: true, ConfigRevision: 4711, InFlight: map[fleet.GroupID]uint32{}}
	for i := range 20 {
		h.InFlight[fleet.GroupID(fmt.Sprintf("drafting-%02d", i))] = 12
	}
	return h
}

// polledReports returns the reports that a daemon polls of 60 engines in groups
// of three, with each group polled by two of nine daemons. While requests run,
// a group's first engine has load figures that differ with each poll.
func polledReports(daemon int, busy bool) func(time.Time) []fleet.Report {
	n := uint64(0)
	return func(now time.Time) []fleet.Report {
		n++
		var out []fleet.Report
		for g := range 20 {
			if g%9 != daemon && (g+4)%9 != daemon {
				continue
			}
			members := []string{"10.20.30.1:9000", "10.20.30.2:9000", "10.20.30.3:9000"}
			for rank := range members {
				r := fleet.Report{
					Instance: fleet.InstanceID(fmt.Sprintf("engine-%02d-%d", g, rank)), Incarnation: 1, Ready: true, MaxRunning: 64,
					ReceivedAt: now.Add(-time.Duration(rank+1) * 120 * time.Millisecond),
					Assignment: &fleet.Assignment{Group: fleet.GroupID(fmt.Sprintf("drafting-%02d", g)), Epoch: 3, Rank: fleet.Rank(rank), Service: "drafting", Members: members},
				}
				if busy && rank == 0 {
					r.Running, r.Queued, r.PendingTokens, r.TokensPerSecond, r.LoadAge = 30, 12, 40_000+n, 5_000, 400*time.Millisecond
				}
				out = append(out, r)
			}
		}
		return out
	}
}

func TestNineDaemonsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	tests := map[string]Heartbeat{"idle": {}, "busy": busyHeartbeat()}
	for name, h := range tests {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 9, func(t *testing.T, c *cluster) {
				for i, m := range c.members {
					m.set(func(m *member) { m.heartbeat, m.poll = h, polledReports(i, len(h.InFlight) > 0) })
				}
				time.Sleep(time.Second)
				rate := c.wireRate(c.members[0], time.Minute)
				t.Logf("%.0f bytes a second with %d streams", rate, len(testStreams))
				assert.Assert(t, rate < trafficBudget, "%.0f", rate)
			})
		})
	}
}

// fakePeer opens a link to a mesh and only sends heartbeats.
func fakePeer(ctx context.Context, c *cluster, i int, to string) {
	host := c.net.Host(fmt.Sprintf("10.1.%d.%d", i/250, i%250))
	client := &http.Client{Transport: &http.Transport{DialContext: host.Dial, DisableKeepAlives: true}}
	conn, _, err := websocket.Dial(ctx, "ws://"+to+PeerPath, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return
	}
	defer conn.CloseNow()
	unused := newMeters(metrics.NewRegistry())
	self := helloMessage{From: fleet.DaemonID(fmt.Sprintf("fake-%04d", i)), Address: host.Addr("7000"), Zone: "z", Incarnation: 1}
	frame, _ := encode(&self)
	if writeFrame(ctx, conn, frame, &unused) != nil {
		return
	}
	l := newLink(conn, self, true, &unused)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { l.write(ctx) })
	tasks.Go(func() { sendFakeHeartbeats(ctx, l) })
	l.read(ctx, time.Minute, func(frame []byte) error {
		if body, err := decode(frame); err == nil {
			if b, ok := body.(*heartbeatMessage); ok {
				l.recordReceived(time.Now(), b)
			}
		}
		return nil
	})
	cancel()
	tasks.Wait()
}

func sendFakeHeartbeats(ctx context.Context, l *link) {
	h := busyHeartbeat()
	tick := time.NewTicker(DefaultHeartbeatInterval)
	defer tick.Stop()
	h.Streams = fakePositions()
	for {
		h.Sequence++
		if l.sendHeartbeat(time.Now(), h) != nil {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// mostLinks returns the highest number of links of any daemon under a policy,
// with n daemons in 8 availability zones.
func mostLinks(p LinkPolicy, n int) int {
	endpoints := manyEndpoints(n, 8)
	degree := map[string]map[string]bool{}
	for _, endpoint := range endpoints {
		degree[endpoint.Address] = map[string]bool{}
	}
	for _, endpoint := range endpoints {
		for _, other := range p.Choose(endpoint, endpoints) {
			degree[endpoint.Address][other] = true
			degree[other][endpoint.Address] = true
		}
	}
	most := 0
	for _, links := range degree {
		most = max(most, len(links))
	}
	return most
}

var largeMesh = flag.Bool("large-mesh", false, "measure the full mesh of 400 and 1,200 daemons as well")

// maxFullMeshLinks is the largest full mesh that is measured without -large-mesh.
const maxFullMeshLinks = 100

// TestCostGrowsWithLinksNotWithDaemons logs the slopes that the design note
// quotes, and asserts that bounded links stay within the budget at the planned
// sizes.
func TestCostGrowsWithLinksNotWithDaemons(t *testing.T) {
	t.Parallel()
	for _, n := range []int{9, 100, 400, 1200} {
		full, bounded := mostLinks(FullMesh{}, n), mostLinks(Bounded{}, n)
		if full <= maxFullMeshLinks || *largeMesh {
			rate, cpu := measureCost(t, full)
			t.Logf("%4d daemons, full mesh: %4d links %7.0f B/s %6.2f ms CPU a second", n, full, rate, cpu)
		}
		rate, cpu := measureCost(t, bounded)
		t.Logf("%4d daemons, bounded:   %4d links %7.0f B/s %6.2f ms CPU a second", n, bounded, rate, cpu)
		assert.Assert(t, rate < trafficBudget, "bounded links at %d daemons: %.0f bytes a second", n, rate)
	}
}

// measureCost runs one mesh with the given number of peers that send
// heartbeats. It returns the mesh's bytes per second and the CPU time of mesh
// and peers together, in milliseconds per second.
func measureCost(t *testing.T, links int) (rate, cpu float64) {
	const span = 10 * time.Second
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		m := c.members[0]
		m.set(func(m *member) { m.heartbeat = busyHeartbeat() })
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		for i := range links {
			tasks.Go(func() { fakePeer(ctx, c, i, m.cfg.Address) })
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		before := processorTime()
		rate = c.wireRate(m, span)
		cpu = float64(processorTime()-before) / float64(time.Millisecond) / span.Seconds()
		assert.Equal(t, alive(m), links)
		cancel()
		tasks.Wait()
	})
	return rate, cpu
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

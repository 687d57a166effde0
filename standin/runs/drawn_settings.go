package runs

import (
	"math/rand/v2"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/settings"
)

// nonDefaultEvery is n in "one in n seeds has a non-default value of a setting".
const nonDefaultEvery = 4

// cutOffBound is the time within which a daemon that has lost the log and most
// of its peers must reject requests: 5 s after the last response of the log,
// which may reach it by a peer's heartbeat up to 2 s later, and a sampling
// interval of 1 s at both ends.
const cutOffBound = 9 * time.Second

// drawnSettings are the settings that a run draws, the same for all daemons.
type drawnSettings struct {
	cutOff, flooded string
}

var defaultSettings = drawnSettings{cutOff: settings.CutOffRefuse, flooded: settings.FloodedPart}

// drawSettings draws each setting independently. It has its own random stream, so
// that the schedule of a seed does not depend on it.
func drawSettings(seed uint64) drawnSettings {
	r := rand.New(rand.NewPCG(seed, settingsStream))
	s := defaultSettings
	if r.IntN(nonDefaultEvery) == 0 {
		s.cutOff = settings.CutOffServe
	}
	if r.IntN(nonDefaultEvery) == 0 {
		s.flooded = settings.FloodedAll
	}
	return s
}

func (s drawnSettings) count(m *monitor) {
	m.count("runs when-cut-off=" + s.cutOff)
	m.count("runs when-flooded=" + s.flooded)
}

// sampleCutOff checks whether a daemon that is cut off is still ready.
func (s *schedule) sampleCutOff(d *daemonHost, ready bool) {
	_, up := d.daemon()
	since, was := s.minoritySince[d]
	switch {
	case !s.isInCutOffMinority(d):
		delete(s.minoritySince, d)
		return
	case !was || up.After(since):
		s.minoritySince[d] = time.Now()
		return
	case time.Since(since) <= cutOffBound:
		return
	}
	s.monitor.count("samples of cut-off daemons")
	if !ready {
		return
	}
	s.monitor.count("samples of cut-off daemons that serve")
	if s.world.settings.cutOff == settings.CutOffRefuse {
		s.monitor.addFinding(CheckCutOff, "daemon %s is still ready %v after it was cut off", d.ip, time.Since(since))
	}
}

// isInCutOffMinority reports whether the network's faults leave a daemon in a
// partition of at most a third of the running daemons without a path to the
// log. A third allows for daemons that it does not know yet.
func (s *schedule) isInCutOffMinority(d *daemonHost) bool {
	var running []*daemonHost
	for _, other := range s.world.daemons {
		if r, _ := other.daemon(); r != nil {
			running = append(running, other)
		}
	}
	partition := []*daemonHost{d}
	for i := 0; i < len(partition); i++ {
		if !s.world.net.Separated(partition[i].ip, platformIP) {
			return false
		}
		for _, other := range running {
			if !slices.Contains(partition, other) && !s.world.net.Separated(partition[i].ip, other.ip) {
				partition = append(partition, other)
			}
		}
	}
	return 3*len(partition) <= len(running)
}

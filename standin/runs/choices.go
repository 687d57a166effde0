package runs

import (
	"math/rand/v2"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/settings"
)

// One in so many seeds has another than the default of a setting.
const choiceEvery = 4

// cutOffBound is how soon a daemon refuses that has lost the log and most of
// its peers: 5 s after the log's last word, which a peer's heartbeat of up to
// 2 s before may bring, and a sample of 1 s before and after.
const cutOffBound = 9 * time.Second

// choices are the settings that a run draws, the same at every daemon.
type choices struct {
	cutOff, flooded string
}

var defaultChoices = choices{cutOff: settings.CutOffRefuse, flooded: settings.FloodedPart}

// drawChoices draws each setting by itself, from a stream of its own, so that
// the schedule of a seed stays.
func drawChoices(seed uint64) choices {
	r := rand.New(rand.NewPCG(seed, settingsStream))
	c := defaultChoices
	if r.IntN(choiceEvery) == 0 {
		c.cutOff = settings.CutOffServe
	}
	if r.IntN(choiceEvery) == 0 {
		c.flooded = settings.FloodedAll
	}
	return c
}

func (c choices) count(w *watch) {
	w.count("runs when-cut-off=" + c.cutOff)
	w.count("runs when-flooded=" + c.flooded)
}

// sampleCutOff looks at a daemon that may be cut off.
func (s *schedule) sampleCutOff(d *daemonHost, ready bool) {
	_, up := d.daemon()
	since, was := s.apart[d]
	switch {
	case !s.cutFromMost(d):
		delete(s.apart, d)
		return
	case !was || up.After(since):
		s.apart[d] = time.Now()
		return
	case time.Since(since) <= cutOffBound:
		return
	}
	s.watch.count("samples of cut-off daemons")
	if !ready {
		return
	}
	s.watch.count("samples of cut-off daemons that serve")
	if s.world.choices.cutOff == settings.CutOffRefuse {
		s.watch.find(CheckCutOff, "daemon %s is ready %v after it was cut off", d.ip, time.Since(since))
	}
}

// cutFromMost reports whether a daemon is, by the network as it is, in a part
// of at most a third of the running daemons that has no way to the log. A third
// leaves room for daemons that it has not heard of.
func (s *schedule) cutFromMost(d *daemonHost) bool {
	var running []*daemonHost
	for _, o := range s.world.daemons {
		if r, _ := o.daemon(); r != nil {
			running = append(running, o)
		}
	}
	part := []*daemonHost{d}
	for i := 0; i < len(part); i++ {
		if !s.world.net.Separated(part[i].ip, platformIP) {
			return false
		}
		for _, o := range running {
			if !slices.Contains(part, o) && !s.world.net.Separated(part[i].ip, o.ip) {
				part = append(part, o)
			}
		}
	}
	return 3*len(part) <= len(running)
}

package admission

import (
	"math"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

const (
	// floodRefused is the part of a workspace's recent requests that must
	// have been refused for lack of room for it to be flooding, and
	// leastRefused how many at least.
	floodRefused = 0.25
	leastRefused = 3
	// mostFlooding is the part of all weights that may flood for parts to be
	// set apart. Beyond it nearly all would be confined.
	mostFlooding = 0.5
	// busyPart is the part of their share of the limit that workspaces which
	// do not flood use on average for them to keep out of all groups of those
	// that do. With less in use they keep out of fewer, from the first on, so
	// that fewer of their cached prefixes are read anew when a flood begins.
	busyPart = 0.65
	// deviations is how many standard deviations of a number of independent
	// requests, the root of its mean, count as usual.
	deviations = 2.0
)

// spread is by how many a number of independent requests usually exceeds its
// mean, at least by some.
func spread(mean float64) float64 { return deviations * math.Sqrt(mean+1) }

// refusedLately reports whether a good part of the workspace's requests found
// no room lately.
func (w *workspace) refusedLately(now time.Time) bool {
	refused := w.refused.at(now)
	return refused >= leastRefused && refused >= floodRefused*w.asked.at(now)
}

// floods reports whether the workspace asks for clearly more than its fair
// share: it was refused lately, or it is beyond its share and its number in
// flight rose faster than chance allows.
func (w *workspace) floods(now time.Time, share float64) bool {
	if w.refusedLately(now) {
		return true
	}
	inFlight, average := float64(w.inFlight), w.averageAt(now)
	return inFlight > w.fair(share) && inFlight > average+spread(average)
}

// spared reports whether one more request of w is within its fair share of the
// whole capacity while another workspace floods and w does not. A limit that
// was cut in a flood is then taken from who floods.
func (s *service) spared(now time.Time, w *workspace, share, wholeShare float64) bool {
	if float64(w.inFlight+1) > w.fair(wholeShare) || w.floods(now, wholeShare) {
		return false
	}
	for _, other := range s.workspaces {
		if other != w && other.floods(now, share) {
			return true
		}
	}
	return false
}

// confines reports whether the workspace keeps to its share of the groups now,
// so that it finds no room beyond its fair share.
func (s *service) confines(now time.Time, w *workspace) bool {
	return w.refusedLately(now) && s.part(now, w.name) != routing.Part{}
}

// part returns the part of the groups that requests of a workspace should go
// to. Flooding workspaces get their share of the groups, one after the other
// in order of their names, so that daemons agree without a word; all others
// get the rest, and the last of the flooding ones' groups while they use little.
func (s *service) part(now time.Time, name fleet.Workspace) routing.Part {
	weights, flooding, before, own, used := 0.0, 0.0, 0.0, 0.0, 0.0
	if s.allGroups {
		return routing.Part{}
	}
	share := s.share(s.lastLimit)
	for _, w := range s.workspaces {
		weights += w.weight
		if !w.floods(now, share) {
			used += w.averageAt(now)
			continue
		}
		flooding += w.weight
		if w.name < name {
			before += w.weight
		}
		if w.name == name {
			own = w.weight
		}
	}
	if flooding == 0 || flooding > mostFlooding*weights {
		return routing.Part{}
	}
	if own == 0 {
		kept := min(used/(busyPart*share*(weights-flooding)), 1)
		return routing.Part{From: kept * flooding / weights, To: 1}
	}
	return routing.Part{From: before / weights, To: (before + own) / weights}
}

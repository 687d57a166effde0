package placement

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// Measure is the service level of one service at one moment.
type Measure struct {
	Wanted int // groups
	Whole  int // groups that match the configuration and can serve, draining or not
	// Stranded counts the healthy accelerators in groups that can't serve.
	Stranded uint32
	// Reserved counts the healthy accelerators that are reserved as spares.
	Reserved uint32
}

// Down returns the number of wanted groups that can't serve.
func (m Measure) Down() int { return max(m.Wanted-m.Whole, 0) }

type aliveReports map[fleet.InstanceID]InstanceState

// Report implements group.Reports for the instances that are alive.
func (a aliveReports) Report(id fleet.InstanceID) (fleet.Report, bool) {
	st, ok := a[id]
	return st.Report, ok && st.Alive
}

// MeasureServices measures the services and groups of the snapshot's scope.
func MeasureServices(s Snapshot, now time.Time, freshness time.Duration) map[fleet.ServiceName]Measure {
	measures := map[fleet.ServiceName]Measure{}
	for _, w := range s.Wanted {
		m := measures[w.Service]
		m.Wanted += w.Groups
		measures[w.Service] = m
	}
	if s.Groups == nil {
		return measures
	}
	for _, g := range s.Groups.Groups {
		if g.Scope == s.Scope {
			m := measures[g.Service]
			m.add(g, aliveReports(s.Instances), now, freshness)
			measures[g.Service] = m
		}
	}
	return measures
}

// add adds one group to the measure.
func (m *Measure) add(g *group.Group, r aliveReports, now time.Time, freshness time.Duration) {
	whole := group.Whole(g, r, now, freshness).Whole
	if whole {
		m.Whole++
	}
	serving := map[fleet.InstanceID]bool{}
	for _, c := range group.ReportedComposition(g, r) {
		serving[c.Instance] = true
	}
	for c := range g.All() {
		switch {
		case !r[c.Instance].Alive:
		case !serving[c.Instance]:
			m.Reserved += c.Accelerators
		case !whole:
			m.Stranded += c.Accelerators
		}
	}
}

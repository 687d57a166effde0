package placement_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// frozenReports holds the states of all engines at one moment.
type frozenReports map[fleet.InstanceID]engineState

func (f frozenReports) Report(id fleet.InstanceID) (fleet.Report, bool) {
	return f[id].report, f[id].up
}

func (r *rig) freeze() frozenReports {
	f := frozenReports{}
	for _, e := range r.engines {
		f[e.instance.ID] = e.freeze()
	}
	return f
}

// currentReports reads the engines' current reports.
type currentReports []*rigEngine

func (c currentReports) Report(id fleet.InstanceID) (fleet.Report, bool) {
	for _, e := range c {
		if e.instance.ID == id {
			return e.state()
		}
	}
	return fleet.Report{}, false
}

// whole counts the groups of a daemon's view that can serve.
func (d *rigDaemon) whole() int {
	n := 0
	for _, g := range d.fold.View().Groups {
		if group.Whole(g, currentReports(d.rig.engines), time.Now(), 0).Whole {
			n++
		}
	}
	return n
}

// checkServing asserts that the groups that any of the daemons would let serve have
// all their engines and share none, whichever records each daemon has read.
func (r *rig) checkServing(daemons ...*rigDaemon) {
	engines := r.freeze()
	serving := map[fleet.InstanceID]string{}
	for _, d := range daemons {
		for _, g := range d.fold.View().Groups {
			if !group.Whole(g, engines, time.Now(), 0).Whole {
				continue
			}
			c := group.ReportedComposition(g, engines)
			for rank, m := range c {
				engines[m.Instance].check(r.t, g, c, fleet.Rank(rank))
				place := fmt.Sprintf("%s at epoch %d", g.ID, g.Epoch)
				other, assigned := serving[m.Instance]
				assert.Assert(r.t, !assigned || other == place, "%s serves in %s and in %s", m.Instance, other, place)
				serving[m.Instance] = place
			}
		}
	}
}

// check asserts that an engine of a serving group is up, has loaded the version and
// holds this rank of this composition.
func (s engineState) check(t *testing.T, g *group.Group, c []group.Member, rank fleet.Rank) {
	a := s.report.Assignment
	assert.Assert(t, s.up && a != nil && s.loaded == g.Version, "%s serves; %s is up %t with %q", g.ID, c[rank].Instance, s.up, s.loaded)
	want := group.AssignmentOf(g, c, rank)
	assert.Assert(t, reflect.DeepEqual(*a, want), "%s serves; %s is in %+v, not in %+v", g.ID, c[rank].Instance, *a, want)
}

// foldChecker asserts between two calls of check that one daemon's records
// changed by the rules of the fold: terms and epochs only grow, ids are not
// reused, and members change only with the epoch.
type foldChecker struct {
	term   lease.Term
	groups map[fleet.GroupID]*group.Group
	issued group.IDMark
}

func (c *foldChecker) check(t *testing.T, d *rigDaemon) {
	v := d.fold.View()
	for id, g := range v.Groups {
		old := c.groups[id]
		if g == old {
			continue
		}
		assert.Assert(t, g.Term >= c.term, "%s changed under term %d after term %d began", id, g.Term, c.term)
		if old == nil {
			_, mark, _ := group.ParseID(id)
			assert.Assert(t, c.issued.Less(mark), "id %s was used before", id)
			continue
		}
		kept := slices.Equal(g.Members, old.Members) && slices.Equal(g.Spares, old.Spares)
		assert.Assert(t, g.Epoch > old.Epoch || g.Epoch == old.Epoch && kept, "%s changed from epoch %d to %d", id, old.Epoch, g.Epoch)
	}
	l, _ := d.leases.Current(rigScope)
	c.term, c.groups, c.issued = l.Term, v.Groups, v.Issued[rigScope]
}

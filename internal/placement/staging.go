package placement

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
)

// Staging is one model to be loaded onto the host of a free engine.
type Staging struct {
	Instance fleet.InstanceID
	Model    string
}

// PlanStaging chooses a model for each free engine that has none at hand. In
// each fabric domain the spares are divided over the models that its groups
// run, the model with the most members for each spare first; a lost member is
// then replaced within the time to load from the host.
func PlanStaging(s Snapshot) []Staging {
	type domain struct {
		members, spares map[string]int
		bare            []fleet.InstanceID
	}
	domains := map[fleet.FabricDomain]*domain{}
	of := func(f fleet.FabricDomain) *domain {
		if domains[f] == nil {
			domains[f] = &domain{members: map[string]int{}, spares: map[string]int{}}
		}
		return domains[f]
	}
	for id, st := range s.Instances {
		d := of(st.Instance.Fabric)
		if g := s.Groups.Groups[s.Groups.ByInstance[id]]; g != nil {
			d.members[g.Model]++
			continue
		}
		if !present(st) || st.Bound {
			continue
		}
		if len(st.Near) == 0 {
			d.bare = append(d.bare, id)
		}
		for model := range st.Near {
			d.spares[model]++
		}
	}
	var out []Staging
	for _, f := range slices.Sorted(maps.Keys(domains)) {
		d := domains[f]
		slices.Sort(d.bare)
		for _, id := range d.bare {
			model := neediest(s.Wanted, d.members, d.spares)
			if model == "" {
				break
			}
			d.spares[model]++
			out = append(out, Staging{Instance: id, Model: model})
		}
	}
	return out
}

// neediest is the model with the most members for each spare, counting the
// one to come.
func neediest(wanted []Wanted, members, spares map[string]int) string {
	if len(wanted) == 0 {
		return ""
	}
	w := slices.MaxFunc(wanted, func(a, b Wanted) int {
		need := func(w Wanted) float64 { return (float64(members[w.Model]) + 1) / float64(spares[w.Model]+1) }
		return cmp.Or(cmp.Compare(need(a), need(b)), cmp.Compare(a.Model, b.Model))
	})
	return w.Model
}

// stage orders the models that free engines are to have at hand.
func (c *Conductor) stage(ctx context.Context, t *tenure, servers map[fleet.InstanceID]directory.Listing, s Snapshot, now time.Time) {
	for _, st := range PlanStaging(s) {
		if t.staging[st.Instance] == st.Model || !c.mayLoad(now) {
			continue
		}
		t.staging[st.Instance] = st.Model
		c.send(ctx, t, servers[st.Instance], backend.GroupOrder{Kind: backend.OrderStage, Model: st.Model}, now)
	}
}

// mayLoad takes one load from the weight store's rate.
func (c *Conductor) mayLoad(now time.Time) bool {
	if c.cfg.Idle() {
		return true
	}
	return c.loads.AllowN(now, 1)
}

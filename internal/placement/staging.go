package placement

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// Preparation is a model that a free engine is to have at hand.
type Preparation struct {
	Instance fleet.InstanceID
	Model    string
}

// PlanSpares chooses a model for each free engine. In each fabric domain the
// spares are divided over the models that its groups run, the model with the
// most members for each spare first; an engine that has a model at hand stays
// with it.
func PlanSpares(s Snapshot) []Preparation {
	type domain struct {
		members, spares map[string]int
		free            []fleet.InstanceID
	}
	domains := map[fleet.FabricDomain]*domain{}
	for id, st := range s.Instances {
		d := domains[st.Instance.Fabric]
		if d == nil {
			d = &domain{members: map[string]int{}, spares: map[string]int{}}
			domains[st.Instance.Fabric] = d
		}
		if g := s.Groups.Groups[s.Groups.ByInstance[id]]; g != nil {
			d.members[g.Model]++
		} else if present(st) && !st.Bound {
			d.free = append(d.free, id)
		}
	}
	var out []Preparation
	for _, f := range slices.Sorted(maps.Keys(domains)) {
		d := domains[f]
		slices.SortFunc(d.free, func(a, b fleet.InstanceID) int {
			// Descending, so that those without a model come last.
			return cmp.Or(cmp.Compare(nearest(s.Instances[b]), nearest(s.Instances[a])), cmp.Compare(a, b))
		})
		for _, id := range d.free {
			model := nearest(s.Instances[id])
			if model == "" {
				model = neediest(s.Wanted, d.members, d.spares)
			}
			d.spares[model]++
			out = append(out, Preparation{Instance: id, Model: model})
		}
	}
	return out
}

// nearest is the model that an engine has closest at hand, "" for none.
func nearest(st InstanceState) string {
	best := ""
	for _, model := range slices.Sorted(maps.Keys(st.Near)) {
		if best == "" || st.Near[model] < st.Near[best] {
			best = model
		}
	}
	return best
}

// neediest is the model with the most members for each spare, counting the
// one to come.
func neediest(wanted []Wanted, members, spares map[string]int) string {
	if len(wanted) == 0 {
		return ""
	}
	need := func(w Wanted) float64 { return (float64(members[w.Model]) + 1) / float64(spares[w.Model]+1) }
	w := slices.MaxFunc(wanted, func(a, b Wanted) int {
		return cmp.Or(cmp.Compare(need(a), need(b)), cmp.Compare(a.Model, b.Model))
	})
	return w.Model
}

// warmPrefix marks the names of memberships that only load an engine's model:
// an engine rejoins the model of its last group much faster than it loads one
// from its host. Such a membership has a single member that was told of it, and
// is never opened.
const warmPrefix = "warm/"

func isWarm(id fleet.GroupID) bool { return strings.HasPrefix(string(id), warmPrefix) }

// modelOfID returns the model of a group by its id, "" for one that placement
// did not name.
func modelOfID(id fleet.GroupID) string {
	scope, _, ok := group.ParseID(id)
	if !ok {
		return ""
	}
	return strings.TrimPrefix(string(scope), warmPrefix)
}

// prepare has the free engines load the models that they are to have at hand:
// first onto the host, then into a membership that is given up at once.
func (c *Conductor) prepare(ctx context.Context, t *tenure, servers map[fleet.InstanceID]directory.Listing, s Snapshot, now time.Time) {
	planned := map[fleet.InstanceID]bool{}
	for _, p := range PlanSpares(s) {
		planned[p.Instance] = true
		l, near := servers[p.Instance], s.Instances[p.Instance].Near
		switch took, ok := near[p.Model]; {
		case l.Place != nil || took == c.cfg.Rejoin && ok:
		case ok || c.cfg.Idle():
			c.warm(ctx, t, l, p.Model, now)
		default:
			o := backend.GroupOrder{Kind: backend.OrderStage, Model: p.Model}
			if t.staging[p.Instance] != p.Model && c.due(p.Instance, o, now) && c.mayLoad(now) {
				t.staging[p.Instance] = p.Model
				c.send(ctx, t, l, o, now)
			}
		}
	}
	c.stageSeconds(ctx, t, servers, s, now)
	maps.DeleteFunc(t.warming, func(id fleet.InstanceID, _ *group.Group) bool {
		_, listed := servers[id]
		return !listed
	})
}

// stageSeconds has engines that have their model loaded load a second one onto
// their hosts beside it. An engine then changes over within the time to load
// from its host, and any spare or idle group can stand in for any other.
func (c *Conductor) stageSeconds(ctx context.Context, t *tenure, servers map[fleet.InstanceID]directory.Listing, s Snapshot, now time.Time) {
	room := c.cfg.Loads().AtOnce - t.loading(servers)
	if c.cfg.Idle() {
		room = len(servers)
		for _, whole := range t.whole {
			if !whole {
				return // what is needed for the first groups loads first
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Instances)) {
		st, l := s.Instances[id], servers[id]
		loaded := t.places.lastModel(l.Server)
		second := secondModel(s.Wanted, loaded)
		if loaded == "" || second == "" || !present(st) || slices.Contains(l.Staged, second) || t.staging[id] == second {
			continue
		}
		o := backend.GroupOrder{Kind: backend.OrderStage, Model: second}
		if room <= 0 || !c.due(id, o, now) || !c.mayLoad(now) {
			continue
		}
		room--
		t.staging[id] = second
		c.send(ctx, t, l, o, now)
	}
}

// loading counts the engines that load from the weight store now: more at once
// would only slow each other down.
func (t *tenure) loading(servers map[fleet.InstanceID]directory.Listing) int {
	n := 0
	for id, model := range t.staging {
		if l, listed := servers[id]; listed && !l.Failed && !slices.Contains(l.Staged, model) {
			n++
		}
	}
	for id, l := range servers {
		joins := l.Place != nil && l.Place.State == directory.PlaceJoining
		if joins && t.staging[id] == "" && !slices.Contains(l.Staged, modelOfID(l.Place.Group)) {
			n++
		}
	}
	return n
}

// secondModel is the model, other than the one that an engine has loaded, of
// which most engines are wanted.
func secondModel(wanted []Wanted, loaded string) string {
	best, most := "", 0
	for _, w := range wanted {
		if n := w.Groups * w.Size; w.Model != loaded && n > most {
			best, most = w.Model, n
		}
	}
	return best
}

// warm orders a free engine into a membership of its own.
func (c *Conductor) warm(ctx context.Context, t *tenure, l directory.Listing, model string, now time.Time) {
	g := t.warming[l.Instance]
	if g == nil || g.Model != model || t.places.wasIn(l.Instance, g) {
		size := 0
		for _, w := range t.wanted {
			if w.Model == model {
				size = w.Size
			}
		}
		members := companions(l, t.listing, size)
		if len(members) < size || size == 0 {
			return
		}
		t.warmed++
		epoch := c.nextEpoch(t)
		g = &group.Group{
			ID:    group.FormatID(lease.Scope(warmPrefix+model), group.IDMark{Term: t.term, Counter: t.warmed}),
			Epoch: epoch, Model: model, Members: members,
		}
		t.warming[l.Instance] = g
	}
	o := backend.GroupOrder{Kind: backend.OrderJoin, Group: g.ID, Epoch: g.Epoch, Model: model, Members: instances(g.Members)}
	if c.due(l.Instance, o, now) {
		c.send(ctx, t, l, o, now)
	}
}

// companions lists an engine and others of its service, as many as a group has.
func companions(l directory.Listing, servers map[fleet.InstanceID]directory.Listing, size int) []group.Member {
	members := []group.Member{{Instance: l.Instance}}
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		o := servers[id]
		if len(members) < size && id != l.Instance && o.Service == l.Service && o.Fabric == l.Fabric {
			members = append(members, group.Member{Instance: id})
		}
	}
	return members
}

// mayLoad takes one load from the weight store's rate.
func (c *Conductor) mayLoad(now time.Time) bool {
	return c.cfg.Idle() || c.loads.AllowN(now, 1)
}

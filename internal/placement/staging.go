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

// Preload is a model that a free engine is to load in advance.
type Preload struct {
	Instance fleet.InstanceID
	Model    string
}

// spareDomain is the state of one fabric domain in PlanPreloads.
type spareDomain struct {
	fabric   fleet.FabricDomain
	members  map[string]int     // engines in groups, by model
	spares   map[string]int     // free engines that hold or load a model, by model
	unloaded []fleet.InstanceID // free engines without a model
}

// missingSpares returns how many more engines with a model would complete one more
// group.
func (d *spareDomain) missingSpares(w *Wanted) int { return w.Size - d.spares[w.Model]%max(w.Size, 1) }

// preload assigns a model to the first engine without one.
func (d *spareDomain) preload(model string) Preload {
	id := d.unloaded[0]
	d.unloaded = d.unloaded[1:]
	d.spares[model]++
	return Preload{Instance: id, Model: model}
}

// PlanPreloads selects a model for each free engine. An engine that holds or
// loads a model keeps it. The others complete the next group of the model that is
// shortest of groups, starting with the groups that lack the fewest engines.
// Of the engines that can't complete a group, a few replace members of the domain's groups
// that are lost. The others load the model that is shortest of groups or, if no groups are
// missing, replace members as well. The result is ordered by priority.
func PlanPreloads(s Snapshot, loading map[fleet.InstanceID]string) []Preload {
	domains, out := spareDomains(s, loading)
	missing := missingGroups(s)
	for {
		d, w := bestCompletion(s.Wanted, domains, missing)
		if d == nil {
			break
		}
		for range d.missingSpares(w) {
			out = append(out, d.preload(w.Model))
		}
		missing[w.Model]--
	}
	for _, d := range domains {
		for len(d.unloaded) > 0 {
			model := d.needsSubstitutes(s.Wanted)
			if model == "" {
				model = shortestModel(s.Wanted, missing)
			}
			if model == "" {
				model = d.worstSubstituted(s.Wanted)
			}
			out = append(out, d.preload(model))
		}
	}
	return out
}

// spareDomains groups the free engines by fabric domain. It also returns the
// preloads of the engines that already hold or load a model.
func spareDomains(s Snapshot, loading map[fleet.InstanceID]string) ([]*spareDomain, []Preload) {
	domains := map[fleet.FabricDomain]*spareDomain{}
	var existing []Preload
	for _, id := range slices.Sorted(maps.Keys(s.Instances)) {
		st := s.Instances[id]
		d := domains[st.Instance.Fabric]
		if d == nil {
			d = &spareDomain{fabric: st.Instance.Fabric, members: map[string]int{}, spares: map[string]int{}}
			domains[st.Instance.Fabric] = d
		}
		if g := s.Groups.Groups[s.Groups.ByInstance[id]]; g != nil {
			d.members[g.Model]++
			continue
		}
		if !isAvailable(st) || st.MustLeave {
			continue
		}
		model := fastestModel(st)
		if model == "" {
			model = loading[id]
		}
		if model == "" {
			d.unloaded = append(d.unloaded, id)
			continue
		}
		d.spares[model]++
		existing = append(existing, Preload{Instance: id, Model: model})
	}
	var out []*spareDomain
	for _, f := range slices.Sorted(maps.Keys(domains)) {
		out = append(out, domains[f])
	}
	return out, existing
}

// missingGroups returns the number of missing groups by model.
func missingGroups(s Snapshot) map[string]int {
	missing := map[string]int{}
	for _, w := range s.Wanted {
		missing[w.Model] += w.Groups
	}
	for _, g := range s.Groups.Groups {
		if g.Phase == group.PhaseActive && !s.isEvacuated(g) {
			missing[g.Model]--
		}
	}
	return missing
}

// bestCompletion returns the domain and model whose next group has the highest
// priority, nil if no domain can complete a missing group.
func bestCompletion(wanted []Wanted, domains []*spareDomain, missing map[string]int) (*spareDomain, *Wanted) {
	var best *spareDomain
	var model *Wanted
	for i := range wanted {
		w := &wanted[i]
		if missing[w.Model] <= 0 || w.Size < 1 {
			continue
		}
		for _, d := range domains {
			if d.missingSpares(w) > len(d.unloaded) {
				continue
			}
			if best == nil || cmp.Or(cmp.Compare(shortage(w, missing[w.Model]), shortage(model, missing[model.Model])), cmp.Compare(best.missingSpares(model), d.missingSpares(w))) > 0 {
				best, model = d, w
			}
		}
	}
	return best, model
}

// shortage returns how short a model is of groups, given how many are missing: the
// utilization of the others or, without work, the share that is missing.
func shortage(w *Wanted, missing int) float64 {
	if w.Work > 0 {
		return utilization(w.Work, w.Groups-missing)
	}
	return float64(missing) / float64(max(w.Groups, 1))
}

// shortestModel returns the model that is shortest of groups, "" if no groups are
// missing.
func shortestModel(wanted []Wanted, missing map[string]int) string {
	best := -1
	for i := range wanted {
		if missing[wanted[i].Model] > 0 && (best < 0 || shortage(&wanted[i], missing[wanted[i].Model]) > shortage(&wanted[best], missing[wanted[best].Model])) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return wanted[best].Model
}

// fastestModel returns the model that an engine can load fastest, "" if it holds
// none.
func fastestModel(st InstanceState) string {
	best := ""
	for _, model := range slices.Sorted(maps.Keys(st.LocalLoadTimes)) {
		if best == "" || st.LocalLoadTimes[model] < st.LocalLoadTimes[best] {
			best = model
		}
	}
	return best
}

// minSubstitutes is the number of spares with a model that replace lost members of its
// groups in a domain at once. Engines of one group are lost in twos.
const minSubstitutes = 2

// needsSubstitutes returns the model with groups in the domain and fewer than minSubstitutes
// spares for which one more prevents the most, "" if there is none. A group that is missing
// for want of room would otherwise get all spares, and a repair of the others would take as
// long as a load from the host.
func (d *spareDomain) needsSubstitutes(wanted []Wanted) string {
	return d.worstSubstituted(slices.DeleteFunc(slices.Clone(wanted), func(w Wanted) bool {
		return d.members[w.Model] == 0 || d.spares[w.Model] >= minSubstitutes
	}))
}

// worstSubstituted returns the model for which one more spare prevents the most loss, "" if
// none is wanted.
func (d *spareDomain) worstSubstituted(wanted []Wanted) string {
	if len(wanted) == 0 {
		return ""
	}
	weight := func(w Wanted) float64 { return substituteWeight(w.Size, d.members[w.Model], d.spares[w.Model]) }
	w := slices.MaxFunc(wanted, func(a, b Wanted) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.Model, b.Model))
	})
	return w.Model
}

// substituteWeight is the loss that one more substitute for members of groups of a size may
// prevent: a lost member takes its whole group, and the more substitutes there are, the less
// likely one more is needed.
func substituteWeight(size, members, substitutes int) float64 {
	return float64(size*(members+1)) / float64(substitutes+1)
}

// warmupPrefix marks the ids of warm-up groups, which only make an engine load
// a model: an engine rejoins the model of its last group much faster than it
// loads one from its host. A warm-up group is ordered only to one engine and is
// never opened.
const warmupPrefix = "warm/"

func isWarmup(id fleet.GroupID) bool { return strings.HasPrefix(string(id), warmupPrefix) }

// ModelOfID returns the model of a group from its id, "" if placement did not
// assign the id.
func ModelOfID(id fleet.GroupID) string {
	scope, _, ok := group.ParseID(id)
	if !ok {
		return ""
	}
	return strings.TrimPrefix(string(scope), warmupPrefix)
}

// stageLoad is an ordered load of a model onto an engine's host.
type stageLoad struct {
	model string
	at    time.Time
}

// preloadSpares orders the free engines to load their planned models: first
// onto the host, then into a warm-up group that the engine leaves as soon as it
// has loaded.
func (c *GroupController) preloadSpares(ctx context.Context, t *termState, servers map[fleet.InstanceID]directory.Listing, s Snapshot, now time.Time) {
	c.pruneStaging(t, servers, now)
	limits := c.cfg.LoadLimits()
	room := limits.MaxConcurrent - t.countLoading(servers)
	if c.cfg.IsIdle() {
		room = len(servers)
	}
	for _, p := range PlanPreloads(s, t.stagingModels()) {
		l, loadTimes := servers[p.Instance], s.Instances[p.Instance].LocalLoadTimes
		switch took, ok := loadTimes[p.Model]; {
		case l.Place != nil || took == c.cfg.RejoinTime && ok:
		case ok || c.cfg.IsIdle():
			c.warmUp(ctx, t, l, p.Model, now)
		case room > 0 && c.stage(ctx, t, l, p.Model, now):
			room--
		}
	}
	c.stageSecondModels(ctx, t, servers, s, room-limits.Reserved, now)
	maps.DeleteFunc(t.warmups, func(id fleet.InstanceID, _ *group.Group) bool {
		_, listed := servers[id]
		return !listed
	})
}

// stage orders an engine to load a model onto its host and reports whether the
// order was sent.
func (c *GroupController) stage(ctx context.Context, t *termState, l directory.Listing, model string, now time.Time) bool {
	o := backend.GroupOrder{Kind: backend.OrderStage, Model: model}
	if _, pending := t.staging[l.Instance]; pending || !t.isConfirmed(l) || !c.maySend(l.Instance, o, now) || !c.takeLoadToken(now) {
		return false
	}
	t.staging[l.Instance] = stageLoad{model: model, at: now}
	c.send(ctx, t, l, o, now)
	return true
}

// pruneStaging removes the loads onto hosts that have completed, were rejected or
// have exceeded their timeout.
func (c *GroupController) pruneStaging(t *termState, servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	c.mu.Lock()
	rejected := c.rejectedStages
	c.rejectedStages = nil
	c.mu.Unlock()
	for _, id := range rejected {
		delete(t.staging, id)
	}
	maps.DeleteFunc(t.staging, func(id fleet.InstanceID, st stageLoad) bool {
		l, listed := servers[id]
		return !listed || l.Failed || slices.Contains(l.Staged, st.model) || now.Sub(st.at) > stageTimeoutFactor*t.loadTime(st.model)
	})
}

// stagingModels returns the models that engines are loading onto their hosts.
func (t *termState) stagingModels() map[fleet.InstanceID]string {
	out := make(map[fleet.InstanceID]string, len(t.staging))
	for id, st := range t.staging {
		out[id] = st.model
	}
	return out
}

// stageSecondModels makes engines that have loaded a model load a second one onto
// their hosts, at most room of them. Such an engine can switch models within the
// time of a load from its host, so any spare or less utilized group can replace any
// other.
func (c *GroupController) stageSecondModels(ctx context.Context, t *termState, servers map[fleet.InstanceID]directory.Listing, s Snapshot, room int, now time.Time) {
	if c.cfg.IsIdle() {
		for _, whole := range t.whole {
			if !whole {
				return // the models of the first groups load first
			}
		}
	}
	if room <= 0 {
		return
	}
	loaded := map[fleet.InstanceID]string{}
	for id, l := range servers {
		loaded[id] = l.LoadedModel
	}
	for _, p := range PlanSecondModels(s, loaded, t.stagingModels(), 2*room) { // some may have refused a moment ago
		if room > 0 && c.stage(ctx, t, servers[p.Instance], p.Model, now) {
			room--
		}
	}
}

// substituteNeed is the need for engines that can replace the members of a model's
// groups in one fabric domain.
type substituteNeed struct {
	want        *Wanted
	members     int
	substitutes int                // engines outside the model's groups that have it at hand or load it
	candidates  []fleet.InstanceID // engines that could load it as their second model
}

func (n *substituteNeed) weight() float64 {
	return substituteWeight(n.want.Size, n.members, n.substitutes)
}

// PlanSecondModels selects engines, at most the given number, that have loaded a
// model and are to load a second one onto their hosts, in the order of their use:
// first where members of large groups have the fewest substitutes in their fabric
// domain. Engines outside groups come before members. loading holds the loads in
// progress.
func PlanSecondModels(s Snapshot, loaded, loading map[fleet.InstanceID]string, most int) []Preload {
	var needs []*substituteNeed
	domains := instancesByFabric(s)
	for _, f := range slices.Sorted(maps.Keys(domains)) {
		for i := range s.Wanted {
			needs = append(needs, newSubstituteNeed(s, domains[f], &s.Wanted[i], loaded, loading))
		}
	}
	var out []Preload
	planned := map[fleet.InstanceID]bool{}
	for len(out) < most {
		best := -1
		for i, n := range needs {
			n.candidates = slices.DeleteFunc(n.candidates, func(id fleet.InstanceID) bool { return planned[id] })
			if len(n.candidates) > 0 && (best < 0 || n.weight() > needs[best].weight()) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		n := needs[best]
		planned[n.candidates[0]] = true
		out = append(out, Preload{Instance: n.candidates[0], Model: n.want.Model})
		n.substitutes++
	}
	return out
}

func instancesByFabric(s Snapshot) map[fleet.FabricDomain][]fleet.InstanceID {
	out := map[fleet.FabricDomain][]fleet.InstanceID{}
	for id, st := range s.Instances {
		out[st.Instance.Fabric] = append(out[st.Instance.Fabric], id)
	}
	return out
}

// newSubstituteNeed returns the need for a model among the instances of one fabric
// domain.
func newSubstituteNeed(s Snapshot, ids []fleet.InstanceID, w *Wanted, loaded, loading map[fleet.InstanceID]string) *substituteNeed {
	n := &substituteNeed{want: w}
	for _, id := range ids {
		st := s.Instances[id]
		if st.Instance.Pool != w.Pool || !isAvailable(st) {
			continue
		}
		g := s.Groups.Groups[s.Groups.ByInstance[id]]
		_, local := st.LocalLoadTimes[w.Model]
		switch {
		case g != nil && g.Model == w.Model:
			n.members++
		case local || loading[id] == w.Model:
			n.substitutes++
		case loaded[id] != "" && loading[id] == "" && secondModel(s.Wanted, loaded[id]) == w.Model:
			n.candidates = append(n.candidates, id)
		}
	}
	slices.SortFunc(n.candidates, func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(s.Groups.ByInstance[a], s.Groups.ByInstance[b]), cmp.Compare(a, b))
	})
	return n
}

// countLoading counts the engines that are loading from the weight store. Too many
// concurrent loads only slow each other down.
func (t *termState) countLoading(servers map[fleet.InstanceID]directory.Listing) int {
	n := len(t.staging)
	for id, l := range servers {
		_, staged := t.staging[id]
		if staged || l.Place == nil || l.Place.State != directory.PlaceJoining {
			continue
		}
		if model := ModelOfID(l.Place.Group); model != l.LoadedModel && !slices.Contains(l.Staged, model) {
			n++
		}
	}
	return n
}

// secondModel returns the model, other than the loaded one, for which the most
// engines are wanted.
func secondModel(wanted []Wanted, loaded string) string {
	best, most := "", 0
	for _, w := range wanted {
		if n := w.Groups * w.Size; w.Model != loaded && n > most {
			best, most = w.Model, n
		}
	}
	return best
}

// warmUp orders a free engine into a warm-up group.
func (c *GroupController) warmUp(ctx context.Context, t *termState, l directory.Listing, model string, now time.Time) {
	g := t.warmups[l.Instance]
	if g == nil || g.Model != model || t.placeHistory.wasPlacedIn(l.Instance, g) {
		size := 0
		for _, w := range t.wanted {
			if w.Model == model {
				size = w.Size
			}
		}
		members := warmupMembers(l, t.listing, size)
		if len(members) < size || size == 0 {
			return
		}
		t.warmupCounter++
		epoch := c.nextEpoch(t)
		g = &group.Group{
			ID:    group.FormatID(lease.Scope(warmupPrefix+model), group.IDMark{Term: t.term, Counter: t.warmupCounter}),
			Epoch: epoch, Model: model, Members: members,
		}
		t.warmups[l.Instance] = g
	}
	o := backend.GroupOrder{Kind: backend.OrderJoin, Group: g.ID, Epoch: g.Epoch, Model: model, Members: instanceIDs(g.Members)}
	if c.maySend(l.Instance, o, now) {
		c.send(ctx, t, l, o, now)
	}
}

// warmupMembers returns members for a warm-up group of the given size: the
// engine and others of its service and fabric domain.
func warmupMembers(l directory.Listing, servers map[fleet.InstanceID]directory.Listing, size int) []group.Member {
	members := []group.Member{{Instance: l.Instance}}
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		o := servers[id]
		if len(members) < size && id != l.Instance && o.Service == l.Service && o.Fabric == l.Fabric {
			members = append(members, group.Member{Instance: id})
		}
	}
	return members
}

// takeLoadToken reports whether the rate limit of the weight store allows one more
// load now, and counts it.
func (c *GroupController) takeLoadToken(now time.Time) bool {
	return c.cfg.IsIdle() || c.loadLimiter.AllowN(now, 1)
}

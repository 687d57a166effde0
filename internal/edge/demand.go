package edge

import (
	"context"
	"math"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/routes"
)

const (
	// demandWindow is the time constant of the average demand for a model.
	demandWindow = 8 * time.Second
	// minDemandRequests is the number of requests at all daemons together from
	// which on the measured demand replaces the shares stated in the document.
	minDemandRequests = 600
)

// demandMeter measures the work that the requests of this daemon's callers
// require, including refused requests.
type demandMeter struct {
	mu        sync.Mutex
	work      map[fleet.ServiceName]float64 // group-seconds, decaying
	startedAt time.Time
	updatedAt time.Time
	requests  uint64
}

// add records the work of one request.
func (d *demandMeter) add(name fleet.ServiceName, work time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.work == nil {
		d.work, d.startedAt = map[fleet.ServiceName]float64{}, now
	}
	decay := math.Exp(-now.Sub(d.updatedAt).Seconds() / demandWindow.Seconds())
	for n := range d.work {
		d.work[n] *= decay
	}
	d.updatedAt = now
	d.work[name] += work.Seconds()
	d.requests++
}

// busyGroups returns how many groups the requests for each model keep busy, and
// the number of requests recorded so far. The average is over the time since the
// first request while that is shorter than the window.
func (d *demandMeter) busyGroups(now time.Time) (work map[fleet.ServiceName]float64, requests uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	work = make(map[fleet.ServiceName]float64, len(d.work))
	decay := math.Exp(-now.Sub(d.updatedAt).Seconds() / demandWindow.Seconds())
	observed := demandWindow.Seconds() * (1 - math.Exp(-now.Sub(d.startedAt).Seconds()/demandWindow.Seconds()))
	for name, sum := range d.work {
		work[name] = sum * decay / max(observed, minObservedSeconds)
	}
	return work, d.requests
}

// minObservedSeconds bounds the time over which demand is averaged from below.
const minObservedSeconds = 0.5

// totalWork returns how many groups the requests for each model keep busy at all
// daemons together, and whether minDemandRequests have been recorded.
func (d *Daemon) totalWork(now time.Time) (work map[fleet.ServiceName]float64, measured bool) {
	work, requests := d.demand.busyGroups(now)
	for _, p := range d.mesh.View().Peers {
		if !p.Alive {
			continue
		}
		requests += p.Heartbeat.WorkRequests
		for name, groups := range p.Heartbeat.Work {
			work[name] += groups
		}
	}
	return work, requests >= minDemandRequests
}

// demandRecorder is an entry.Dispatcher that records the demand of the requests
// it forwards.
type demandRecorder struct{ d *Daemon }

// Forward implements entry.Dispatcher.
func (m demandRecorder) Forward(ctx context.Context, f dispatch.Forwarding, relay dispatch.Relay) *fleet.Failure {
	if f.Kind == fleet.KindEngine {
		if engine, model := m.d.engineModel(f.Service); model != nil {
			work := engine.ServiceTime(model, float64(f.PromptTokens), float64(f.AnswerTokens))
			m.d.demand.add(f.Service, work, time.Now())
		}
	}
	return m.d.dispatcher.Forward(ctx, f, relay)
}

// engineModel returns the engine and the model of a service, or nil if the
// service is not an engine's model.
func (d *Daemon) engineModel(name fleet.ServiceName) (*routes.Engine, *routes.Model) {
	pub := d.catalog().Services[name]
	if pub == nil {
		return nil, nil
	}
	s, m := d.findModel(pub.Spec.Model)
	if m == nil {
		return nil, nil
	}
	return s.Engine, m
}

// enginePool holds the listed servers of a service.
type enginePool struct {
	// usable may be members of groups. Departed leave, or are in an availability zone that
	// is evacuated: they are not lost. Servers that don't answer are neither.
	usable, departed map[fleet.InstanceID]bool
}

// enginePools returns the listed servers by service.
func enginePools(servers map[fleet.InstanceID]directory.Listing, isEvacuated func(fleet.Zone) bool) map[string]*enginePool {
	pools := map[string]*enginePool{}
	for id, l := range servers {
		pool := pools[l.Service]
		if pool == nil {
			pool = &enginePool{usable: map[fleet.InstanceID]bool{}, departed: map[fleet.InstanceID]bool{}}
			pools[l.Service] = pool
		}
		switch {
		case l.Leaving, isEvacuated(l.Zone):
			pool.departed[id] = true
		case !l.Failed:
			pool.usable[id] = true
		}
	}
	return pools
}

// wantedGroups returns the groups that placement should form and the version of
// the routing document. It distributes each service's engines over its models in
// proportion to their demand.
func (d *Daemon) wantedGroups(groupCounts map[fleet.ServiceName]placement.GroupCounts) ([]placement.Wanted, uint64) {
	t := d.routes.Table()
	if t == nil || !d.hasServerList.Load() {
		return nil, 0
	}
	pools := enginePools(d.directory.Servers(), d.evacuations.IsEvacuated)
	now := time.Now()
	var out []placement.Wanted
	for i := range t.Document.Services {
		s := &t.Document.Services[i]
		if s.Engine == nil {
			continue
		}
		pool := pools[s.Name]
		if pool == nil {
			pool = &enginePool{}
		}
		demands, measured := d.modelDemands(s, groupCounts)
		losses := d.lossesOf(s.Name)
		losses.Observe(pool.usable, pool.departed, now)
		n := len(pool.usable)
		groups := placement.SplitEngines(demands, n, reservePolicy.Reserve(n, losses.PerSecond(), maxLoadTime(s.Engine)), measured)
		for k, m := range s.Engine.Models {
			out = append(out, placement.Wanted{
				Service:  routes.ModelService(s.Name, m.Name),
				Revision: t.Document.Version,
				Pool:     fleet.Pool(s.Name),
				Model:    m.Name,
				Groups:   groups[k],
				Work:     demands[k].Work,
				Measured: measured,
				Size:     m.Size,
				LoadTime: m.LoadTime,
			})
		}
	}
	return out, t.Document.Version
}

// lossesOf returns the meter of the engines of a service that are lost. It is used only by
// the control loop.
func (d *Daemon) lossesOf(service string) *placement.LossMeter {
	if d.losses[service] == nil {
		d.losses[service] = &placement.LossMeter{}
	}
	return d.losses[service]
}

// maxLoadTime returns the longest load time of an engine's models.
func maxLoadTime(e *routes.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.LoadTime)
	}
	return longest
}

// loadLimits returns the document's limits for loading from the weight store. Of
// several engine services the strictest limits apply, since the services share
// the store.
func (d *Daemon) loadLimits() placement.LoadLimits {
	perSecond, atOnce := 0.0, 0
	if t := d.routes.Table(); t != nil {
		for i := range t.Document.Services {
			e := t.Document.Services[i].Engine
			if e == nil {
				continue
			}
			if perSecond == 0 || e.LoadsPerSecond > 0 && e.LoadsPerSecond < perSecond {
				perSecond = e.LoadsPerSecond
			}
			if atOnce == 0 || e.LoadsAtOnce > 0 && e.LoadsAtOnce < atOnce {
				atOnce = e.LoadsAtOnce
			}
		}
	}
	if perSecond <= 0 {
		perSecond = defaultLoadLimit
	}
	if atOnce <= 0 {
		atOnce = defaultLoadLimit
	}
	return placement.LoadLimits{
		PerSecond:     loadRateFraction * perSecond,
		Burst:         max(int(burstSeconds*perSecond), 1),
		MaxConcurrent: max(atOnce, 1),
		Reserved:      min(reservedLoads, max(atOnce, 1)-1),
	}
}

// maxOpenTime returns the longest time that an engine takes to open a group.
func (d *Daemon) maxOpenTime() time.Duration {
	return d.maxEngineTime(func(e *routes.Engine) time.Duration { return e.StartupTime })
}

// maxReportLag returns the maximum age of engines' status responses.
func (d *Daemon) maxReportLag() time.Duration {
	return d.maxEngineTime(func(e *routes.Engine) time.Duration { return e.ReportLag })
}

// maxEngineTime returns the maximum of a duration over the document's engines.
func (d *Daemon) maxEngineTime(duration func(e *routes.Engine) time.Duration) time.Duration {
	var longest time.Duration
	if t := d.routes.Table(); t != nil {
		for i := range t.Document.Services {
			if e := t.Document.Services[i].Engine; e != nil {
				longest = max(longest, duration(e))
			}
		}
	}
	return longest
}

// modelDemands returns the demand for each model: the measured demand or, until
// it is known, the share of the engines stated in the document.
func (d *Daemon) modelDemands(s *routes.Service, groupCounts map[fleet.ServiceName]placement.GroupCounts) (demands []placement.ModelDemand, measured bool) {
	work, measured := d.totalWork(time.Now())
	demands = make([]placement.ModelDemand, len(s.Engine.Models))
	for i, m := range s.Engine.Models {
		name := routes.ModelService(s.Name, m.Name)
		demands[i] = placement.ModelDemand{Size: m.Size, Work: work[name], GroupCounts: groupCounts[name]}
		if !measured {
			demands[i].Work = m.Share / float64(m.Size)
		}
	}
	return demands, measured
}

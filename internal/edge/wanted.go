package edge

import (
	"context"
	"math"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/routes"
)

const (
	// demandTime is the time over which the work of each model is averaged.
	demandTime = 8 * time.Second
	// demandRequests is how many requests must have come before they count in
	// place of the shares that the document expects.
	demandRequests = 150
)

// demand measures the work that requests of each model bring, refused ones
// included. The balancer spreads callers over the daemons, so that the ratio
// at one daemon stands for that at all.
type demand struct {
	mu       sync.Mutex
	work     map[fleet.ServiceName]float64 // seconds of a group, fading
	at       time.Time
	requests int
}

// add counts one request's work.
func (d *demand) add(name fleet.ServiceName, work time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.work == nil {
		d.work = map[fleet.ServiceName]float64{}
	}
	fade := math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
	for n := range d.work {
		d.work[n] *= fade
	}
	d.at = now
	d.work[name] += work.Seconds()
	d.requests++
}

// of returns how many groups a model's requests keep busy, and whether enough
// was seen for it to count.
func (d *demand) of(name fleet.ServiceName, now time.Time) (float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fade := math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
	return d.work[name] * fade / demandTime.Seconds(), d.requests >= demandRequests
}

// measured counts the work of the requests that it hands on.
type measured struct{ d *Daemon }

// Forward implements entry.Dispatcher.
func (m measured) Forward(ctx context.Context, f dispatch.Forwarding, relay dispatch.Relay) *fleet.Failure {
	if f.Kind == fleet.KindEngine {
		if engine, model := m.d.modelOf(f.Service); model != nil {
			work := engine.ServiceTime(model, float64(f.PromptTokens), float64(f.AnswerTokens))
			m.d.demand.add(f.Service, work, time.Now())
		}
	}
	return m.d.dispatcher.Forward(ctx, f, relay)
}

// modelOf returns the engine and model behind the name of a service, nil when
// it is none.
func (d *Daemon) modelOf(name fleet.ServiceName) (*routes.Engine, *routes.Model) {
	t := d.routes.Table()
	pub := t.Catalog.Services[name]
	if pub == nil {
		return nil, nil
	}
	s, m := d.engineOf(pub.Spec.Model)
	if m == nil {
		return nil, nil
	}
	return s.Engine, m
}

// wanted is what placement is to form: the engines of each service, divided
// over its models by their work.
func (d *Daemon) wanted(standing map[fleet.ServiceName]placement.Standing) ([]placement.Wanted, uint64) {
	t := d.routes.Table()
	if t == nil || !d.listed.Load() {
		return nil, 0
	}
	engines := map[string]int{}
	for _, l := range d.directory.Servers() {
		if !l.Leaving {
			engines[l.Service]++
		}
	}
	var out []placement.Wanted
	for i := range t.Document.Services {
		s := &t.Document.Services[i]
		if s.Engine == nil {
			continue
		}
		n := engines[s.Name]
		demands, measured := d.demands(s, standing)
		groups := placement.SplitEngines(demands, n, int(reservePart*float64(n)), measured)
		for k, m := range s.Engine.Models {
			out = append(out, placement.Wanted{
				Service:  routes.ModelService(s.Name, m.Name),
				Revision: t.Document.Version,
				Pool:     fleet.Pool(s.Name),
				Model:    m.Name,
				Groups:   groups[k],
				Size:     m.Size,
				LoadTime: m.LoadTime,
				Spare:    spareOf(demands[k], measured),
			})
		}
	}
	return out, t.Document.Version
}

// loadLimits is what the document says of the weight store; of several engine
// services the strictest, since they share it.
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
		perSecond = unknownLoads
	}
	if atOnce <= 0 {
		atOnce = unknownLoads
	}
	return placement.LoadLimits{
		PerSecond: loadPart * perSecond,
		Burst:     max(int(burstSeconds*perSecond), 1),
		AtOnce:    max(atOnce, 1),
		Kept:      min(keptLoads, max(atOnce, 1)-1),
	}
}

// openTime is how long the slowest engines take to open a group.
func (d *Daemon) openTime() time.Duration {
	return d.longest(func(e *routes.Engine) time.Duration { return e.OpenTime })
}

// reportLag is how old the answers of engines about themselves may be.
func (d *Daemon) reportLag() time.Duration {
	return d.longest(func(e *routes.Engine) time.Duration { return e.ReportLag })
}

// longest is the longest of a time over the document's engines.
func (d *Daemon) longest(of func(e *routes.Engine) time.Duration) time.Duration {
	var most time.Duration
	if t := d.routes.Table(); t != nil {
		for i := range t.Document.Services {
			if e := t.Document.Services[i].Engine; e != nil {
				most = max(most, of(e))
			}
		}
	}
	return most
}

// spareOf is how many of its groups a model can do without, none before its
// work is known.
func spareOf(m placement.ModelDemand, measured bool) int {
	if !measured {
		return 0
	}
	return m.Spare()
}

// demands is the work of each model: as measured, or by the shares of the
// engines that the document expects.
func (d *Daemon) demands(s *routes.Service, standing map[fleet.ServiceName]placement.Standing) (demands []placement.ModelDemand, measured bool) {
	demands = make([]placement.ModelDemand, len(s.Engine.Models))
	for i, m := range s.Engine.Models {
		name := routes.ModelService(s.Name, m.Name)
		work, known := d.demand.of(name, time.Now())
		if !known {
			work = m.Share / float64(m.Size)
		}
		measured = known
		demands[i] = placement.ModelDemand{Size: m.Size, Work: work * float64(d.daemons()), Standing: standing[name]}
	}
	return demands, measured
}

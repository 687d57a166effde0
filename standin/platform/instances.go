package platform

import (
	"sort"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Listed is one instance as it registers itself with the stand-in.
type Listed struct {
	ID            fleet.InstanceID   `json:"id"`
	Address       string             `json:"address"`
	Zone          fleet.Zone         `json:"zone"`
	Fabric        fleet.FabricDomain `json:"fabric"`
	Pool          fleet.Pool         `json:"pool"`
	Kind          fleet.InstanceKind `json:"kind"`
	Accelerators  uint32             `json:"accelerators"`
	Leaving       bool               `json:"leaving"`
	ChecksFencing bool               `json:"checks_fencing"`
}

func (l Listed) instance() fleet.Instance {
	return fleet.Instance{
		ID: l.ID, Address: l.Address, Zone: l.Zone, Fabric: l.Fabric, Pool: l.Pool,
		Kind: l.Kind, Accelerators: l.Accelerators, Leaving: l.Leaving, ChecksFencing: l.ChecksFencing,
	}
}

// InstancesConfig sets how far the list lags.
type InstancesConfig struct {
	// Lag is how late a change shows, 2 s when zero.
	Lag time.Duration
	// DropAfter is how long an instance that no longer registers stays
	// listed, 10 s when zero.
	DropAfter time.Duration
}

type listedVersion struct {
	at     time.Time
	listed Listed
}

// Instances is the lagging list. It is safe for concurrent use.
type Instances struct {
	mu       sync.Mutex
	cfg      InstancesConfig
	versions map[fleet.InstanceID][]listedVersion // oldest first
	seen     map[fleet.InstanceID]time.Time
	down     bool
}

// NewInstances returns an empty list.
func NewInstances(cfg InstancesConfig) *Instances {
	if cfg.Lag == 0 {
		cfg.Lag = 2 * time.Second
	}
	if cfg.DropAfter == 0 {
		cfg.DropAfter = 10 * time.Second
	}
	return &Instances{cfg: cfg, versions: map[fleet.InstanceID][]listedVersion{}, seen: map[fleet.InstanceID]time.Time{}}
}

// Register tells that an instance lives, with its present properties.
func (s *Instances) Register(l Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.seen[l.ID] = now
	vs := s.versions[l.ID]
	if n := len(vs); n > 0 {
		l.Leaving = l.Leaving || vs[n-1].listed.Leaving && vs[n-1].listed.Address == l.Address
		if vs[n-1].listed == l {
			return
		}
	}
	s.versions[l.ID] = append(vs, listedVersion{at: now, listed: l})
}

// SetLeaving marks an instance as leaving, or takes the mark back.
func (s *Instances) SetLeaving(id fleet.InstanceID, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vs := s.versions[id]
	if len(vs) == 0 {
		return
	}
	l := vs[len(vs)-1].listed
	l.Leaving = leaving
	s.versions[id] = append(vs, listedVersion{at: time.Now(), listed: l})
}

// SetDown makes List fail while down.
func (s *Instances) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// List returns the instances as they stood Lag ago, in the order of their
// ids.
func (s *Instances) List() ([]fleet.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, ErrOutage
	}
	now := time.Now()
	var out []fleet.Instance
	for id, vs := range s.versions {
		if now.Sub(s.seen[id]) > s.cfg.DropAfter {
			delete(s.versions, id)
			delete(s.seen, id)
			continue
		}
		shown := -1
		for i, v := range vs {
			if now.Sub(v.at) >= s.cfg.Lag {
				shown = i
			}
		}
		if shown < 0 {
			continue
		}
		s.versions[id] = vs[shown:]
		out = append(out, vs[shown].listed.instance())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

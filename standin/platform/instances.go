package platform

import (
	"sort"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Registration is one instance as it registers with the stand-in.
type Registration struct {
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

func (l Registration) toInstance() fleet.Instance {
	return fleet.Instance{
		ID: l.ID, Address: l.Address, Zone: l.Zone, Fabric: l.Fabric, Pool: l.Pool,
		Kind: l.Kind, Accelerators: l.Accelerators, Leaving: l.Leaving, ChecksFencing: l.ChecksFencing,
	}
}

// InstancesConfig configures the delays of the list.
type InstancesConfig struct {
	// Lag is the delay until a change is listed, 2 s if zero.
	Lag time.Duration
	// DropAfter is how long an instance that no longer registers stays
	// listed, 10 s if zero.
	DropAfter time.Duration
}

type listedVersion struct {
	since  time.Time
	listed Registration
}

// Instances is the instance list. It is safe for concurrent use.
type Instances struct {
	mu             sync.Mutex
	cfg            InstancesConfig
	versions       map[fleet.InstanceID][]listedVersion // oldest first
	lastRegistered map[fleet.InstanceID]time.Time
	down           bool
}

// NewInstances returns an empty list.
func NewInstances(cfg InstancesConfig) *Instances {
	if cfg.Lag == 0 {
		cfg.Lag = 2 * time.Second
	}
	if cfg.DropAfter == 0 {
		cfg.DropAfter = 10 * time.Second
	}
	return &Instances{cfg: cfg, versions: map[fleet.InstanceID][]listedVersion{}, lastRegistered: map[fleet.InstanceID]time.Time{}}
}

// Register records that an instance is alive, with its current properties.
func (s *Instances) Register(l Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lastRegistered[l.ID] = now
	versions := s.versions[l.ID]
	if n := len(versions); n > 0 {
		l.Leaving = l.Leaving || versions[n-1].listed.Leaving && versions[n-1].listed.Address == l.Address
		if versions[n-1].listed == l {
			return
		}
	}
	s.versions[l.ID] = append(versions, listedVersion{since: now, listed: l})
}

// SetLeaving sets or clears the leaving mark of an instance.
func (s *Instances) SetLeaving(id fleet.InstanceID, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.versions[id]
	if len(versions) == 0 {
		return
	}
	l := versions[len(versions)-1].listed
	l.Leaving = leaving
	s.versions[id] = append(versions, listedVersion{since: time.Now(), listed: l})
}

// SetDown starts or ends an outage, during which List fails.
func (s *Instances) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// List returns the instances as of Lag ago, ordered by id.
func (s *Instances) List() ([]fleet.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, ErrOutage
	}
	now := time.Now()
	var out []fleet.Instance
	for id, versions := range s.versions {
		if now.Sub(s.lastRegistered[id]) > s.cfg.DropAfter {
			delete(s.versions, id)
			delete(s.lastRegistered, id)
			continue
		}
		visible := -1
		for i, v := range versions {
			if now.Sub(v.since) >= s.cfg.Lag {
				visible = i
			}
		}
		if visible < 0 {
			continue
		}
		s.versions[id] = versions[visible:]
		out = append(out, versions[visible].listed.toInstance())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

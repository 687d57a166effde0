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

func (r Registration) toInstance() fleet.Instance {
	return fleet.Instance{
		ID: r.ID, Address: r.Address, Zone: r.Zone, Fabric: r.Fabric, Pool: r.Pool,
		Kind: r.Kind, Accelerators: r.Accelerators, Leaving: r.Leaving, ChecksFencing: r.ChecksFencing,
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
	since        time.Time
	registration Registration
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
func (s *Instances) Register(r Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lastRegistered[r.ID] = now
	versions := s.versions[r.ID]
	if n := len(versions); n > 0 {
		r.Leaving = r.Leaving || versions[n-1].registration.Leaving && versions[n-1].registration.Address == r.Address
		if versions[n-1].registration == r {
			return
		}
	}
	s.versions[r.ID] = append(versions, listedVersion{since: now, registration: r})
}

// SetLeaving sets or clears the leaving mark of an instance.
func (s *Instances) SetLeaving(id fleet.InstanceID, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.versions[id]
	if len(versions) == 0 {
		return
	}
	r := versions[len(versions)-1].registration
	r.Leaving = leaving
	s.versions[id] = append(versions, listedVersion{since: time.Now(), registration: r})
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
		out = append(out, versions[visible].registration.toInstance())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

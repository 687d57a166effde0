package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/suspect"
)

const (
	// verdictsInterval is the time between two checks for verdicts to record.
	verdictsInterval = 500 * time.Millisecond
	// verdictKeyPrefix is the prefix of the broadcast keys of verdicts. No server
	// ID starts with it.
	verdictKeyPrefix = "verdict/"
	// probeTimeout limits a probe of whether a server has ended, whoever shares it.
	probeTimeout = 300 * time.Millisecond
)

// keepVerdicts reads the stored verdicts once. While this daemon holds the lease,
// it then stores those of all daemons, for daemons that start later, and deletes
// the ones that it found expired.
func (d *Daemon) keepVerdicts(ctx context.Context) {
	expired, err := d.readVerdicts(ctx)
	for err != nil && sleep(ctx, verdictsInterval) {
		expired, err = d.readVerdicts(ctx)
	}
	for sleep(ctx, verdictsInterval) {
		if !d.groupController.HoldsLease() || d.storeUnavailable.Load() {
			continue
		}
		for _, v := range d.detector.Unrecorded() {
			d.detector.Recorded(v, d.env.Platform.Verdicts.RecordVerdict(ctx, v))
		}
		expired = slices.DeleteFunc(expired, func(f suspect.Fingerprint) bool {
			if d.detector.HasVerdict(f) {
				return true // decided anew since
			}
			err := d.env.Platform.Verdicts.DropVerdict(ctx, f)
			if err != nil {
				d.events.Emit(eventStoreFailed, "what", "deletion of a verdict", "error", err)
			}
			return err == nil
		})
	}
}

// readVerdicts applies the stored verdicts and returns those that are no longer
// in force.
func (d *Daemon) readVerdicts(ctx context.Context) (expired []suspect.Fingerprint, err error) {
	items, _, err := d.env.Platform.Verdicts.Verdicts().All(ctx)
	if err != nil {
		if !d.storeUnavailable.Load() {
			d.events.Emit(eventStoreFailed, "what", "verdicts", "error", err)
		}
		return nil, err
	}
	for _, item := range items {
		switch {
		case item.Err != nil:
			d.skipBadRecord("verdicts", item.Key, item.Position, item.Err)
		case item.Deleted:
		case item.Value.InForce(time.Now()):
			d.detector.Apply(item.Value, true)
		default:
			expired = append(expired, item.Value.Fingerprint)
		}
	}
	return expired, nil
}

// broadcastVerdict sends a verdict to all daemons.
func (d *Daemon) broadcastVerdict(v suspect.Verdict) {
	body, err := cbor.Marshal(serverBroadcast{Verdict: &v})
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", v.Fingerprint, "error", err)
		return
	}
	d.mesh.Broadcast([]membership.Broadcast{{Key: verdictKeyPrefix + v.Fingerprint.String(), Version: uint64(v.Until), Body: body}})
}

// sharedProber probes each address once at a time for all attempts that failed there
// together and watch it for the same time.
type sharedProber struct {
	prober dispatch.LivenessProber

	mu     sync.Mutex
	probes map[probeKey]*sharedProbe
}

type probeKey struct {
	address string
	watch   time.Duration
}

type sharedProbe struct {
	done  chan struct{}
	ended bool
}

var _ dispatch.LivenessProber = (*sharedProber)(nil)

// MayBeReached implements dispatch.LivenessProber.
func (s *sharedProber) MayBeReached(ctx context.Context, address string) bool {
	return s.prober.MayBeReached(ctx, address)
}

// HasEnded implements dispatch.LivenessProber. It takes the result of a probe that began
// before only if that found the server ended.
func (s *sharedProber) HasEnded(ctx context.Context, address string, watch time.Duration) bool {
	key := probeKey{address, watch}
	s.mu.Lock()
	for waited := false; s.probes[key] != nil; waited = true {
		p := s.probes[key]
		s.mu.Unlock()
		select {
		case <-p.done:
		case <-ctx.Done():
			return false
		}
		if p.ended || waited {
			return p.ended
		}
		s.mu.Lock()
	}
	p := &sharedProbe{done: make(chan struct{})}
	if s.probes == nil {
		s.probes = map[probeKey]*sharedProbe{}
	}
	s.probes[key] = p
	s.mu.Unlock()
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	p.ended = s.prober.HasEnded(probeCtx, address, watch)
	s.mu.Lock()
	delete(s.probes, key)
	s.mu.Unlock()
	close(p.done)
	return p.ended
}

package suspect

import (
	"maps"
	"slices"
	"time"
)

// put stores a verdict and keeps their number within maxVerdicts. Called with mu
// held.
func (d *Detector) put(v Verdict) {
	d.verdicts[v.Fingerprint] = v
	// An uncertain verdict explains no deaths.
	d.history.SetConvicted(v.Fingerprint, !v.Cleared && !v.Uncertain)
	if len(d.verdicts) > maxVerdicts {
		d.drop(firstToExpire(d.verdicts))
	}
}

func (d *Detector) drop(f Fingerprint) {
	delete(d.verdicts, f)
	delete(d.unrecorded, f)
	d.history.SetConvicted(f, false)
}

// expire drops verdicts that are no longer in force. Called with mu held.
func (d *Detector) expire(now time.Time) {
	for f, v := range d.verdicts {
		if !v.InForce(now) {
			d.drop(f)
		}
	}
	noDeaths := func(f Fingerprint) bool { return !d.history.HasDeaths(f) }
	maps.DeleteFunc(d.reported, func(f Fingerprint, _ Survivals) bool { return noDeaths(f) })
	maps.DeleteFunc(d.uncertain, func(f Fingerprint, _ int) bool { return noDeaths(f) })
}

// Apply adopts a verdict of another daemon or of an earlier time, unless a later
// one on the same fingerprint is known. recorded is set if it is kept outside.
func (d *Detector) Apply(v Verdict, recorded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.verdicts[v.Fingerprint]
	if now := time.Now(); !v.InForce(now) || known && old.InForce(now) && old != v && !v.replaces(old) {
		return
	}
	d.put(v)
	if recorded {
		delete(d.unrecorded, v.Fingerprint)
	} else {
		d.unrecorded[v.Fingerprint] = struct{}{}
	}
}

// Clear lets a request run as usual for DetectorConfig.Term regardless of the
// evidence, and returns the verdict.
func (d *Detector) Clear(f Fingerprint) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	v := Verdict{
		Fingerprint: f, Service: d.verdicts[f].Service, Author: d.cfg.Self, Deaths: d.history.Deaths(f), Cleared: true,
		Part: d.verdicts[f].Part, Until: now.Add(d.cfg.Term).UnixMilli(), Decided: now.UnixMilli(),
	}
	d.put(v)
	d.unrecorded[f] = struct{}{}
	d.cfg.Events.Emit(eventCleared, "fingerprint", f)
	return v
}

// HasVerdict reports whether a verdict on a fingerprint is in force.
func (d *Detector) HasVerdict(f Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdicts[f].InForce(time.Now())
}

// Verdicts returns the verdicts in force, sorted by fingerprint.
func (d *Detector) Verdicts() []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(time.Now())
	return sortedVerdicts(d.verdicts)
}

// Unrecorded returns the verdicts that may not be kept outside yet.
func (d *Detector) Unrecorded() []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(time.Now())
	return slices.DeleteFunc(sortedVerdicts(d.verdicts), func(v Verdict) bool {
		_, unrecorded := d.unrecorded[v.Fingerprint]
		return !unrecorded
	})
}

// RecordAgain notes that verdicts may be lost where they were kept.
func (d *Detector) RecordAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.verdicts {
		d.unrecorded[f] = struct{}{}
	}
}

// Recorded notes that a verdict is kept outside. A failure to do so is logged.
func (d *Detector) Recorded(v Verdict, err error) {
	if err != nil {
		d.cfg.Events.Emit(eventNotRecorded, "fingerprint", v.Fingerprint, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.verdicts[v.Fingerprint] == v {
		delete(d.unrecorded, v.Fingerprint)
	}
}

package placement

import (
	"math"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Engines that are kept outside groups replace members that are lost, until others have
// loaded a model. How many that takes depends on how many are lost within a load time, not
// on how many engines there are: kept as a share, most of them are never used where there
// are many, while the groups are short of room.

const (
	// lossWindow is the time constant of the rate at which engines are lost.
	lossWindow = 20 * time.Second
	// maxObservationGap is the longest time between two observations within which engines
	// that are gone count as lost.
	maxObservationGap = 2 * time.Second
)

// LossMeter measures at which rate engines are lost. The zero value has seen nothing. It is
// not safe for concurrent use.
type LossMeter struct {
	usable map[fleet.InstanceID]bool // at the last observation
	at     time.Time
	sum    float64 // losses, decaying
}

// Observe records which engines could be members of groups at a time. Departed are those
// that could not, as planned; they don't count as lost.
func (m *LossMeter) Observe(usable, departed map[fleet.InstanceID]bool, now time.Time) {
	passed := now.Sub(m.at)
	m.sum *= math.Exp(-passed.Seconds() / lossWindow.Seconds())
	if passed <= maxObservationGap {
		for id := range m.usable {
			if !usable[id] && !departed[id] {
				m.sum++
			}
		}
	}
	m.usable, m.at = usable, now
}

// PerSecond returns the mean number of engines lost in a second.
func (m *LossMeter) PerSecond() float64 { return m.sum / lossWindow.Seconds() }

// ReservePolicy says how many engines are kept outside groups.
type ReservePolicy struct {
	// LossesPerSecond is the rate of losses to be borne before any is seen. A higher rate
	// that was seen replaces it.
	LossesPerSecond float64
	// MaxShare is the largest share of the engines that is kept.
	MaxShare float64
}

// Reserve returns the number of engines to be kept outside groups: those that are lost
// within loadTime, the time that an engine takes to load a model, and MaxShare of all at
// most.
func (p ReservePolicy) Reserve(engines int, lossesPerSecond float64, loadTime time.Duration) int {
	expected := max(lossesPerSecond, p.LossesPerSecond) * loadTime.Seconds()
	return int(min(math.Ceil(expected), p.MaxShare*float64(engines)))
}

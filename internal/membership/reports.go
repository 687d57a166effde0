package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// Reports of backend servers are sent inside heartbeats. State that seldom
// changes is sent once, load figures when they have changed, and otherwise only
// the time at which the report was requested again.

const (
	// ageUnit is the unit of the ages of reports on the wire, rounded up.
	ageUnit = 10 * time.Millisecond
	// maxReports bounds the reports in one heartbeat.
	maxReports = 2048
	// progressUnit is the denominator of the load progress.
	progressUnit = 1000
)

// Errors in the reports of a heartbeat.
var (
	errUnpairedAge    = errors.New("report without an age")
	errUnknownReport  = errors.New("age or load of an unknown report")
	errTooManyReports = errors.New("too many reports in one heartbeat")
)

// wireReport is the part of a report that seldom changes.
type wireReport struct {
	_           struct{} `cbor:",toarray"`
	Instance    uint32   // number of its name
	Incarnation uint64
	Ready       bool
	Leaving     bool
	MaxRunning  uint32
	Progress    uint32 // of progressUnit, rounded down
	Assignment  *wireAssignment
}

type wireAssignment struct {
	_        struct{} `cbor:",toarray"`
	Group    fleet.GroupID
	Epoch    fleet.Epoch
	Rank     fleet.Rank
	Service  fleet.ServiceName
	Model    string
	Version  fleet.Version
	Adapters []fleet.Adapter
	Role     fleet.Role
	Members  []string
}

// wireLoad is the part of a report that changes while requests run.
type wireLoad struct {
	_               struct{} `cbor:",toarray"`
	Instance        uint32   // number of its name
	Running         uint32
	Queued          uint32
	PendingTokens   uint64
	TokensPerSecond uint64
	Age             uint64 // of the figures when requested, in ageUnit
}

// toAgeUnits converts an age to ageUnit, rounded up, never negative.
func toAgeUnits(age time.Duration) uint64 {
	if age <= 0 {
		return 0
	}
	return uint64((age + ageUnit - 1) / ageUnit)
}

// fromAgeUnits is the inverse of toAgeUnits, bounded by a day.
func fromAgeUnits(n uint64) time.Duration {
	const day = uint64(24 * time.Hour / ageUnit)
	return time.Duration(min(n, day)) * ageUnit
}

// packReports writes the reports that were not sent on the link yet into a
// heartbeat that is sent now. lastSent holds the last report sent of each
// instance.
func (n *nameTable) packReports(b *heartbeatMessage, now time.Time, reports []fleet.Report, lastSent map[fleet.InstanceID]fleet.Report) {
	for _, r := range reports {
		last, known := lastSent[r.Instance]
		if known && last.ReceivedAt.Equal(r.ReceivedAt) {
			continue
		}
		if len(b.ReportAges) >= 2*maxReports {
			return
		}
		i := n.number(string(r.Instance))
		if !known || !sameState(last, r) {
			b.Reports = append(b.Reports, newWireReport(i, r))
		}
		if !known || !sameLoad(last, r) {
			b.Loads = append(b.Loads, newWireLoad(i, r))
		}
		lastSent[r.Instance] = r
		b.ReportAges = append(b.ReportAges, uint64(i), toAgeUnits(now.Sub(r.ReceivedAt)))
	}
}

// packNew returns the numbers of the names that were not listed in the link's
// last heartbeat. lastListed holds the names that were, and is updated.
func packNew[T ~string](n *nameTable, listed []T, lastListed map[T]bool) []uint32 {
	var added []uint32
	current := make(map[T]bool, len(listed))
	for _, id := range listed[:min(len(listed), maxReports)] {
		current[id] = true
		if !lastListed[id] {
			added = append(added, n.number(string(id)))
		}
	}
	clear(lastListed)
	maps.Copy(lastListed, current)
	return added
}

// unpackNew returns the names for numbers from packNew. The heartbeat's names
// must have been added before.
func unpackNew[T ~string](n nameList, numbers []uint32) ([]T, error) {
	out := make([]T, 0, len(numbers))
	for _, i := range numbers {
		id, err := n.get(i)
		if err != nil {
			return nil, err
		}
		out = append(out, T(id))
	}
	return out, nil
}

// unpackReports returns a heartbeat's reports. The heartbeat's names must have
// been added before. last holds the link's last report by number. ReceivedAt of
// a report is sentAt minus the age at which the report was requested. Without
// sentAt there is no bound for it, and no report is returned.
func (n nameList) unpackReports(b *heartbeatMessage, sentAt time.Time, last map[uint32]fleet.Report) ([]fleet.Report, error) {
	if len(b.ReportAges)%2 != 0 {
		return nil, errUnpairedAge
	}
	if len(b.Reports) > maxReports || len(b.Loads) > maxReports || len(b.ReportAges) > 2*maxReports {
		return nil, errTooManyReports
	}
	for _, r := range b.Reports {
		id, err := n.get(r.Instance)
		if err != nil {
			return nil, err
		}
		last[r.Instance] = r.report(fleet.InstanceID(id), last[r.Instance])
	}
	for _, l := range b.Loads {
		r, known := last[l.Instance]
		if !known {
			return nil, errUnknownReport
		}
		last[l.Instance] = l.report(r)
	}
	return reportsWithAges(b.ReportAges, sentAt, last)
}

func reportsWithAges(ages []uint64, sentAt time.Time, last map[uint32]fleet.Report) ([]fleet.Report, error) {
	out := make([]fleet.Report, 0, len(ages)/2)
	for i := 0; i < len(ages); i += 2 {
		if ages[i] > math.MaxUint32 {
			return nil, errUnknownReport
		}
		r, known := last[uint32(ages[i])]
		if !known {
			return nil, errUnknownReport
		}
		r.ReceivedAt = sentAt.Add(-fromAgeUnits(ages[i+1]))
		out = append(out, r)
	}
	if sentAt.IsZero() {
		return nil, nil
	}
	return out, nil
}

func newWireReport(i uint32, r fleet.Report) wireReport {
	w := wireReport{
		Instance: i, Incarnation: r.Incarnation, Ready: r.Ready, Leaving: r.Leaving,
		MaxRunning: r.MaxRunning, Progress: progress(r),
	}
	if a := r.Assignment; a != nil {
		w.Assignment = &wireAssignment{
			Group: a.Group, Epoch: a.Epoch, Rank: a.Rank, Service: a.Service, Model: a.Model,
			Version: a.Version, Adapters: a.Adapters, Role: a.Role, Members: a.Members,
		}
	}
	return w
}

// report returns the report with this state and the load of the last report.
func (w wireReport) report(id fleet.InstanceID, last fleet.Report) fleet.Report {
	r := last
	r.Instance = id
	r.Incarnation = w.Incarnation
	r.Ready = w.Ready
	r.Leaving = w.Leaving
	r.MaxRunning = w.MaxRunning
	r.LoadProgress = float64(w.Progress) / progressUnit
	r.Assignment = nil
	if a := w.Assignment; a != nil {
		r.Assignment = &fleet.Assignment{
			Group: a.Group, Epoch: a.Epoch, Rank: a.Rank, Service: a.Service, Model: a.Model,
			Version: a.Version, Adapters: a.Adapters, Role: a.Role, Members: a.Members,
		}
	}
	return r
}

func newWireLoad(i uint32, r fleet.Report) wireLoad {
	return wireLoad{
		Instance: i, Running: r.Running, Queued: r.Queued, PendingTokens: r.PendingTokens,
		TokensPerSecond: tokenRate(r), Age: toAgeUnits(r.LoadAge),
	}
}

// report returns r with this load.
func (l wireLoad) report(r fleet.Report) fleet.Report {
	r.Running = l.Running
	r.Queued = l.Queued
	r.PendingTokens = l.PendingTokens
	r.TokensPerSecond = float64(l.TokensPerSecond)
	r.LoadAge = fromAgeUnits(l.Age)
	return r
}

// progress returns the load progress in progressUnit, rounded down so that an
// unfinished load never appears complete.
func progress(r fleet.Report) uint32 {
	return uint32(min(max(r.LoadProgress, 0), 1) * progressUnit)
}

// maxRate bounds the tokens per second on the wire.
const maxRate = 1 << 40

func tokenRate(r fleet.Report) uint64 {
	return uint64(math.Round(min(max(r.TokensPerSecond, 0), maxRate)))
}

func sameState(a, b fleet.Report) bool {
	return a.Incarnation == b.Incarnation && a.Ready == b.Ready && a.Leaving == b.Leaving &&
		a.MaxRunning == b.MaxRunning && progress(a) == progress(b) && sameAssignment(a.Assignment, b.Assignment)
}

// sameLoad reports whether the load need not be sent because the backend server
// was and is idle. While it is working, the age of the figures matters, and
// they are sent each time.
func sameLoad(a, b fleet.Report) bool {
	idle := a.Running+a.Queued+b.Running+b.Queued == 0
	return idle && a.PendingTokens == b.PendingTokens && tokenRate(a) == tokenRate(b)
}

func sameAssignment(a, b *fleet.Assignment) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank && a.Service == b.Service &&
		a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members)
}

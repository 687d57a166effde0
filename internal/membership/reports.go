package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// Reports of backend servers cross a link inside heartbeats. What changes
// seldom crosses once, load figures when they changed, and of the rest only
// that it was asked for again, and when.

const (
	// ageUnit is the unit in which ages of reports are sent, rounded up.
	ageUnit = 10 * time.Millisecond
	// maxReports bounds the reports in one heartbeat.
	maxReports = 2048
	// progressUnit is the denominator of a load's progress.
	progressUnit = 1000
)

// Errors of a heartbeat's reports.
var (
	errUnpairedAge   = errors.New("heartbeat has a report without an age")
	errUnknownReport = errors.New("heartbeat renews a report that was not told")
	errManyReports   = errors.New("too many reports in one heartbeat")
)

// wireReport is the part of a report that seldom changes.
type wireReport struct {
	_           struct{} `cbor:",toarray"`
	Instance    uint32   // by number
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
	Instance        uint32   // by number
	Running         uint32
	Queued          uint32
	PendingTokens   uint64
	TokensPerSecond uint64
	Age             uint64 // of the figures when asked for, in ageUnit
}

// ages converts an age to ageUnit, rounded up, never negative.
func ages(age time.Duration) uint64 {
	if age <= 0 {
		return 0
	}
	return uint64((age + ageUnit - 1) / ageUnit)
}

// fromAges is the inverse of ages, bounded by a day.
func fromAges(n uint64) time.Duration {
	const day = uint64(24 * time.Hour / ageUnit)
	return time.Duration(min(n, day)) * ageUnit
}

// packReports writes the reports that the link was not sent into a heartbeat
// that is sent now. told holds what it was sent last of each instance.
func (n *numbering) packReports(b *beatMessage, now time.Time, reports []fleet.Report, told map[fleet.InstanceID]fleet.Report) {
	for _, r := range reports {
		last, known := told[r.Instance]
		if known && last.ReceivedAt.Equal(r.ReceivedAt) {
			continue
		}
		if len(b.Asked) >= 2*maxReports {
			return
		}
		i := n.number(string(r.Instance))
		if !known || !sameState(last, r) {
			b.Reports = append(b.Reports, newWireReport(i, r))
		}
		if !known || !sameLoad(last, r) {
			b.Loads = append(b.Loads, newWireLoad(i, r))
		}
		told[r.Instance] = r
		b.Asked = append(b.Asked, uint64(i), ages(now.Sub(r.ReceivedAt)))
	}
}

// packNew returns the numbers of the names that were not listed in the link's
// last heartbeat. told holds those that were and is brought up to date.
func packNew[T ~string](n *numbering, listed []T, told map[T]bool) []uint32 {
	var fresh []uint32
	now := make(map[T]bool, len(listed))
	for _, id := range listed[:min(len(listed), maxReports)] {
		now[id] = true
		if !told[id] {
			fresh = append(fresh, n.number(string(id)))
		}
	}
	clear(told)
	maps.Copy(told, now)
	return fresh
}

// unpackNew reads them after the heartbeat's names were taken in.
func unpackNew[T ~string](n names, numbers []uint32) ([]T, error) {
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

// unpackReports reads a heartbeat's reports after its names were taken in.
// told holds the link's last report of each number. ReceivedAt of a report is
// sentAt less the age at which it was asked for; without sentAt there is no
// bound for it and none is returned.
func (n names) unpackReports(b *beatMessage, sentAt time.Time, told map[uint32]fleet.Report) ([]fleet.Report, error) {
	if len(b.Asked)%2 != 0 {
		return nil, errUnpairedAge
	}
	if len(b.Reports) > maxReports || len(b.Loads) > maxReports || len(b.Asked) > 2*maxReports {
		return nil, errManyReports
	}
	for _, r := range b.Reports {
		id, err := n.get(r.Instance)
		if err != nil {
			return nil, err
		}
		told[r.Instance] = r.report(fleet.InstanceID(id), told[r.Instance])
	}
	for _, l := range b.Loads {
		r, known := told[l.Instance]
		if !known {
			return nil, errUnknownReport
		}
		told[l.Instance] = l.report(r)
	}
	return askedReports(b.Asked, sentAt, told)
}

func askedReports(asked []uint64, sentAt time.Time, told map[uint32]fleet.Report) ([]fleet.Report, error) {
	out := make([]fleet.Report, 0, len(asked)/2)
	for i := 0; i < len(asked); i += 2 {
		if asked[i] > math.MaxUint32 {
			return nil, errUnknownReport
		}
		r, known := told[uint32(asked[i])]
		if !known {
			return nil, errUnknownReport
		}
		r.ReceivedAt = sentAt.Add(-fromAges(asked[i+1]))
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

// report returns the report with the last one's load.
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
		TokensPerSecond: rate(r), Age: ages(r.LoadAge),
	}
}

// report returns the report with this load.
func (l wireLoad) report(r fleet.Report) fleet.Report {
	r.Running = l.Running
	r.Queued = l.Queued
	r.PendingTokens = l.PendingTokens
	r.TokensPerSecond = float64(l.TokensPerSecond)
	r.LoadAge = fromAges(l.Age)
	return r
}

// progress is never rounded up to the whole.
func progress(r fleet.Report) uint32 {
	return uint32(min(max(r.LoadProgress, 0), 1) * progressUnit)
}

// maxRate bounds the tokens a second that are sent.
const maxRate = 1 << 40

func rate(r fleet.Report) uint64 {
	return uint64(math.Round(min(max(r.TokensPerSecond, 0), maxRate)))
}

func sameState(a, b fleet.Report) bool {
	return a.Incarnation == b.Incarnation && a.Ready == b.Ready && a.Leaving == b.Leaving &&
		a.MaxRunning == b.MaxRunning && progress(a) == progress(b) && sameAssignment(a.Assignment, b.Assignment)
}

// sameLoad reports whether the figures need not be sent: the backend server is
// idle, as it was. While it works, their age matters and is sent each time.
func sameLoad(a, b fleet.Report) bool {
	idle := a.Running+a.Queued+b.Running+b.Queued == 0
	return idle && a.PendingTokens == b.PendingTokens && rate(a) == rate(b)
}

func sameAssignment(a, b *fleet.Assignment) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank && a.Service == b.Service &&
		a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members)
}

package serving

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// longest is the largest time that histograms hold.
	longest = 120 * time.Second
	digits  = 3
)

// Latency is a histogram of times.
type Latency struct{ h *hdrhistogram.Histogram }

func newLatency() *Latency {
	return &Latency{h: hdrhistogram.New(1, longest.Microseconds(), digits)}
}

// record counts one time; those beyond the longest count as the longest.
func (l *Latency) record(d time.Duration) {
	_ = l.h.RecordValue(min(d, longest).Microseconds())
}

// At returns the time that the given percentage keeps.
func (l *Latency) At(percent float64) time.Duration {
	return time.Duration(l.h.ValueAtQuantile(percent)) * time.Microsecond
}

// Count returns how many times were recorded.
func (l *Latency) Count() int64 { return l.h.TotalCount() }

// Merge adds another histogram's times.
func (l *Latency) Merge(other *Latency) { l.h.Merge(other.h) }

// Second is what happened in one second of a run.
type Second struct {
	Offered  int // calls and callers' repeats
	Attempts int // sent to groups
	Retries  int // of these, repeated by daemons
	Answered int // whole and within the deadline
	Failed   int
	// First and FirstLate count first tokens, and those beyond the target,
	// of all sources but the first.
	First, FirstLate int
}

// Stats is what a run measured, without its warm-up and tail but for Seconds.
type Stats struct {
	FirstToken  *Latency                     // from the caller's last asking
	Interval    *Latency                     // between tokens
	ByWorkspace map[fleet.Workspace]*Latency // first token
	TotalOf     map[fleet.Workspace]*Latency // whole answers
	DelayOf     map[fleet.Workspace][]Delay  // first token taken apart
	AnsweredOf  map[fleet.Workspace]int
	RefusedOf   map[fleet.Workspace]int
	Seconds     []Second // of the whole run
	Groups      []int    // answers by group, of the whole run

	Answered, Refused, Late int
	CachedBlocks, Blocks    int

	from  time.Duration // counted from here
	to    time.Duration // and before here
	apart fleet.Workspace
}

func newStats(s Scenario) *Stats {
	seconds := int((s.Warmup+s.Duration+s.Tail)/time.Second) + 1
	st := &Stats{
		FirstToken: newLatency(), Interval: newLatency(), Seconds: make([]Second, seconds), from: s.Warmup, to: s.Warmup + s.Duration, apart: s.Sources[0].Workspace,
		ByWorkspace: map[fleet.Workspace]*Latency{}, TotalOf: map[fleet.Workspace]*Latency{},
		DelayOf: map[fleet.Workspace][]Delay{}, AnsweredOf: map[fleet.Workspace]int{}, RefusedOf: map[fleet.Workspace]int{},
	}
	for _, source := range s.Sources {
		st.ByWorkspace[source.Workspace] = newLatency()
		st.TotalOf[source.Workspace] = newLatency()
	}
	return st
}

// counted reports whether a moment is within what is counted.
func (s *Stats) counted(now time.Duration) bool { return now >= s.from && now < s.to }

func (s *Stats) second(now time.Duration) *Second { return &s.Seconds[int(now/time.Second)] }

func (s *Stats) offered(now time.Duration) { s.second(now).Offered++ }
func (s *Stats) attempt(now time.Duration) { s.second(now).Attempts++ }
func (s *Stats) retry(now time.Duration)   { s.second(now).Retries++ }

func (s *Stats) cached(now time.Duration, cached, blocks int) {
	if s.counted(now) {
		s.CachedBlocks += cached
		s.Blocks += blocks
	}
}

func (s *Stats) firstToken(source *Source, now, sinceAsked time.Duration) {
	if source.Workspace != s.apart {
		s.second(now).First++
		if sinceAsked > TargetFirstToken {
			s.second(now).FirstLate++
		}
	}
	if s.counted(now) {
		s.FirstToken.record(sinceAsked)
		s.ByWorkspace[source.Workspace].record(sinceAsked)
	}
}

func (s *Stats) delay(source *Source, now, total time.Duration, d Delay) {
	if s.counted(now) {
		d.Total = total
		s.DelayOf[source.Workspace] = append(s.DelayOf[source.Workspace], d)
	}
}

func (s *Stats) interval(now, d time.Duration) {
	if s.counted(now) {
		s.Interval.record(d)
	}
}

func (s *Stats) answered(source *Source, now, total time.Duration) {
	s.second(now).Answered++
	if s.counted(now) {
		s.Answered++
		s.AnsweredOf[source.Workspace]++
		s.TotalOf[source.Workspace].record(total)
	}
}

func (s *Stats) failed(source *Source, now time.Duration, refused bool) {
	s.second(now).Failed++
	if !s.counted(now) {
		return
	}
	if refused {
		s.Refused++
		s.RefusedOf[source.Workspace]++
	} else {
		s.Late++
	}
}

// HitShare is the share of prompt blocks that were cached.
func (s *Stats) HitShare() float64 {
	if s.Blocks == 0 {
		return 0
	}
	return float64(s.CachedBlocks) / float64(s.Blocks)
}

// Spread is the standard deviation of answers by group over their mean.
func (s *Stats) Spread() float64 {
	sum, squares := 0.0, 0.0
	for _, n := range s.Groups {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	mean := sum / float64(len(s.Groups))
	if mean == 0 {
		return 0
	}
	return math.Sqrt(max(squares/float64(len(s.Groups))-mean*mean, 0)) / mean
}

// Goodput is the answers a second from one second of the run to another.
func (s *Stats) Goodput(from, to time.Duration) float64 {
	sum := 0
	for _, second := range s.between(from, to) {
		sum += second.Answered
	}
	return float64(sum) / (to - from).Seconds()
}

// AttemptRate is the attempts a second that groups were sent.
func (s *Stats) AttemptRate(from, to time.Duration) float64 {
	sum := 0
	for _, second := range s.between(from, to) {
		sum += second.Attempts
	}
	return float64(sum) / (to - from).Seconds()
}

func (s *Stats) between(from, to time.Duration) []Second {
	return s.Seconds[int(from/time.Second):int(to/time.Second)]
}

// recoveryWindow is how long a measure must hold to have returned.
const recoveryWindow = 5 * time.Second

// Recovery is the time from the fault's end until holds is true of a window,
// and false when that does not come.
func (s *Stats) Recovery(end time.Duration, holds func(from, to time.Duration) bool) (time.Duration, bool) {
	last := time.Duration(len(s.Seconds)-1) * time.Second
	for from := end; from+recoveryWindow <= last; from += time.Second {
		if holds(from, from+recoveryWindow) {
			return from - end, true
		}
	}
	return 0, false
}

// FirstTokensInTime reports whether 95 in 100 of all sources but the first
// had their first token within the target.
func (s *Stats) FirstTokensInTime(from, to time.Duration) bool {
	first, late := 0, 0
	for _, second := range s.between(from, to) {
		first += second.First
		late += second.FirstLate
	}
	return first > 0 && late*20 <= first
}

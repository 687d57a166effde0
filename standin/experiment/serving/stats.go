package serving

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// maxLatency is the upper bound of the histograms.
	maxLatency      = 120 * time.Second
	histogramDigits = 3
)

// Latency is a histogram of durations.
type Latency struct{ h *hdrhistogram.Histogram }

func newLatency() *Latency {
	return &Latency{h: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)}
}

// record records a duration, capped at maxLatency.
func (l *Latency) record(d time.Duration) {
	_ = l.h.RecordValue(min(d, maxLatency).Microseconds())
}

// At returns the given percentile.
func (l *Latency) At(percent float64) time.Duration {
	return time.Duration(l.h.ValueAtQuantile(percent)) * time.Microsecond
}

// Count returns the number of recorded durations.
func (l *Latency) Count() int64 { return l.h.TotalCount() }

// Merge adds the durations of another histogram.
func (l *Latency) Merge(other *Latency) { l.h.Merge(other.h) }

// Second holds the counts of one second of a run.
type Second struct {
	Offered  int // calls, including repeats by callers
	Attempts int // attempts sent to groups
	Retries  int // attempts that are retries by daemons
	Answered int // complete answers within the deadline
	Failed   int
	// FirstTokens counts the first tokens of all sources but the first, and
	// LateFirstTokens those of them that missed the target.
	FirstTokens, LateFirstTokens int
}

// Stats holds the measurements of a run. Only Seconds and Groups include the
// warm-up and the tail.
type Stats struct {
	FirstToken  *Latency                     // since the start of the last repeat
	Interval    *Latency                     // between tokens
	ByWorkspace map[fleet.Workspace]*Latency // time to first token
	TotalOf     map[fleet.Workspace]*Latency // time to the complete answer
	DelayOf     map[fleet.Workspace][]Delay  // breakdowns of the time to first token
	AnsweredOf  map[fleet.Workspace]int
	RefusedOf   map[fleet.Workspace]int
	Seconds     []Second // whole run
	Groups      []int    // answers by group, whole run

	Answered, Refused, Late int
	CachedBlocks, Blocks    int

	from     time.Duration   // start of the measured period
	to       time.Duration   // end of the measured period
	excluded fleet.Workspace // not counted in the first tokens of Seconds
}

func newStats(s Scenario) *Stats {
	seconds := int((s.Warmup+s.Duration+s.Tail)/time.Second) + 1
	st := &Stats{
		FirstToken: newLatency(), Interval: newLatency(), Seconds: make([]Second, seconds), from: s.Warmup, to: s.Warmup + s.Duration, excluded: s.Sources[0].Workspace,
		ByWorkspace: map[fleet.Workspace]*Latency{}, TotalOf: map[fleet.Workspace]*Latency{},
		DelayOf: map[fleet.Workspace][]Delay{}, AnsweredOf: map[fleet.Workspace]int{}, RefusedOf: map[fleet.Workspace]int{},
	}
	for _, source := range s.Sources {
		st.ByWorkspace[source.Workspace] = newLatency()
		st.TotalOf[source.Workspace] = newLatency()
	}
	return st
}

// counted reports whether a time is in the measured period.
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

func (s *Stats) firstToken(source *Source, now, sinceStart time.Duration) {
	if source.Workspace != s.excluded {
		s.second(now).FirstTokens++
		if sinceStart > TargetFirstToken {
			s.second(now).LateFirstTokens++
		}
	}
	if s.counted(now) {
		s.FirstToken.record(sinceStart)
		s.ByWorkspace[source.Workspace].record(sinceStart)
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

// HitShare returns the share of prompt blocks that were cached.
func (s *Stats) HitShare() float64 {
	if s.Blocks == 0 {
		return 0
	}
	return float64(s.CachedBlocks) / float64(s.Blocks)
}

// Spread returns the coefficient of variation of the answers by group.
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

// Goodput returns the answers per second in a period of whole seconds.
func (s *Stats) Goodput(from, to time.Duration) float64 {
	sum := 0
	for _, second := range s.secondsBetween(from, to) {
		sum += second.Answered
	}
	return float64(sum) / (to - from).Seconds()
}

// AttemptRate returns the attempts per second in a period of whole seconds.
func (s *Stats) AttemptRate(from, to time.Duration) float64 {
	sum := 0
	for _, second := range s.secondsBetween(from, to) {
		sum += second.Attempts
	}
	return float64(sum) / (to - from).Seconds()
}

func (s *Stats) secondsBetween(from, to time.Duration) []Second {
	return s.Seconds[int(from/time.Second):int(to/time.Second)]
}

// recoveryWindow is how long a measure must hold to count as recovered.
const recoveryWindow = 5 * time.Second

// Recovery returns the time from the end of the fault to the first window for
// which holds returns true, or false if there is none.
func (s *Stats) Recovery(end time.Duration, holds func(from, to time.Duration) bool) (time.Duration, bool) {
	last := time.Duration(len(s.Seconds)-1) * time.Second
	for from := end; from+recoveryWindow <= last; from += time.Second {
		if holds(from, from+recoveryWindow) {
			return from - end, true
		}
	}
	return 0, false
}

// FirstTokensInTime reports whether 95% of the first tokens of all sources but the
// first met the target.
func (s *Stats) FirstTokensInTime(from, to time.Duration) bool {
	first, late := 0, 0
	for _, second := range s.secondsBetween(from, to) {
		first += second.FirstTokens
		late += second.LateFirstTokens
	}
	return first > 0 && late*20 <= first
}

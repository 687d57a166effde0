package placement

import "time"

// Choice is how the planner picks among the ways to treat a broken group.
type Choice string

// Choices.
const (
	// ChooseByCost takes the way of the least expected cost. The default.
	ChooseByCost Choice = ""
	// ChooseWait always waits for lost members to return.
	ChooseWait Choice = "wait"
	// ChooseRebuild always rebuilds at once.
	ChooseRebuild Choice = "rebuild"
)

// ReturnClass is one way in which lost instances come back.
type ReturnClass struct {
	// Share is the probability that a loss is of this class.
	Share float64
	// Mean is the mean time to the return; times are exponential.
	Mean time.Duration
	// Reload is set when the instance returns without its weights.
	Reload bool
}

// Policy holds the planner's settings. Zero fields take the defaults that
// their comments state.
type Policy struct {
	// Choice among the ways to treat a broken group, by cost by default.
	Choice Choice
	// Weights are for services that state none: downtime 1, stranded 0.02.
	Weights Weights
	// Freshness is the age up to which a report counts, 2 s.
	Freshness time.Duration
	// Hysteresis is how many times cheaper a move must be than a repair, and
	// a replacement of a slow group than bearing it, 1.2.
	Hysteresis float64
	// Returns is the prior of how lost instances come back: half after 4 s
	// with their weights, 35% after a minute and 15% after half an hour
	// without. Observed returns adjust the shares.
	Returns []ReturnClass
	// DomainReturn is the mean time to the return of a dark fabric domain,
	// 10 min.
	DomainReturn time.Duration
	// Replacement is the mean time until the platform replaces an instance
	// that it has taken off its list, 10 min.
	Replacement time.Duration
	// DarkShare is the share of a domain's instances that are lost when the
	// domain counts as dark, 0.8.
	DarkShare float64
	// MaxLoads is how many groups may load from the weight store at once, 4.
	MaxLoads int
	// StoreRate is how many groups may begin to load in one second, 1.
	StoreRate float64
	// FlapCount losses within FlapWindow make an instance flapping: it is
	// given no new place until the window has passed. 3 within 30 min.
	FlapCount  int
	FlapWindow time.Duration
	// StragglerShare of the median rate of its group makes a member slow,
	// 0.5; StragglerAfter is how long it must be slow, 30 s; StragglerStay is
	// how long it is expected to stay slow, 30 min.
	StragglerShare float64
	StragglerAfter time.Duration
	StragglerStay  time.Duration
	// DrainBound ends the wait for requests in flight, 120 s; DrainSettle is
	// how long a drained group is kept at least, so that every daemon knows
	// of it, 3 s.
	DrainBound  time.Duration
	DrainSettle time.Duration
	// BrokenSettle is how long a broken group with requests in flight is left
	// alone, because others may still reach all of its members, 5 s.
	BrokenSettle time.Duration
	// UnseenSettle is how long a group is left alone that has members of which
	// nothing is known, because the list may not show them yet; zero for not
	// at all.
	UnseenSettle time.Duration
	// NearOnly has groups formed and repaired only from instances that have the
	// model at hand, unless the snapshot says that loads take no time. The
	// others load it outside groups: a group that waits for a load would keep
	// its other members from serving elsewhere.
	NearOnly bool
	// MaxUnavailable is the share of a service's groups that a rollout may
	// take out at once, 0.1, at least one group.
	MaxUnavailable float64
	// LoadFailures of a version in a row stop its rollout, 2.
	LoadFailures int
	// StuckLoads is how many load times a group may go without progress
	// before its load has failed, 2.
	StuckLoads float64
	// MaxBackoff bounds the wait between tries to load outside a rollout,
	// 10 min.
	MaxBackoff time.Duration
	// Spread forms groups in the fabric domains with the most free instances,
	// so that each domain keeps some to repair with. By default the fullest
	// domain is filled first, and large rooms are kept.
	Spread bool
	// LogOutage is the expected length of an outage of the log, 5 min.
	LogOutage time.Duration
}

// WithDefaults returns the policy with its zero fields set.
func (p Policy) WithDefaults() Policy {
	if p.Weights == (Weights{}) {
		p.Weights = Weights{Downtime: 1, Stranded: 0.02}
	}
	if len(p.Returns) == 0 {
		p.Returns = []ReturnClass{
			{Share: 0.5, Mean: 4 * time.Second},
			{Share: 0.35, Mean: time.Minute, Reload: true},
			{Share: 0.15, Mean: 30 * time.Minute, Reload: true},
		}
	}
	orElse(&p.Freshness, 2*time.Second)
	orElse(&p.Hysteresis, 1.2)
	orElse(&p.DomainReturn, 10*time.Minute)
	orElse(&p.Replacement, 10*time.Minute)
	orElse(&p.DarkShare, 0.8)
	orElse(&p.MaxLoads, 4)
	orElse(&p.StoreRate, 1)
	orElse(&p.FlapCount, 3)
	orElse(&p.FlapWindow, 30*time.Minute)
	orElse(&p.StragglerShare, 0.5)
	orElse(&p.StragglerAfter, 30*time.Second)
	orElse(&p.StragglerStay, 30*time.Minute)
	orElse(&p.DrainBound, 120*time.Second)
	orElse(&p.DrainSettle, 3*time.Second)
	orElse(&p.BrokenSettle, 5*time.Second)
	orElse(&p.MaxUnavailable, 0.1)
	orElse(&p.LoadFailures, 2)
	orElse(&p.StuckLoads, 2)
	orElse(&p.MaxBackoff, 10*time.Minute)
	orElse(&p.LogOutage, 5*time.Minute)
	return p
}

func orElse[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

package placement

import "time"

// Choice selects how the planner handles a broken group.
type Choice string

// Choices.
const (
	// ChooseByCost picks the option with the lowest expected cost. It is the
	// default.
	ChooseByCost Choice = ""
	// ChooseWait always waits for lost members to return.
	ChooseWait Choice = "wait"
	// ChooseRebuild always rebuilds immediately.
	ChooseRebuild Choice = "rebuild"
)

// ReturnClass describes one way in which lost instances return.
type ReturnClass struct {
	// Share is the probability that a loss is of this class.
	Share float64
	// Mean is the mean time until the return. Return times are modeled as
	// exponentially distributed.
	Mean time.Duration
	// Reload is set if the instance returns without its weights.
	Reload bool
}

// Policy holds the planner's settings. A zero field takes the default stated in
// its comment.
type Policy struct {
	// Choice selects how broken groups are handled, by cost by default.
	Choice Choice
	// Weights apply to services that set none: downtime 1, stranded 0.02.
	Weights Weights
	// Freshness is the maximum age of a usable report, 2 s.
	Freshness time.Duration
	// Hysteresis is the factor by which moving a group must be cheaper than
	// repairing it, and replacing a slow group cheaper than keeping it, 1.2.
	Hysteresis float64
	// Returns is the prior for how lost instances return: 50% after 4 s with
	// their weights, 35% after a minute and 15% after half an hour, both without
	// weights. Observed returns adjust the shares.
	Returns []ReturnClass
	// DomainReturn is the mean time until a failed fabric domain returns, 10 min.
	DomainReturn time.Duration
	// Replacement is the mean time until the platform replaces an instance that
	// it has removed from its list, 10 min.
	Replacement time.Duration
	// DomainFailureShare is the share of a fabric domain's instances whose loss
	// marks the domain as failed, 0.8.
	DomainFailureShare float64
	// MaxLoads is the number of groups that may load from the weight store at
	// the same time, 4.
	MaxLoads int
	// StoreRate is the number of group loads that may start per second, 1.
	StoreRate float64
	// An instance that is lost FlapCount times within FlapWindow is flapping and
	// is assigned no new place until the window has passed. 3 within 30 min.
	FlapCount  int
	FlapWindow time.Duration
	// A member is a straggler if its rate is below StragglerShare of the median
	// rate of its group, 0.5, for at least StragglerAfter, 30 s. StragglerStay is
	// the time that it is expected to stay slow, 30 min.
	StragglerShare float64
	StragglerAfter time.Duration
	StragglerStay  time.Duration
	// DrainBound limits the wait for requests in flight on a drained group,
	// 120 s. DrainSettle is the minimum time that a drained group is kept, so
	// that every daemon learns that it drains, 3 s.
	DrainBound  time.Duration
	DrainSettle time.Duration
	// BrokenSettle is the time that a broken group with requests in flight is
	// left unchanged, because its lost members may only be silent, or reachable by
	// other daemons, 5 s. It is not waited for a member that has ended.
	BrokenSettle time.Duration
	// UnknownMemberSettle is the time that a group with unknown members is left
	// unchanged, because the list may not show them yet. Zero disables the wait.
	UnknownMemberSettle time.Duration
	// LocalModelsOnly restricts forming and repairing groups to instances that
	// can load the model without the weight store, except while
	// Snapshot.FastLoads is set. Other instances load the model outside groups:
	// a group that waits for a load would keep its other members from serving
	// elsewhere.
	LocalModelsOnly bool
	// MaxUnavailable is the share of a service's groups that a rollout may take
	// out of service at the same time, 0.1, and at least one group.
	MaxUnavailable float64
	// LoadFailures is the number of consecutive failed loads of a version that
	// halts its rollout, 2.
	LoadFailures int
	// StuckLoads is the number of load times without progress after which a load
	// counts as failed, 2.
	StuckLoads float64
	// MaxBackoff limits the delay between load attempts outside a rollout,
	// 10 min.
	MaxBackoff time.Duration
	// Spread forms groups in the fabric domains with the most free instances, so
	// that each domain keeps some for repairs. By default the domain with the
	// fewest sufficient free instances is used first, which keeps large free
	// blocks for later groups.
	Spread bool
	// LogOutage is the expected length of a log outage, 5 min.
	LogOutage time.Duration
}

// WithDefaults returns the policy with its zero fields set to their defaults.
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
	orElse(&p.DomainFailureShare, 0.8)
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

package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/event"
)

// TenureConfig sets up a Tenure.
type TenureConfig struct {
	Scope Scope
	Log   ClaimLog
	// Member names this process among all that ever claim the scope.
	Member string
	// TTL is how long a hold outlasts the sending of its last renewal, Every
	// the time between two renewals. Every must be well below TTL, which is the
	// same at all daemons.
	TTL, Every time.Duration
	// Former reports whether a member is a process that this one follows on its
	// instance, whose hold is over; nil for never.
	Former func(member string) bool
	// Stands reports whether this daemon should claim the scope while nobody
	// holds it; nil for always.
	Stands func() bool
	// Vouched reports whether all daemons that could claim the scope have told
	// just now that the log is away for them too. A hold whose renewals get no
	// answer then goes on, for at most MaxVouched; nil for never.
	Vouched    func() bool
	MaxVouched time.Duration
	// Tell has the others hear at once what Renewed and Away say, before each
	// renewal and after one that got no answer; nil for nobody.
	Tell func()
	// Elapsed is a clock that also runs while the machine is suspended.
	Elapsed func() time.Duration
	Events  *event.Logger
}

// Tenure keeps this daemon's hold on one scope, which is agreed in a claim log.
// A hold runs from when its last renewal was sent; another daemon claims the
// scope only once the log has not grown for the time to live since it knew of
// the log's end. Both go by clocks that a suspended machine does not stop. It
// implements Holder and is safe for concurrent use.
type Tenure struct {
	cfg TenureConfig

	mu sync.Mutex
	// term is that of the own hold, zero without one, until when it ends, and
	// serial that of its last write.
	term   Term
	until  time.Duration
	serial uint64
	// end is the log's end as far as it is known, and seenAt when the last
	// record was surely written. vacant is set when that gives the scope back
	// or there is none.
	known  bool
	end    uint64
	seenAt time.Duration
	vacant bool
	// heard is what the last other holder has told lately, oldest first.
	heard []heardRenewal
	// away is set while the log does not answer.
	away bool
	// unanswered is when the first record was sent of which nothing is known
	// yet, zero for none.
	unanswered time.Duration
	// steppedAt is when Run last looked at all this, and calledAt when it last
	// called the log.
	steppedAt, calledAt time.Duration
	// given is set once the scope was given back for good.
	given bool
	// retry wakes Run.
	retry chan struct{}
}

var _ Holder = (*Tenure)(nil)

const (
	// holdMargin ends a hold a little before others may claim the scope.
	holdMargin = 100 * time.Millisecond
	// vouchedFor is how long a vouched hold counts without asking again.
	vouchedFor = 200 * time.Millisecond
	// stepsPerRenewal is how often Run looks whether a call is due, so that a
	// scope is claimed soon after its holder's time is over.
	stepsPerRenewal = 4
	// missedSteps is how many renewals' time without a step of Run shows that
	// the process stood still, and what peers told before says nothing.
	missedSteps = 2
)

// NewTenure returns a tenure that holds nothing until Run.
func NewTenure(cfg TenureConfig) *Tenure { return &Tenure{cfg: cfg, retry: make(chan struct{}, 1)} }

// Held implements Holder.
func (t *Tenure) Held(scope Scope) (Hold, bool) {
	t.mu.Lock()
	term, until := t.term, t.until
	now := t.cfg.Elapsed()
	vouchable := t.away && now < until+t.cfg.MaxVouched && now-t.steppedAt < missedSteps*t.cfg.Every
	t.mu.Unlock()
	if scope != t.cfg.Scope || term == 0 {
		return Hold{}, false
	}
	left := until - now
	if left <= 0 && vouchable && t.cfg.Vouched != nil && t.cfg.Vouched() {
		left = vouchedFor
	}
	if left <= 0 {
		return Hold{}, false
	}
	return Hold{Scope: scope, Term: term, ValidUntil: time.Now().Add(left)}, true
}

// Away reports whether the log did not answer this daemon's last call.
func (t *Tenure) Away() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.away
}

// Renewal is what a holder tells the others of its hold.
type Renewal struct {
	Term Term `cbor:"1,keyasint"`
	// Serial is that of the holder's last renewal, which may still be under way.
	Serial uint64 `cbor:"2,keyasint"`
}

// heardRenewal is a renewal with when it was heard of first.
type heardRenewal struct {
	Renewal
	at time.Duration
}

// keptRenewals is how many renewals are remembered: those of twice the time
// after which a holder that can't renew gives up.
const keptRenewals = 8

// Renewed returns what others may know of the own hold, nothing without one.
func (t *Tenure) Renewed() Renewal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term == 0 || t.until <= t.cfg.Elapsed() {
		return Renewal{}
	}
	return Renewal{Term: t.term, Serial: t.serial}
}

// Heard takes in what another daemon tells that holds the scope: its hold began
// before this moment.
func (t *Tenure) Heard(r Renewal) {
	if r.Term == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.heard); n > 0 {
		last := t.heard[n-1]
		if r.Term < last.Term || r.Term == last.Term && r.Serial <= last.Serial {
			return
		}
		if r.Term > last.Term {
			t.heard = nil
		}
	}
	if r.Term > t.term {
		t.lose()
	}
	t.heard = append(t.heard, heardRenewal{r, t.cfg.Elapsed()})
	t.heard = t.heard[max(len(t.heard)-keptRenewals, 0):]
}

// heardAt returns when this daemon heard of a renewal, or of a later one of the
// hold. Called with mu held.
func (t *Tenure) heardAt(c *ClaimEntry) (at time.Duration, ok bool) {
	for _, h := range t.heard {
		if c != nil && h.Term == c.Term && h.Serial >= c.Serial {
			return h.at, true
		}
	}
	return 0, false
}

// lose ends the own hold, if there is one, as another daemon has claimed the
// scope. Called with mu held.
func (t *Tenure) lose() {
	if t.term != 0 {
		t.cfg.Events.Emit(eventShareLost, "scope", t.cfg.Scope, "term", t.term)
	}
	t.term, t.until, t.unanswered = 0, 0, 0
}

// see notes the log's end. Called with mu held.
func (t *Tenure) see(end uint64, vacant bool) {
	if !t.known || end != t.end {
		t.seenAt = t.cfg.Elapsed()
	}
	t.known, t.end, t.vacant = true, end, vacant
}

// Run claims and renews until ctx ends.
func (t *Tenure) Run(ctx context.Context) {
	tick := time.NewTicker(t.cfg.Every / stepsPerRenewal)
	defer tick.Stop()
	for {
		if t.gaveBack() {
			return
		}
		t.step(ctx)
		select {
		case <-tick.C:
		case <-t.retry:
			t.mu.Lock()
			t.calledAt = 0
			t.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// Retry has a holder renew at once, since the log is back.
func (t *Tenure) Retry() {
	select {
	case t.retry <- struct{}{}:
	default:
	}
}

// step makes the one call that is due now, if any, and what follows from its
// answer.
func (t *Tenure) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Every)
	defer cancel()
	t.mu.Lock()
	now := t.cfg.Elapsed()
	t.steppedAt = now
	due := t.calledAt == 0 || now-t.calledAt >= t.cfg.Every
	holding := t.term != 0
	ends := t.seenAt + t.cfg.TTL // the last record's time
	due = due || !holding && t.known && now >= ends && t.calledAt < ends
	t.mu.Unlock()
	switch {
	case !due:
	case holding:
		t.write(ctx)
	case t.cfg.Stands != nil && !t.cfg.Stands():
	case t.look(ctx) && t.claimable():
		t.write(ctx)
	}
}

// claimable reports whether the last holder's time is over.
func (t *Tenure) claimable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known && (t.vacant || t.cfg.Elapsed()-t.seenAt >= t.cfg.TTL)
}

// write renews the own hold, or claims the scope, where the log ends.
func (t *Tenure) write(ctx context.Context) {
	_, held := t.Held(t.cfg.Scope)
	t.mu.Lock()
	at, sentAt := t.end, t.cfg.Elapsed()
	t.calledAt = sentAt
	term := t.term
	if !held {
		term = Term(at + 1) // a hold that had ended begins anew
	}
	t.serial++
	claim := ClaimEntry{Member: t.cfg.Member, Term: term, Serial: t.serial, TTL: t.cfg.TTL}
	t.mu.Unlock()
	if held {
		t.tell()
	}
	err := t.cfg.Log.Write(ctx, at, claim)
	switch {
	case err == nil:
		t.written(at, term, sentAt)
	case errors.Is(err, ErrMoved):
		t.look(ctx)
	default:
		t.failed(err, sentAt)
	}
}

func (t *Tenure) written(at uint64, term Term, sentAt time.Duration) {
	t.mu.Lock()
	if t.given {
		t.mu.Unlock()
		return // a renewal that was under way
	}
	taken := t.term != term
	t.term, t.until = term, sentAt+t.cfg.TTL-holdMargin
	t.away, t.unanswered = false, 0
	t.see(at+1, false)
	t.mu.Unlock()
	if taken {
		t.cfg.Events.Emit(eventShareTaken, "scope", t.cfg.Scope, "term", term)
		t.tell()
	}
}

// look reads how the log ends, and reports whether it could. A holder looks
// when the log does not end where it has written: another daemon has claimed
// the scope, or a record of its own is there that it got no answer to.
func (t *Tenure) look(ctx context.Context) bool {
	t.mu.Lock()
	t.calledAt = t.cfg.Elapsed()
	t.mu.Unlock()
	tail, err := t.cfg.Log.Tail(ctx)
	if err != nil {
		t.failed(err, 0)
		return false
	}
	if tail.Unreadable != nil {
		t.cfg.Events.Emit(eventShareFailed, "scope", t.cfg.Scope, "error", tail.Unreadable)
	}
	t.mu.Lock()
	t.away = false
	own := tail.Last != nil && tail.Last.Member == t.cfg.Member
	if own && t.term != 0 && t.unanswered != 0 && tail.End == t.end+1 {
		t.until = max(t.until, t.unanswered+t.cfg.TTL-holdMargin)
		t.unanswered, t.calledAt = 0, 0 // renewed at the next step
	} else {
		t.lose()
	}
	// A claim of its own of which this daemon learns only now binds nobody, as
	// one of the process that ran here before.
	own = own && t.term == 0 || tail.Last != nil && t.cfg.Former != nil && t.cfg.Former(tail.Last.Member)
	t.see(tail.End, tail.vacant() || own)
	if at, ok := t.heardAt(tail.Last); ok {
		t.seenAt = min(t.seenAt, at)
	}
	t.mu.Unlock()
	return true
}

// failed notes a call that got no answer. sentAt is when a record was sent,
// zero for a read.
func (t *Tenure) failed(err error, sentAt time.Duration) {
	t.mu.Lock()
	t.away = true
	if t.unanswered == 0 {
		t.unanswered = sentAt
	}
	holding := t.term != 0
	t.mu.Unlock()
	if holding {
		t.cfg.Events.Emit(eventShareFailed, "scope", t.cfg.Scope, "error", err)
		t.tell()
	}
}

func (t *Tenure) tell() {
	if t.cfg.Tell != nil {
		t.cfg.Tell()
	}
}

func (t *Tenure) gaveBack() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.given
}

// GiveBack ends the hold at once and for good: a daemon that stops claims the
// scope no more. A record tells the others that they need not wait; without a
// hold nothing is written.
func (t *Tenure) GiveBack(ctx context.Context) error {
	t.mu.Lock()
	holding, end, term := t.term != 0, t.end, t.term
	t.given, t.term, t.until = true, 0, 0
	t.mu.Unlock()
	if !holding {
		return nil
	}
	return t.cfg.Log.Write(ctx, end, ClaimEntry{Term: term, TTL: t.cfg.TTL})
}

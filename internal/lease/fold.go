package lease

import (
	"sort"
	"sync"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/journal"
)

// Kinds of lease records in the control stream.
const (
	KindClaim   journal.Kind = "lease.claim"
	KindRenew   journal.Kind = "lease.renew"
	KindRelease journal.Kind = "lease.release"
)

// Claim is the body of a KindClaim record, by which its author claims scopes.
// Each item is accepted or rejected independently.
type Claim struct {
	Items []ClaimItem `cbor:"1,keyasint"`
}

// ClaimItem claims one scope.
type ClaimItem struct {
	Scope Scope `cbor:"1,keyasint"`
	Term  Term  `cbor:"2,keyasint"` // the current term plus one
	// Seen is the Renewals counter of the current term that the claimant last
	// read. The claim is rejected if the holder has renewed since then.
	Seen uint64 `cbor:"3,keyasint"`
}

// Renew is the body of a KindRenew record, by which the holder renews scopes.
type Renew struct {
	Items []RenewItem `cbor:"1,keyasint"`
}

// RenewItem renews one scope.
type RenewItem struct {
	Scope Scope `cbor:"1,keyasint"`
	Term  Term  `cbor:"2,keyasint"`
	// Renewal increases with each renewal of the term. It lets the holder
	// determine from the log which of its renewals were accepted.
	Renewal uint64 `cbor:"3,keyasint"`
}

// Release is the body of a KindRelease record, by which the holder releases
// scopes.
type Release struct {
	Items []ReleaseItem `cbor:"1,keyasint"`
}

// ReleaseItem releases one scope.
type ReleaseItem struct {
	Scope Scope `cbor:"1,keyasint"`
	Term  Term  `cbor:"2,keyasint"`
}

// Refusal describes why one item of a record was rejected.
type Refusal struct {
	Scope  Scope
	Reason string
	Lease  Lease // state of the lease when the item was rejected
}

// Refusals is the Detail of the verdict on a lease record. It is empty if
// every item was accepted.
type Refusals []Refusal

// Fold folds the lease records of one control stream. It is safe for
// concurrent use.
type Fold struct {
	mu      sync.RWMutex
	leases  map[Scope]Lease
	changed chan struct{}
}

var (
	_ journal.Fold = (*Fold)(nil)
	_ Terms        = (*Fold)(nil)
)

// NewFold returns a fold without leases.
func NewFold() *Fold {
	return &Fold{leases: map[Scope]Lease{}, changed: make(chan struct{})}
}

// Current implements Terms.
func (f *Fold) Current(scope Scope) (Lease, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	l, ok := f.leases[scope]
	return l, ok
}

// All returns all leases, sorted by scope.
func (f *Fold) All() []Lease {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.sorted()
}

func (f *Fold) sorted() []Lease {
	all := make([]Lease, 0, len(f.leases))
	for _, l := range f.leases {
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Scope < all[j].Scope })
	return all
}

// Changed returns a channel that is closed when a lease next changes.
func (f *Fold) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

func (f *Fold) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Kinds implements journal.Fold.
func (f *Fold) Kinds() []journal.Kind { return []journal.Kind{KindClaim, KindRenew, KindRelease} }

// Apply implements journal.Fold. A record whose body cannot be decoded is
// rejected. A change of a body's format therefore needs a new record kind.
func (f *Fold) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.Kind {
	case KindClaim:
		return applyItems(f, r, func(c Claim) []ClaimItem { return c.Items }, f.claim)
	case KindRenew:
		return applyItems(f, r, func(c Renew) []RenewItem { return c.Items }, f.renew)
	case KindRelease:
		return applyItems(f, r, func(c Release) []ReleaseItem { return c.Items }, f.release)
	default:
		return journal.Verdict{}, errors.Errorf("kind %q is not of leases", r.Kind)
	}
}

// applyItems applies rule to each item of a record. The record is accepted if
// at least one item is.
func applyItems[B, I any](f *Fold, r journal.Record, items func(B) []I, rule func(I, fleet.DaemonID) *Refusal) (journal.Verdict, error) {
	var body B
	if err := journal.Decode(r.Body, &body); err != nil {
		return journal.Reject("malformed body"), nil
	}
	var refusals Refusals
	list := items(body)
	for _, item := range list {
		if refusal := rule(item, r.Author); refusal != nil {
			refusals = append(refusals, *refusal)
		}
	}
	if len(refusals) < len(list) {
		f.notify()
		return journal.Verdict{Accepted: true, Detail: refusals}, nil
	}
	v := journal.Reject("no item accepted")
	if len(refusals) > 0 {
		v.Reason = refusals[0].Reason
	}
	v.Detail = refusals
	return v, nil
}

func (f *Fold) claim(item ClaimItem, author fleet.DaemonID) *Refusal {
	cur := f.leases[item.Scope]
	switch {
	case item.Scope == "":
		return refuse(item.Scope, cur, "empty scope")
	case item.Term != cur.Term+1:
		return refuse(item.Scope, cur, "not the next term of the scope")
	case cur.Term > 0 && !cur.Released && item.Seen != cur.Renewals:
		return refuse(item.Scope, cur, "renewed since the claimant's last read")
	}
	f.put(Lease{Scope: item.Scope, Term: item.Term, Holder: author})
	return nil
}

func (f *Fold) renew(item RenewItem, author fleet.DaemonID) *Refusal {
	cur := f.leases[item.Scope]
	switch {
	case !cur.heldBy(author, item.Term):
		return refuse(item.Scope, cur, "not the holder of the term")
	case item.Renewal <= cur.Renewals:
		return refuse(item.Scope, cur, "superseded by a later renewal")
	}
	cur.Renewals = item.Renewal
	f.put(cur)
	return nil
}

func (f *Fold) release(item ReleaseItem, author fleet.DaemonID) *Refusal {
	cur := f.leases[item.Scope]
	if !cur.heldBy(author, item.Term) {
		return refuse(item.Scope, cur, "not the holder of the term")
	}
	cur.Released = true
	f.put(cur)
	return nil
}

func (f *Fold) put(l Lease) {
	old := f.leases[l.Scope]
	invariant.Check(l.Term >= old.Term, "lease.term-grows", "scope %s from term %d to %d", l.Scope, old.Term, l.Term)
	invariant.Check(l.Term > old.Term || l.Holder == old.Holder, "lease.one-holder", "scope %s term %d has holders %s and %s", l.Scope, l.Term, old.Holder, l.Holder)
	f.leases[l.Scope] = l
}

func refuse(scope Scope, cur Lease, reason string) *Refusal {
	return &Refusal{Scope: scope, Reason: reason, Lease: cur}
}

// heldBy reports whether the daemon holds the lease in the given term.
func (l Lease) heldBy(id fleet.DaemonID, term Term) bool {
	return l.Term > 0 && l.Term == term && l.Holder == id && !l.Released
}

// foldState is the snapshot encoding of a Fold.
type foldState struct {
	Leases []leaseState `cbor:"1,keyasint"` // sorted by scope
}

type leaseState struct {
	Scope    Scope          `cbor:"1,keyasint"`
	Term     Term           `cbor:"2,keyasint"`
	Holder   fleet.DaemonID `cbor:"3,keyasint"`
	Renewals uint64         `cbor:"4,keyasint"`
	Released bool           `cbor:"5,keyasint"`
}

// Snapshot implements journal.Fold.
func (f *Fold) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var s foldState
	for _, l := range f.sorted() {
		s.Leases = append(s.Leases, leaseState(l))
	}
	return journal.Encode(s)
}

// Restore implements journal.Fold.
func (f *Fold) Restore(data []byte) error {
	var s foldState
	if err := journal.Decode(data, &s); err != nil {
		return errors.Wrap(err, "leases")
	}
	leases := make(map[Scope]Lease, len(s.Leases))
	for _, l := range s.Leases {
		leases[l.Scope] = Lease(l)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases = leases
	f.notify()
	return nil
}

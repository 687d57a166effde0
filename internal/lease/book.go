package lease

import (
	"sort"
	"sync"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/journal"
)

// Record kinds of the control stream that leases know.
const (
	KindClaim   journal.Kind = "lease.claim"
	KindRenew   journal.Kind = "lease.renew"
	KindRelease journal.Kind = "lease.release"
)

// Claim is the body of a KindClaim record: its author wants to hold scopes.
// Each item is decided by itself.
type Claim struct {
	Items []ClaimItem `cbor:"1,keyasint"`
}

// ClaimItem claims one scope.
type ClaimItem struct {
	Scope Scope `cbor:"1,keyasint"`
	Term  Term  `cbor:"2,keyasint"` // one more than the present one
	// Seen is the Renewals of the present term that the claimant saw last. A
	// renewal that the claimant has not seen defeats the claim.
	Seen uint64 `cbor:"3,keyasint"`
}

// Renew is the body of a KindRenew record: its author still holds scopes.
type Renew struct {
	Items []RenewItem `cbor:"1,keyasint"`
}

// RenewItem renews one scope.
type RenewItem struct {
	Scope Scope `cbor:"1,keyasint"`
	Term  Term  `cbor:"2,keyasint"`
	// Renewal grows with each renewal of the term, so that the holder knows
	// from the log which of its renewals count.
	Renewal uint64 `cbor:"3,keyasint"`
}

// Release is the body of a KindRelease record: its author gives scopes up.
type Release struct {
	Items []ReleaseItem `cbor:"1,keyasint"`
}

// ReleaseItem gives up one scope.
type ReleaseItem struct {
	Scope Scope `cbor:"1,keyasint"`
	Term  Term  `cbor:"2,keyasint"`
}

// Refusal says why one item of a record did not count.
type Refusal struct {
	Scope  Scope
	Reason string
	Lease  Lease // as it stood
}

// Refusals is the Detail of the verdict on a lease record; empty when every
// item counted.
type Refusals []Refusal

// Book is the fold of all leases of one control stream.
type Book struct {
	mu      sync.RWMutex
	leases  map[Scope]Lease
	changed chan struct{}
}

var (
	_ journal.Fold = (*Book)(nil)
	_ Terms        = (*Book)(nil)
)

// NewBook returns a book without leases.
func NewBook() *Book {
	return &Book{leases: map[Scope]Lease{}, changed: make(chan struct{})}
}

// Current implements Terms.
func (b *Book) Current(scope Scope) (Lease, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	l, ok := b.leases[scope]
	return l, ok
}

// All returns all leases in the order of their scopes.
func (b *Book) All() []Lease {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.sorted()
}

func (b *Book) sorted() []Lease {
	all := make([]Lease, 0, len(b.leases))
	for _, l := range b.leases {
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Scope < all[j].Scope })
	return all
}

// Changed returns a channel that is closed at the next change of a lease.
func (b *Book) Changed() <-chan struct{} {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.changed
}

func (b *Book) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Kinds implements journal.Fold.
func (b *Book) Kinds() []journal.Kind { return []journal.Kind{KindClaim, KindRenew, KindRelease} }

// Apply implements journal.Fold. A body that can't be decoded does not count;
// a body of a new shape gets a new kind.
func (b *Book) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch r.Kind {
	case KindClaim:
		return applyItems(b, r, func(c Claim) []ClaimItem { return c.Items }, b.claim)
	case KindRenew:
		return applyItems(b, r, func(c Renew) []RenewItem { return c.Items }, b.renew)
	case KindRelease:
		return applyItems(b, r, func(c Release) []ReleaseItem { return c.Items }, b.release)
	default:
		return journal.Verdict{}, errors.Errorf("kind %q is not of leases", r.Kind)
	}
}

// applyItems decides each item of a record. The record counts if any item
// does.
func applyItems[B, I any](b *Book, r journal.Record, items func(B) []I, rule func(I, fleet.DaemonID) *Refusal) (journal.Verdict, error) {
	var body B
	if err := journal.Decode(r.Body, &body); err != nil {
		return journal.Reject("malformed body"), nil
	}
	var refusals Refusals
	list := items(body)
	for _, item := range list {
		if no := rule(item, r.Author); no != nil {
			refusals = append(refusals, *no)
		}
	}
	if len(refusals) < len(list) {
		b.notify()
		return journal.Verdict{Accepted: true, Detail: refusals}, nil
	}
	v := journal.Reject("no item counts")
	if len(refusals) > 0 {
		v.Reason = refusals[0].Reason
	}
	v.Detail = refusals
	return v, nil
}

func (b *Book) claim(item ClaimItem, author fleet.DaemonID) *Refusal {
	cur := b.leases[item.Scope]
	switch {
	case item.Scope == "":
		return refuse(item.Scope, cur, "no scope")
	case item.Term != cur.Term+1:
		return refuse(item.Scope, cur, "the term is taken")
	case cur.Term > 0 && !cur.Released && item.Seen != cur.Renewals:
		return refuse(item.Scope, cur, "renewed since the claimant looked")
	}
	b.put(Lease{Scope: item.Scope, Term: item.Term, Holder: author})
	return nil
}

func (b *Book) renew(item RenewItem, author fleet.DaemonID) *Refusal {
	cur := b.leases[item.Scope]
	switch {
	case !cur.heldBy(author, item.Term):
		return refuse(item.Scope, cur, "not the holder of the term")
	case item.Renewal <= cur.Renewals:
		return refuse(item.Scope, cur, "an older renewal")
	}
	cur.Renewals = item.Renewal
	b.put(cur)
	return nil
}

func (b *Book) release(item ReleaseItem, author fleet.DaemonID) *Refusal {
	cur := b.leases[item.Scope]
	if !cur.heldBy(author, item.Term) {
		return refuse(item.Scope, cur, "not the holder of the term")
	}
	cur.Released = true
	b.put(cur)
	return nil
}

func (b *Book) put(l Lease) {
	old := b.leases[l.Scope]
	invariant.Check(l.Term >= old.Term, "lease.term-grows", "scope %s from term %d to %d", l.Scope, old.Term, l.Term)
	invariant.Check(l.Term > old.Term || l.Holder == old.Holder, "lease.one-holder", "scope %s term %d has holders %s and %s", l.Scope, l.Term, old.Holder, l.Holder)
	b.leases[l.Scope] = l
}

func refuse(scope Scope, cur Lease, reason string) *Refusal {
	return &Refusal{Scope: scope, Reason: reason, Lease: cur}
}

// heldBy reports whether the daemon holds this term.
func (l Lease) heldBy(id fleet.DaemonID, term Term) bool {
	return l.Term > 0 && l.Term == term && l.Holder == id && !l.Released
}

// bookState is a book in a snapshot.
type bookState struct {
	Leases []leaseState `cbor:"1,keyasint"` // in the order of their scopes
}

type leaseState struct {
	Scope    Scope          `cbor:"1,keyasint"`
	Term     Term           `cbor:"2,keyasint"`
	Holder   fleet.DaemonID `cbor:"3,keyasint"`
	Renewals uint64         `cbor:"4,keyasint"`
	Released bool           `cbor:"5,keyasint"`
}

// Snapshot implements journal.Fold.
func (b *Book) Snapshot() ([]byte, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var s bookState
	for _, l := range b.sorted() {
		s.Leases = append(s.Leases, leaseState(l))
	}
	return journal.Encode(s)
}

// Restore implements journal.Fold.
func (b *Book) Restore(data []byte) error {
	var s bookState
	if err := journal.Decode(data, &s); err != nil {
		return errors.Wrap(err, "leases")
	}
	leases := make(map[Scope]Lease, len(s.Leases))
	for _, l := range s.Leases {
		leases[l.Scope] = Lease(l)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leases = leases
	b.notify()
	return nil
}

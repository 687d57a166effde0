package group

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

const testScope lease.Scope = "placement/00"

// testTerms implements lease.Terms with one lease per scope.
type testTerms map[lease.Scope]lease.Lease

func (t testTerms) Current(s lease.Scope) (lease.Lease, bool) {
	l, ok := t[s]
	return l, ok
}

func heldBy(scope lease.Scope, term lease.Term, holder fleet.DaemonID) lease.Lease {
	return lease.Lease{Scope: scope, Term: term, Holder: holder}
}

func testMembers(fabric fleet.FabricDomain, numbers ...int) []Member {
	var members []Member
	for _, n := range numbers {
		members = append(members, Member{
			Instance:     fleet.InstanceID(fmt.Sprintf("e%02d", n)),
			Address:      fmt.Sprintf("10.0.0.%d:7000", n),
			Accelerators: 8,
			Fabric:       fabric,
		})
	}
	return members
}

func testGroup(counter uint64, numbers ...int) Group {
	return Group{
		ID:      FormatID(testScope, IDMark{Term: 1, Counter: counter}),
		Epoch:   1,
		Service: "drafting",
		Version: "v1",
		Fabric:  "f1",
		Members: testMembers("f1", numbers...),
		Phase:   PhaseActive,
		Scope:   testScope,
		Term:    1,
	}
}

func applyTo(t assert.TestingT, b *Fold, author fleet.DaemonID, kind journal.Kind, body any) journal.Verdict {
	data, err := journal.Encode(body)
	assert.NilError(t, err)
	v, err := b.Apply(0, journal.Record{Kind: kind, Author: author, Body: data})
	assert.NilError(t, err)
	return v
}

func TestRecordRules(t *testing.T) {
	g1 := testGroup(1, 1, 2, 3)
	g1.Spares = testMembers("f1", 4)
	repair := RepairRecord{Scope: testScope, Term: 1, Group: g1.ID, Epoch: 2, Members: testMembers("f1", 1, 2, 4)}
	with := func(change func(*Group)) FormRecord {
		g := testGroup(2, 5, 6, 7)
		change(&g)
		return FormRecord{Group: g}
	}
	withRepair := func(change func(*RepairRecord)) RepairRecord {
		r := repair
		change(&r)
		return r
	}
	cases := []struct {
		name   string
		author fleet.DaemonID
		kind   journal.Kind
		body   any
		reason string // "" when accepted
	}{
		{"free instances", "d1", KindForm, with(func(*Group) {}), ""},
		{"an instance of another group", "d1", KindForm, with(func(g *Group) { g.Members = testMembers("f1", 3, 5) }), "is in group"},
		{"a spare of another group", "d1", KindForm, with(func(g *Group) { g.Members = testMembers("f1", 4, 5) }), "is in group"},
		{"an instance twice", "d1", KindForm, with(func(g *Group) { g.Members = testMembers("f1", 5, 5) }), "listed twice"},
		{"as many spares as members", "d1", KindForm, with(func(g *Group) { g.Spares = testMembers("f1", 8, 9, 10) }), "must be fewer"},
		{"another fabric domain", "d1", KindForm, with(func(g *Group) { g.Members = testMembers("f2", 5, 6) }), "fabric domain"},
		{"no members", "d1", KindForm, with(func(g *Group) { g.Members = nil }), "at least one"},
		{"an id issued before", "d1", KindForm, with(func(g *Group) { g.ID = g1.ID }), "already issued"},
		{"an id of another scope", "d1", KindForm, with(func(g *Group) { g.ID = FormatID("x", IDMark{1, 9}) }), "does not name"},
		{"an id of another term", "d1", KindForm, with(func(g *Group) { g.ID = FormatID(testScope, IDMark{2, 9}) }), "does not name"},
		{"an old term", "d1", KindForm, with(func(g *Group) { g.Term = 0 }), "not the current"},
		{"an unknown scope", "d1", KindForm, with(func(g *Group) { g.Scope = "x" }), "no lease"},
		{"not the holder", "d2", KindForm, with(func(*Group) {}), "does not hold"},
		{"a later epoch", "d1", KindForm, with(func(g *Group) { g.Epoch = 2 }), "epoch 1"},
		{"a repair with a spare", "d1", KindRepair, repair, ""},
		{"a repair at the current epoch", "d1", KindRepair, withRepair(func(r *RepairRecord) { r.Epoch = 1 }), "does not follow"},
		{"a repair that skips an epoch", "d1", KindRepair, withRepair(func(r *RepairRecord) { r.Epoch = 3 }), "does not follow"},
		{"a repair to another size", "d1", KindRepair, withRepair(func(r *RepairRecord) { r.Members = testMembers("f1", 1, 2) }), "2 members"},
		{"a repair under an old term", "d1", KindRepair, withRepair(func(r *RepairRecord) { r.Term = 0 }), "not the current"},
		{"a repair of an unknown group", "d1", KindRepair, withRepair(func(r *RepairRecord) { r.Group = "x" }), "does not exist"},
		{"a drain", "d1", KindDrain, DrainRecord{testScope, 1, g1.ID, 1}, ""},
		{"a drain of an older epoch", "d1", KindDrain, DrainRecord{testScope, 1, g1.ID, 0}, "is at epoch"},
		{"a dissolution", "d1", KindDissolve, DissolveRecord{testScope, 1, g1.ID, 1}, ""},
		{"a dissolution from another scope", "d1", KindDissolve, DissolveRecord{"placement/01", 1, g1.ID, 1}, "belongs to scope"},
		{"a malformed body", "d1", KindDrain, "text", "malformed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewFold(testTerms{testScope: heldBy(testScope, 1, "d1"), "placement/01": heldBy("placement/01", 1, "d1")})
			assert.Assert(t, applyTo(t, b, "d1", KindForm, FormRecord{Group: g1}).Accepted)
			v := applyTo(t, b, c.author, c.kind, c.body)
			assert.Equal(t, v.Accepted, c.reason == "", v.Reason)
			assert.Assert(t, strings.Contains(v.Reason, c.reason), v.Reason)
		})
	}
}

func TestReleasedTermIsRejected(t *testing.T) {
	terms := testTerms{testScope: {Scope: testScope, Term: 1, Holder: "d1", Released: true}}
	v := applyTo(t, NewFold(terms), "d1", KindForm, FormRecord{Group: testGroup(1, 1, 2)})
	assert.Equal(t, v.Accepted, false)
}

func TestDuplicateRecordIsRejected(t *testing.T) {
	b := NewFold(testTerms{testScope: heldBy(testScope, 1, "d1")})
	r := FormRecord{Group: testGroup(1, 1, 2, 3)}
	assert.Assert(t, applyTo(t, b, "d1", KindForm, r).Accepted)
	assert.Assert(t, !applyTo(t, b, "d1", KindForm, r).Accepted)
	assert.Assert(t, applyTo(t, b, "d1", KindDissolve, DissolveRecord{testScope, 1, r.Group.ID, 1}).Accepted)
	assert.Assert(t, !applyTo(t, b, "d1", KindForm, r).Accepted, "the id was used before")
	assert.Equal(t, len(b.View().Groups), 0)
}

// drawRecord draws a record that may be valid, stale or from another author.
func drawRecord(t *rapid.T, v *View, terms testTerms) (fleet.DaemonID, journal.Kind, any) {
	scope := rapid.SampledFrom([]lease.Scope{testScope, "placement/01"}).Draw(t, "scope")
	l := terms[scope]
	term := l.Term
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		term--
	}
	author := l.Holder
	if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
		author = "d9"
	}
	numbers := rapid.SliceOfN(rapid.IntRange(1, 14), 2, 6).Draw(t, "instances")
	if rapid.Bool().Draw(t, "distinct") {
		slices.Sort(numbers)
		numbers = slices.Compact(numbers)
	}
	cut := rapid.IntRange(1, len(numbers)).Draw(t, "members")
	members, spares := testMembers("f1", numbers[:cut]...), testMembers("f1", numbers[cut:]...)
	ids := []fleet.GroupID{"none"}
	for id := range v.Groups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "group")
	epoch := fleet.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch"))
	if g := v.Groups[id]; g != nil && rapid.IntRange(0, 3).Draw(t, "follows") > 0 {
		scope, term, author, epoch = g.Scope, terms[g.Scope].Term, terms[g.Scope].Holder, g.Epoch
	}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1, 2:
		mark := v.NextID(scope, term)
		mark.Counter -= uint64(min(rapid.IntRange(0, 1).Draw(t, "reuse"), int(mark.Counter)))
		g := Group{ID: FormatID(scope, mark), Epoch: 1, Service: "s", Fabric: "f1", Members: members, Spares: spares, Phase: PhaseActive, Scope: scope, Term: term}
		return author, KindForm, FormRecord{Group: g}
	case 3, 4:
		return author, KindRepair, RepairRecord{Scope: scope, Term: term, Group: id, Epoch: epoch + 1, Members: members, Spares: spares}
	case 5:
		return author, KindDrain, DrainRecord{Scope: scope, Term: term, Group: id, Epoch: epoch}
	default:
		return author, KindDissolve, DissolveRecord{Scope: scope, Term: term, Group: id, Epoch: epoch}
	}
}

// checkView checks the invariants of a view independently of the Fold: no
// instance is in two groups, and the epoch of a group increases by one.
func checkView(t *rapid.T, v *View, epochs map[fleet.GroupID]fleet.Epoch) {
	owner := map[fleet.InstanceID]fleet.GroupID{}
	for id, g := range v.Groups {
		for m := range g.All() {
			other, taken := owner[m.Instance]
			assert.Assert(t, !taken, "instance %s is in %s and %s", m.Instance, id, other)
			owner[m.Instance] = id
		}
		last, known := epochs[id]
		assert.Assert(t, !known || g.Epoch == last || g.Epoch == last+1, "epoch %d after %d", g.Epoch, last)
		epochs[id] = g.Epoch
	}
	for id := range epochs {
		_, exists := v.Groups[id]
		assert.Assert(t, exists || epochs[id] != 0)
		if !exists {
			epochs[id] = 1 << 60 // detects a later group with the same id
		}
	}
	assert.DeepEqual(t, owner, v.ByInstance)
}

func TestNoInstanceInTwoGroups(t *testing.T) {
	defer invariant.SetHandler(func(b invariant.Breach) { t.Error(b.Error()) })()
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		terms := testTerms{testScope: heldBy(testScope, 1, "d1"), "placement/01": heldBy("placement/01", 1, "d2")}
		b := NewFold(terms)
		epochs := map[fleet.GroupID]fleet.Epoch{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			if rapid.IntRange(0, 14).Draw(t, "takeover") == 0 {
				terms[testScope] = heldBy(testScope, terms[testScope].Term+1, "d1")
			}
			author, kind, body := drawRecord(t, b.View(), terms)
			if applyTo(t, b, author, kind, body).Accepted {
				accepted++
			}
			checkView(t, b.View(), epochs)
		}
		checkRestore(t, b, terms)
	})
	assert.Assert(t, accepted > 300, "only %d records accepted", accepted)
}

// checkRestore checks that a Fold restored from a snapshot has the same state.
func checkRestore(t *rapid.T, b *Fold, terms testTerms) {
	data, err := b.Snapshot()
	assert.NilError(t, err)
	other := NewFold(terms)
	assert.NilError(t, other.Restore(data))
	assert.DeepEqual(t, other.View(), b.View())
	again, err := other.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again))
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	b := NewFold(testTerms{testScope: heldBy(testScope, 1, "d1")})
	assert.Assert(t, applyTo(t, b, "d1", KindForm, FormRecord{Group: testGroup(1, 1, 2)}).Accepted)
	g, h := testGroup(2, 3, 4), testGroup(3, 4, 5)
	for _, s := range []snapshot{
		{Format: 2},
		{Format: 1, Groups: []*Group{&g, &h}},
		{Format: 1, Groups: []*Group{&g, &g}},
		{Format: 1, Groups: []*Group{nil}},
	} {
		data, err := journal.Encode(s)
		assert.NilError(t, err)
		assert.Assert(t, b.Restore(data) != nil)
		assert.Equal(t, len(b.View().Groups), 1)
	}
}

func TestIDsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scope := lease.Scope(rapid.String().Draw(t, "scope"))
		m := IDMark{Term: lease.Term(rapid.Uint64().Draw(t, "term")), Counter: rapid.Uint64().Draw(t, "counter")}
		s, got, ok := ParseID(FormatID(scope, m))
		assert.Assert(t, ok && s == scope && got == m)
	})
	for _, id := range []fleet.GroupID{"", "a", "a.1", "a.x.1", "a.1.x", "a.01.1", "a.1.+1"} {
		_, _, ok := ParseID(id)
		assert.Assert(t, !ok, string(id))
	}
}

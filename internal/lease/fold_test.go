package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

func apply(t testing.TB, fold *lease.Fold, author fleet.DaemonID, kind journal.Kind, body any) journal.Verdict {
	t.Helper()
	data, err := journal.Encode(body)
	assert.NilError(t, err)
	v, err := fold.Apply(0, journal.Record{Kind: kind, Author: author, Body: data})
	assert.NilError(t, err)
	return v
}

func claim(term lease.Term, seen uint64) lease.Claim {
	return lease.Claim{Items: []lease.ClaimItem{{Scope: "s", Term: term, Seen: seen}}}
}

func renew(term lease.Term, n uint64) lease.Renew {
	return lease.Renew{Items: []lease.RenewItem{{Scope: "s", Term: term, Renewal: n}}}
}

func release(term lease.Term) lease.Release {
	return lease.Release{Items: []lease.ReleaseItem{{Scope: "s", Term: term}}}
}

func TestRules(t *testing.T) {
	fold := lease.NewFold()
	for _, step := range []struct {
		name   string
		author fleet.DaemonID
		kind   journal.Kind
		body   any
		reason string // empty if the record is accepted
	}{
		{"renewal without a lease", "a", lease.KindRenew, renew(0, 1), "not the holder of the term"},
		{"claim of a later term", "a", lease.KindClaim, claim(2, 0), "not the next term of the scope"},
		{"first claim", "a", lease.KindClaim, claim(1, 0), ""},
		{"second claim of the term", "b", lease.KindClaim, claim(1, 0), "not the next term of the scope"},
		{"renewal", "a", lease.KindRenew, renew(1, 1), ""},
		{"renewal that skips a number", "a", lease.KindRenew, renew(1, 3), ""},
		{"superseded renewal", "a", lease.KindRenew, renew(1, 2), "superseded by a later renewal"},
		{"renewal by another daemon", "b", lease.KindRenew, renew(1, 4), "not the holder of the term"},
		{"claim after an unseen renewal", "b", lease.KindClaim, claim(2, 1), "renewed since the claimant's last read"},
		{"release by another daemon", "b", lease.KindRelease, release(1), "not the holder of the term"},
		{"takeover", "b", lease.KindClaim, claim(2, 3), ""},
		{"renewal of the previous term", "a", lease.KindRenew, renew(1, 4), "not the holder of the term"},
		{"release", "b", lease.KindRelease, release(2), ""},
		{"renewal after the release", "b", lease.KindRenew, renew(2, 1), "not the holder of the term"},
		{"claim of a released scope", "a", lease.KindClaim, claim(3, 9), ""},
		{"no items", "a", lease.KindRenew, lease.Renew{}, "no item accepted"},
		{"malformed body", "a", lease.KindRenew, "text", "malformed body"},
	} {
		v := apply(t, fold, step.author, step.kind, step.body)
		assert.Equal(t, v.Reason, step.reason, step.name)
		assert.Equal(t, v.Accepted, step.reason == "", step.name)
	}
	l, ok := fold.Current("s")
	assert.Assert(t, ok)
	assert.DeepEqual(t, l, lease.Lease{Scope: "s", Term: 3, Holder: "a"})
}

func TestItemsAreDecidedOneByOne(t *testing.T) {
	fold := lease.NewFold()
	apply(t, fold, "a", lease.KindClaim, claim(1, 0))
	v := apply(t, fold, "b", lease.KindClaim, lease.Claim{Items: []lease.ClaimItem{
		{Scope: "s", Term: 1}, {Scope: "free", Term: 1},
	}})
	assert.Assert(t, v.Accepted)
	refusals, ok := v.Detail.(lease.Refusals)
	assert.Assert(t, ok)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Lease.Holder, fleet.DaemonID("a"))
	l, _ := fold.Current("free")
	assert.Equal(t, l.Holder, fleet.DaemonID("b"))
}

func TestSnapshotRoundTrip(t *testing.T) {
	fold := lease.NewFold()
	apply(t, fold, "a", lease.KindClaim, claim(1, 0))
	apply(t, fold, "a", lease.KindRenew, renew(1, 7))
	data, err := fold.Snapshot()
	assert.NilError(t, err)
	restored := lease.NewFold()
	assert.NilError(t, restored.Restore(data))
	assert.DeepEqual(t, restored.All(), fold.All())
	assert.ErrorContains(t, restored.Restore([]byte("no snapshot")), "leases")
	assert.DeepEqual(t, restored.All(), fold.All())
}

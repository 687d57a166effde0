package group

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/standin/property"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { property.Main(m, property.Seeded("1")) }

type testReports map[fleet.InstanceID]fleet.Report

func (r testReports) Report(id fleet.InstanceID) (fleet.Report, bool) {
	rep, ok := r[id]
	return rep, ok
}

var testNow = time.Unix(1_000_000, 0)

// reportsOf returns ready, recent reports of all instances of a composition.
func reportsOf(g *Group, c []Member) testReports {
	r := testReports{}
	for rank, m := range c {
		a := AssignmentOf(g, c, fleet.Rank(rank))
		r[m.Instance] = fleet.Report{Instance: m.Instance, Assignment: &a, Ready: true, ReceivedAt: testNow}
	}
	return r
}

func TestWholeReportsReason(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fleet.Report)
		reason string
	}{
		{"all good", func(*fleet.Report) {}, ""},
		{"as old as allowed", func(r *fleet.Report) { r.ReceivedAt = testNow.Add(-DefaultFreshness) }, ""},
		{"too old", func(r *fleet.Report) { r.ReceivedAt = testNow.Add(-DefaultFreshness - 1) }, "stale"},
		{"failed", func(r *fleet.Report) { r.Failed = true }, "does not answer"},
		{"not ready", func(r *fleet.Report) { r.Ready = false }, "not ready"},
		{"no assignment", func(r *fleet.Report) { r.Assignment = nil }, "no group"},
		{"another group", func(r *fleet.Report) { r.Assignment.Group = "x" }, "another group"},
		{"an older epoch", func(r *fleet.Report) { r.Assignment.Epoch = 0 }, "another epoch"},
		{"a newer epoch", func(r *fleet.Report) { r.Assignment.Epoch = 2 }, "another epoch"},
		{"another rank", func(r *fleet.Report) { r.Assignment.Rank = 2 }, "another rank"},
		{"another version", func(r *fleet.Report) { r.Assignment.Version = "v0" }, "another version"},
		{"another list", func(r *fleet.Report) { r.Assignment.Members = r.Assignment.Members[:2] }, "another composition"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := testGroup(1, 1, 2, 3)
			r := reportsOf(&g, g.Members)
			rep := r["e02"]
			c.change(&rep)
			r["e02"] = rep
			w := Whole(&g, r, testNow, 0)
			assert.Equal(t, w.Whole, c.reason == "", w.Reason)
			assert.Assert(t, w.Whole || strings.HasPrefix(w.Reason, "e02 ") && strings.Contains(w.Reason, c.reason), w.Reason)
		})
	}
	g := testGroup(1, 1, 2, 3)
	r := reportsOf(&g, g.Members)
	delete(r, "e02")
	assert.Equal(t, Whole(&g, r, testNow, 0).Reason, "e02 has no report")
}

func TestWholeWithPromotedSpare(t *testing.T) {
	g := testGroup(1, 1, 2, 3)
	g.Spares = testMembers("f1", 4)
	c := testMembers("f1", 1, 4, 3)
	r := reportsOf(&g, c)
	assert.Assert(t, Whole(&g, r, testNow, 0).Whole)
	old := reportsOf(&g, g.Members)
	r["e02"] = old["e02"]
	assert.Assert(t, Whole(&g, r, testNow, 0).Whole, "the report of the replaced member must be ignored")
	r["e03"] = old["e03"]
	assert.Assert(t, !Whole(&g, r, testNow, 0).Whole)
}

// compositions returns all ordered selections of n instances from all.
func compositions(all []Member, n int) [][]Member {
	if n == 0 {
		return [][]Member{nil}
	}
	var lists [][]Member
	for _, head := range compositions(all, n-1) {
		for _, m := range all {
			if !slices.Contains(head, m) {
				lists = append(lists, append(slices.Clone(head), m))
			}
		}
	}
	return lists
}

// drawReports draws reports that name up to three compositions of the group.
func drawReports(t *rapid.T, g *Group, all []Member) testReports {
	lists := compositions(all, len(g.Members))
	few := rapid.SliceOfN(rapid.SampledFrom(lists), 1, 3).Draw(t, "compositions")
	mixed := rapid.IntRange(0, 3).Draw(t, "mixed") > 0
	r := testReports{}
	for _, m := range all {
		c := few[0]
		if mixed {
			c = rapid.SampledFrom(few).Draw(t, "of")
		}
		rank := slices.Index(c, m)
		if rank < 0 {
			c = rapid.SampledFrom(few).Draw(t, "else")
			rank = max(slices.Index(c, m), 0)
		}
		a := AssignmentOf(g, c, fleet.Rank(rank))
		a.Epoch += fleet.Epoch(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "epoch"))
		r[m.Instance] = fleet.Report{
			Assignment: &a,
			ReceivedAt: testNow,
			Ready:      rapid.IntRange(0, 11).Draw(t, "ready") > 0,
		}
	}
	return r
}

// confirmedByAll reports whether all ranks of a composition confirm it.
func confirmedByAll(g *Group, c []Member, r testReports) bool {
	for rank, m := range c {
		rep := r[m.Instance]
		a := rep.Assignment
		if !rep.Ready || a.Group != g.ID || a.Epoch != g.Epoch || int(a.Rank) != rank || !slices.Equal(a.Members, addresses(c)) {
			return false
		}
	}
	return true
}

func TestAtMostOneCompositionIsWhole(t *testing.T) {
	wholes, promoted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 3).Draw(t, "size")
		spares := rapid.IntRange(0, 3).Draw(t, "spares")
		all := testMembers("f1", 1, 2, 3, 4, 5, 6)[:size+spares]
		g := testGroup(1, 1)
		g.Members, g.Spares = all[:size], all[size:]
		b := NewFold(testTerms{testScope: heldBy(testScope, 1, "d1")})
		if !applyTo(t, b, "d1", KindForm, FormRecord{Group: g}).Accepted {
			return
		}
		r := drawReports(t, &g, all)
		n := 0
		for _, c := range compositions(all, size) {
			if spares == 0 && !slices.Equal(c, g.Members) {
				continue // without spares only the record's order is valid
			}
			if confirmedByAll(&g, c, r) {
				n++
				if !slices.Equal(c, g.Members) {
					promoted++
				}
			}
		}
		assert.Assert(t, n <= 1, "%d compositions are whole at once", n)
		assert.Equal(t, Whole(&g, r, testNow, 0).Whole, n == 1)
		wholes += n
	})
	assert.Assert(t, wholes > 5 && promoted > 2, "%d whole, %d promoted", wholes, promoted)
}

package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table := NewTable(&Document{Version: 1, Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "x", Host: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Host: "A.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	for _, test := range []struct{ host, path, route string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example:8080", "/x/yz", "x"},
		{"A.EXAMPLE", "/x", "all"},
		{"b.example", "/x/", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/x/", ""},
		{"a.example", "//x/", "all"},
		{"a.example", "/X/", "all"},
		{"a.example", "/x%2fy/", "all"},
	} {
		r, ok := table.Match(test.host, test.path)
		assert.Equal(t, ok, test.route != "", "%s%s", test.host, test.path)
		if ok {
			assert.Equal(t, r.Name, test.route, "%s%s", test.host, test.path)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []WeightedService{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for n := range 1000 {
		counts[r.PickService(float64(n)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, r.PickService(1), "b")
}

func TestRepeatable(t *testing.T) {
	for _, test := range []struct {
		route      Route
		repeatable bool
	}{
		{Route{Kind: KindSafe}, true},
		{Route{Kind: KindUnsafe}, false},
		{Route{Kind: KindUnsafe, Resumable: true}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
	} {
		assert.Equal(t, test.route.Repeatable(), test.repeatable, "%+v", test.route)
	}
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	var c CurrentDocument
	assert.Assert(t, c.Table() == nil)
	assert.Assert(t, c.Update(&Document{Version: 5}))
	assert.Assert(t, !c.Update(&Document{Version: 5}))
	assert.Assert(t, !c.Update(&Document{Version: 4}))
	assert.Assert(t, c.Update(&Document{Version: 9}))
	assert.Equal(t, c.Table().Document.Version, uint64(9))
}

func TestKeysAndCatalog(t *testing.T) {
	table := NewTable(&Document{
		Version:    3,
		Workspaces: []Workspace{{Name: "trust", Keys: []string{"k1", "k2"}}},
		Services: []Service{
			{Name: "book"},
			{Name: "models", Engine: &Engine{Models: []Model{{Name: "duo", Size: 2}}}},
		},
	})
	w, ok := table.Workspace("k2")
	assert.Assert(t, ok)
	assert.Equal(t, w.Name, fleet.Workspace("trust"))
	_, ok = table.Workspace("")
	assert.Assert(t, !ok)
	assert.Assert(t, table.NeedsKey(&Route{}) && !table.NeedsKey(&Route{Public: true}))
	assert.Equal(t, table.Catalog.Services["book"].Spec.Kind, fleet.KindPlain)
	assert.Equal(t, table.Catalog.Services["models/duo"].Spec.Replicas.Instances, 2)
	assert.Assert(t, !NewTable(&Document{}).NeedsKey(&Route{}), "no key is required without workspaces")
}

func TestServiceTime(t *testing.T) {
	e := Engine{Slots: 16, StepTime: 8 * time.Millisecond, SlotTime: 100 * time.Microsecond, PrefillTokensPerSecond: 50_000}
	m := Model{TimeFactor: 0.5}
	// At a TimeFactor of one, 1,000 prompt tokens take 20 ms and 160 answer
	// tokens take ten steps of 9.6 ms; the TimeFactor of 0.5 halves both.
	assert.Equal(t, e.ServiceTime(&m, 1000, 160), 58*time.Millisecond)
}

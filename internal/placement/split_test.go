package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSplitEngines(t *testing.T) {
	for _, test := range []struct {
		name             string
		models           []ModelDemand
		engines, reserve int
		measured         bool
		groups           []int
	}{
		{"by expected shares", []ModelDemand{{Size: 4, Work: 0.125}, {Size: 2, Work: 0.25}}, 60, 10, false, []int{6, 13}},
		{"by measured work, with two redundant groups",
			[]ModelDemand{{Size: 4, Work: 3.15}, {Size: 2, Work: 6.5}}, 60, 10, true, []int{7, 11}},
		{"each model gets a group before any gets two", []ModelDemand{{Size: 4, Work: 0.1}, {Size: 2, Work: 9}}, 8, 4, false, []int{1, 1}},
		{"a model without work gets none", []ModelDemand{{Size: 4, Work: 0}, {Size: 2, Work: 1}}, 10, 2, false, []int{0, 4}},
		{"too few engines", []ModelDemand{{Size: 4, Work: 1}}, 3, 0, false, []int{0}},
		{"existing groups are kept while no model is overloaded",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 4}}, {Size: 2, Work: 6.5, GroupCounts: GroupCounts{Groups: 15}}}, 50, 9, true, []int{5, 15}},
		{"an idle model gives one group to an overloaded one",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3}}, {Size: 2, Work: 6.5, GroupCounts: GroupCounts{Groups: 11}}}, 50, 9, true, []int{5, 10}},
		{"as many groups as one group of the other model needs",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3}}, {Size: 2, Work: 6.5, GroupCounts: GroupCounts{Groups: 15}}}, 50, 9, true, []int{5, 13}},
		{"a busy model gives none",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3}}, {Size: 2, Work: 9, GroupCounts: GroupCounts{Groups: 12}}}, 50, 9, true, []int{5, 12}},
		{"one change at a time",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 2}}, {Size: 2, Work: 6.5, GroupCounts: GroupCounts{Groups: 14, Draining: 1}}}, 50, 9, true, []int{5, 14}},
		{"waits for a group that is starting",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3, Starting: 1}}, {Size: 2, Work: 6.5, GroupCounts: GroupCounts{Groups: 14}}}, 50, 9, true, []int{5, 14}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, SplitEngines(test.models, test.engines, test.reserve, test.measured), test.groups)
		})
	}
}

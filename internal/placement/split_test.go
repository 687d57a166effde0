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
		{"a model gives what one group of an overloaded model needs",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3}}, {Size: 2, Work: 6.5, GroupCounts: GroupCounts{Groups: 11}}}, 50, 9, true, []int{5, 9}},
		{"fewer if it would be as busy as the overloaded model is",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3}}, {Size: 2, Work: 9, GroupCounts: GroupCounts{Groups: 11}}}, 50, 9, true, []int{5, 10}},
		{"as many groups as one group of the other model needs",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3}}, {Size: 2, Work: 6.5, GroupCounts: GroupCounts{Groups: 15}}}, 50, 9, true, []int{5, 13}},
		{"a model that would be busier than the overloaded one gives none",
			[]ModelDemand{{Size: 4, Work: 3.15, GroupCounts: GroupCounts{Groups: 3}}, {Size: 2, Work: 9, GroupCounts: GroupCounts{Groups: 10}}}, 50, 9, true, []int{5, 10}},
		{"a shortage falls on both models, though neither is idle",
			[]ModelDemand{{Size: 8, Work: 8.8, GroupCounts: GroupCounts{Groups: 4}}, {Size: 2, Work: 36, GroupCounts: GroupCounts{Groups: 46}}}, 180, 32, true, []int{10, 42}},
		{"neither gives when both are equally short",
			[]ModelDemand{{Size: 8, Work: 8.8, GroupCounts: GroupCounts{Groups: 9}}, {Size: 2, Work: 36, GroupCounts: GroupCounts{Groups: 38}}}, 180, 32, true, []int{10, 38}},
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

package wiretest

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func encode(t *testing.T, v any) []byte {
	data, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return data
}

// Each change that a decoder of the earlier version can't read must be found.
func TestIncompatibleChangesAreFound(t *testing.T) {
	old := map[any]any{1: "a", 2: []any{map[any]any{1: 3}, 7}}
	for name, test := range map[string]struct {
		present any
		want    string
	}{
		"same":              {old, ""},
		"new field":         {map[any]any{1: "a", 2: []any{map[any]any{1: 3, 2: 1}, 7}, 3: true}, ""},
		"other number":      {map[any]any{3: "a", 2: []any{map[any]any{1: 3}, 7}}, "message.1: no item"},
		"other type":        {map[any]any{1: 5, 2: []any{map[any]any{1: 3}, 7}}, "message.1: 05"},
		"other nested type": {map[any]any{1: "a", 2: []any{map[any]any{1: "3"}, 7}}, "message.2[0].1"},
		"longer array":      {map[any]any{1: "a", 2: []any{map[any]any{1: 3}, 7, 8}}, "message.2: 3 elements, want 2"},
		"map to array":      {[]any{"a"}, "message: 81"},
	} {
		err := Extends(encode(t, old), encode(t, test.present))
		if test.want == "" {
			assert.NilError(t, err, name)
			continue
		}
		assert.ErrorContains(t, err, test.want, name)
	}
	assert.ErrorContains(t, Extends(nil, nil), "no item")
}

func TestParse(t *testing.T) {
	got, err := Parse(strings.NewReader("# made so\n\na 00ff\nb 01\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Messages{"a": {0, 255}, "b": {1}})
	for _, bad := range []string{"a 0", "a", "a 00\na 00"} {
		_, err := Parse(strings.NewReader(bad))
		assert.ErrorContains(t, err, "not a new name", bad)
	}
}

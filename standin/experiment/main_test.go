package main

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestErrorsNameTheInvalidOption(t *testing.T) {
	assert.ErrorContains(t, run(options{Suite: "all", Seeds: -1}, io.Discard), "--seeds")
	assert.ErrorContains(t, run(options{Suite: "none", Seeds: 1}, io.Discard), `no suite "none"`)
}

func TestFiltersSelectCasesByName(t *testing.T) {
	assert.Equal(t, len(limits(options{Policy: "queue"})), 1)
	assert.Equal(t, len(limits(options{Policy: "no such policy"})), 0)
	assert.Assert(t, len(limits(options{})) > 5)
}

func TestDefaultSeedsUnlessSet(t *testing.T) {
	s := suite{seeds: 16}
	assert.Equal(t, s.withDefaultSeeds(options{}).Seeds, 16)
	assert.Equal(t, s.withDefaultSeeds(options{Seeds: 2}).Seeds, 2)
}

package main

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBadOptionsAreNamed(t *testing.T) {
	assert.ErrorContains(t, run(options{Suite: "all", Seeds: -1}, io.Discard), "--seeds")
	assert.ErrorContains(t, run(options{Suite: "none", Seeds: 1}, io.Discard), `no suite "none"`)
}

func TestOnlyTheNamedCasesRun(t *testing.T) {
	assert.Equal(t, len(limits(options{Policy: "queue"})), 1)
	assert.Equal(t, len(limits(options{Policy: "no such way"})), 0)
	assert.Assert(t, len(limits(options{})) > 5)
}

func TestSeedsOfTheNotesUnlessNamed(t *testing.T) {
	s := suite{seeds: 16}
	assert.Equal(t, s.with(options{}).Seeds, 16)
	assert.Equal(t, s.with(options{Seeds: 2}).Seeds, 2)
}

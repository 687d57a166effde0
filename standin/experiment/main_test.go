package main

import (
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBadOptionsAreNamed(t *testing.T) {
	assert.ErrorContains(t, run(options{Suite: "all"}, io.Discard), "--seeds")
	assert.ErrorContains(t, run(options{Suite: "none", Seeds: 1}, io.Discard), `no suite "none"`)
}

func TestOnlyTheNamedCasesRun(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, run(options{Suite: "routing", Seeds: 1, Scenario: "no such case"}, &out))
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("\n")), 3, "title, header and an empty line")
}

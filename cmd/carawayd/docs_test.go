package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/settings"
)

// TestEventsPage holds docs/EVENTS.md to the events in the code, both ways.
func TestEventsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line of carawayd carries the number of its event. This page is made from the code by `go test ./cmd/carawayd -update` and checked by the same test.\n\n")
	b.WriteString("| number | name | level | what it says | what an operator does |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	samePage(t, "../../docs/EVENTS.md", b.String())
}

// TestSettingsPage holds docs/SETTINGS.md to the settings in the code.
func TestSettingsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings\n\nThe static settings of carawayd. Each flag has an environment variable; a flag wins over it. All are checked together before anything starts; each mistake is printed and the exit code is 2. What may change while a daemon runs is published as service files instead, see [OPERATIONS.md](OPERATIONS.md). This page is made from the code by `go test ./cmd/carawayd -update` and checked by the same test.\n\n")
	b.WriteString("| flag | environment | default | what it sets, unit and allowed values |\n| --- | --- | --- | --- |\n")
	fields := reflect.TypeFor[settings.Settings]()
	for i := range fields.NumField() {
		tag := fields.Field(i).Tag
		def := tag.Get("default")
		if def == "" {
			def = "none"
		}
		assert.Assert(t, tag.Get("env") != "", "--%s has no environment variable", tag.Get("long"))
		fmt.Fprintf(&b, "| `--%s` | `%s` | `%s` | %s |\n", tag.Get("long"), tag.Get("env"), def, tag.Get("description"))
	}
	samePage(t, "../../docs/SETTINGS.md", b.String())
}

func samePage(t *testing.T, path, want string) {
	t.Helper()
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(want), 0o644))
	}
	got, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run go test ./cmd/carawayd -update")
}

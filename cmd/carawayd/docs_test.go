package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/settings"
)

// TestEventsPage checks that docs/EVENTS.md lists exactly the events defined in
// the code.
func TestEventsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line of carawayd carries the number of its event. This page is made from the code by `go test ./cmd/carawayd -update` and checked by the same test.\n\n")
	b.WriteString("| number | name | level | what it says | what an operator does |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	checkPage(t, "../../docs/EVENTS.md", b.String())
}

// TestSettingsPage checks that docs/SETTINGS.md matches the settings in the
// code.
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
	checkPage(t, "../../docs/SETTINGS.md", b.String())
}

var serviceField = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| `?([^|`]+)`? \\|")

// TestServicesPage checks that docs/SERVICES.md lists exactly the fields of a
// service file, with their defaults.
func TestServicesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/SERVICES.md")
	assert.NilError(t, err)
	listed := map[string]string{}
	for _, m := range serviceField.FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = m[2]
	}
	engine, err := service.Parse("engine", []byte("{service: s, kind: engine, model: m, versions: [{name: v}], workspaces: [{name: w}]}"))
	assert.NilError(t, err)
	plain, err := service.Parse("plain", []byte("{service: s, kind: plain, methods: [{name: m}], workspaces: [{name: w}]}"))
	assert.NilError(t, err)
	plain.Versions, plain.Replicas = engine.Versions, engine.Replicas
	fields := map[string]reflect.Value{}
	serviceFields("", reflect.ValueOf(*plain), fields)
	for path, value := range fields {
		def, ok := listed[path]
		assert.Check(t, ok, "%s is a field and not on the page", path)
		if def != "required" && def != "none" {
			assert.Check(t, def == fmt.Sprint(value), "%s: default is %v, on the page %s", path, value, def)
		}
		delete(listed, path)
	}
	assert.Equal(t, len(listed), 0, "on the page and no fields: %v", listed)
}

// serviceFields collects the fields of a spec by path. A struct itself is not a
// field; the first item of a list represents all items.
func serviceFields(path string, v reflect.Value, into map[string]reflect.Value) {
	if v.Kind() == reflect.Struct {
		for i := range v.NumField() {
			name := v.Type().Field(i).Tag.Get("yaml")
			if path != "" {
				name = path + "." + name
			}
			serviceFields(name, v.Field(i), into)
		}
		return
	}
	into[path] = v
	if v.Kind() == reflect.Slice && v.Len() > 0 && v.Index(0).Kind() == reflect.Struct {
		serviceFields(path+"[]", v.Index(0), into)
	}
}

func checkPage(t *testing.T, path, want string) {
	t.Helper()
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(want), 0o644))
	}
	got, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run go test ./cmd/carawayd -update")
}

var (
	testName      = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")
	invariantName = regexp.MustCompile("`([a-z]+\\.[a-z]+-[a-z-]+|group\\.exclusive|journal\\.forward|journal\\.contiguous)`")
	assertedName  = regexp.MustCompile(`"([a-z]+\.[a-z][a-z-]*)"`)
	pageLink      = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// sources returns the concatenated text of all Go files whose path satisfies
// keep.
func sources(t *testing.T, keep func(path string) bool) string {
	t.Helper()
	var b strings.Builder
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || !keep(path) {
			return err
		}
		data, err := os.ReadFile(path)
		b.Write(data)
		return err
	})
	assert.NilError(t, err)
	return b.String()
}

func isTest(path string) bool { return strings.HasSuffix(path, "_test.go") }

// TestPromisesPage checks that each test and invariant named in
// docs/PROMISES.md exists, and that the page lists each invariant asserted in
// the code.
func TestPromisesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROMISES.md")
	assert.NilError(t, err)
	tests := sources(t, isTest)
	for _, m := range testName.FindAllStringSubmatch(string(page), -1) {
		assert.Check(t, strings.Contains(tests, "func "+m[1]+"("), "%s is on the page and not in the code", m[1])
	}
	code := sources(t, func(path string) bool { return !isTest(path) })
	for _, m := range invariantName.FindAllStringSubmatch(string(page), -1) {
		assert.Check(t, strings.Contains(code, `"`+m[1]+`"`), "invariant %s is on the page and not in the code", m[1])
	}
	asserted := 0
	for _, call := range strings.Split(code, "invariant.Check(")[1:] {
		statement, _, _ := strings.Cut(call, "\n}")
		m := assertedName.FindStringSubmatch(statement)
		if m == nil {
			continue
		}
		asserted++
		assert.Check(t, strings.Contains(string(page), "`"+m[1]+"`"), "invariant %s is in the code and not on the page", m[1])
	}
	assert.Assert(t, asserted > 10, "found only %d assertions", asserted)
}

// TestRulesPage checks that each test named in docs/design/rules.md exists.
func TestRulesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/rules.md")
	assert.NilError(t, err)
	tests := sources(t, isTest)
	names := testName.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(names) > 40, "found only %d tests", len(names))
	for _, m := range names {
		assert.Check(t, strings.Contains(tests, "func "+m[1]+"("), "%s is on the page and not in the code", m[1])
	}
}

// TestLinksOfThePages checks that each relative link of a page leads to an
// existing file.
func TestLinksOfThePages(t *testing.T) {
	pages := []string{"../../README.md"}
	for _, pattern := range []string{"../../docs/*.md", "../../docs/design/*.md"} {
		more, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		pages = append(pages, more...)
	}
	links := 0
	for _, page := range pages {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range pageLink.FindAllStringSubmatch(string(data), -1) {
			links++
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.Check(t, err, "%s: link to %s", page, m[1])
		}
	}
	assert.Assert(t, links > 10, "found only %d links", links)
}

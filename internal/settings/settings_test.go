package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse([]string{"--ledger-shards=0", "--platform=localhost:1", "--drain-grace=2m", "--log-level=loud"})
	var got []string
	for _, line := range strings.Split(err.Error(), "\n") {
		got = append(got, strings.SplitN(line, ":", 2)[0])
	}
	assert.DeepEqual(t, got, []string{"--availability-zone", "--platform", "--ledger-shards", "--drain-grace", "--log-level"})
}

func TestParse(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		want string // substring of the error; empty for no error
	}{
		"minimal":        {args: []string{"--availability-zone=a", "--platform=127.0.0.1:9"}},
		"unknown flag":   {args: []string{"--no-such-flag"}, want: "no-such-flag"},
		"host name":      {args: []string{"--availability-zone=a", "--platform=db:9"}, want: "--platform"},
		"half of TLS":    {args: []string{"--availability-zone=a", "--platform=127.0.0.1:9", "--tls-key=k"}, want: "--tls-key"},
		"cut off":        {args: []string{"--availability-zone=a", "--platform=127.0.0.1:9", "--when-cut-off=guess"}, want: "refuse or serve"},
		"flooded":        {args: []string{"--availability-zone=a", "--platform=127.0.0.1:9", "--when-flooded=none"}, want: "part or all"},
		"CA without TLS": {args: []string{"--availability-zone=a", "--platform=127.0.0.1:9", "--admin-client-ca=ca"}, want: "--admin-client-ca"},
		"extra argument": {args: []string{"--availability-zone=a", "--platform=127.0.0.1:9", "serve"}, want: "serve"},
		"not a number":   {args: []string{"--ledger-shards=many"}, want: "ledger-shards"},
		"out of bounds":  {args: []string{"--availability-zone=a", "--platform=127.0.0.1:9", "--append-rate=0"}, want: "1 to 1000"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(tc.args)
			if tc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestParseReadsEnvironment(t *testing.T) {
	t.Setenv("CARAWAY_AVAILABILITY_ZONE", "pokhara-a")
	t.Setenv("CARAWAY_PLATFORM", "127.0.0.1:9")
	s, err := Parse(nil)
	assert.NilError(t, err)
	assert.Equal(t, s.Zone, "pokhara-a")
	first, second := s.DaemonID(), s.DaemonID()
	assert.Assert(t, first != second)
}

// Guards against a daemon that does not start because the platform states one of
// its amounts as a fraction.
func TestFractionalAmountPreventedStart(t *testing.T) {
	t.Setenv("CARAWAY_AVAILABILITY_ZONE", "regina")
	t.Setenv("CARAWAY_PLATFORM", "127.0.0.1:9")
	t.Setenv("CARAWAY_PROCESSORS", "0.192")
	t.Setenv("CARAWAY_RETRY_SLACK", "44.65517241379311")
	t.Setenv("CARAWAY_MEMORY_LIMIT", "160.5")
	t.Setenv("CARAWAY_DRAIN_TIMEOUT", "8.25s")
	s, err := Parse(nil)
	assert.NilError(t, err)
	assert.Equal(t, s.RetrySlack, 44.65517241379311)
	assert.Equal(t, s.MemoryLimit, 160.5)
}

// Guards against a daemon that does not start, or that takes every start for the
// first one, because the platform does not state a value yet or no longer.
func TestEmptyVariablePreventedStart(t *testing.T) {
	settings := reflect.TypeFor[Settings]()
	for i := range settings.NumField() {
		t.Setenv(settings.Field(i).Tag.Get("env"), "")
	}
	t.Setenv("CARAWAY_AVAILABILITY_ZONE", "regina")
	t.Setenv("CARAWAY_STORE", "127.0.0.1:9")
	got, err := Parse(nil)
	assert.NilError(t, err)
	want, err := Parse([]string{"--availability-zone=regina", "--store=127.0.0.1:9"})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.Assert(t, !got.FirstStart)
	assert.Equal(t, got.DrainTimeout, 150*time.Second)
}

// A deploy file of a later version sets variables that this version does not know.
func TestUnknownVariablePreventedStart(t *testing.T) {
	t.Setenv("CARAWAY_AVAILABILITY_ZONE", "regina")
	t.Setenv("CARAWAY_STORE", "127.0.0.1:9")
	t.Setenv("CARAWAY_OF_A_LATER_VERSION", "on")
	_, err := Parse(nil)
	assert.NilError(t, err)
}

func TestDaemonIDContainsInstanceName(t *testing.T) {
	for _, name := range []string{"edge-1", "a", "edge-syangja-3-d5409747"} {
		settings := &Settings{Name: name}
		assert.Equal(t, InstanceName(settings.DaemonID()), name)
	}
	for _, other := range []fleet.DaemonID{"", "edge", "-1234567", "edge-12345678901"} {
		assert.Equal(t, InstanceName(other), "", "%q", other)
	}
}

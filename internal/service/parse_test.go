package service_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/service"
)

const engineFile = `service: drafts
kind: engine
owner: gandaki
pool: large
model: nepali-drafts
versions:
  - name: "4"
    groups: 3
adapters: [permits]
workspaces:
  - name: field-office
    share: 2
    max_in_flight: 8
replicas:
  instances: 4
limits:
  max_tokens: 512
  default_deadline: 10s
`

const plainFile = `service: bookings
kind: plain
workspaces:
  - name: desk
methods:
  - name: book
  - name: list
    idempotent: true
`

func TestParseFillsDefaults(t *testing.T) {
	s, err := service.Parse("drafts.yaml", []byte(engineFile))
	assert.NilError(t, err)
	assert.DeepEqual(t, s, &service.Spec{
		Service: "drafts", Kind: fleet.KindEngine, Owner: "gandaki", Pool: "large", Model: "nepali-drafts",
		Versions:   []service.VersionSpec{{Name: "4", Groups: 3, Role: "serve"}},
		Adapters:   []fleet.Adapter{"permits"},
		Workspaces: []service.WorkspaceSpec{{Name: "field-office", Share: 2, MaxInFlight: 8}},
		Replicas:   service.ReplicaSpec{Instances: 4, LoadTime: 20 * time.Second},
		Limits: service.LimitSpec{
			MaxBodyBytes: 1 << 20, MaxTokens: 512, DefaultDeadline: 10 * time.Second,
			MaxDeadline: 120 * time.Second, MaxAttempts: 3, RetryRatio: 0.1,
		},
		Weights: service.WeightSpec{Downtime: 1, Stranded: 1},
	})
	p, err := service.Parse("bookings.yaml", []byte(plainFile))
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Methods, []service.MethodSpec{{Name: "book"}, {Name: "list", Idempotent: true}})
	assert.Equal(t, p.Limits.MaxTokens, uint32(1024))
	assert.Equal(t, p.Limits.DefaultDeadline, 30*time.Second)
}

func TestParseReportsAllErrors(t *testing.T) {
	for _, c := range []struct {
		name, file string
		want       []string
	}{
		{"fields and values", `service: "bad name"
kind: robot
sizes: 3
workspaces:
  - name: desk
    share: much
limits:
  max_tokens: -1
  max_deadline: 30
`, []string{
			`f.yaml:3:1: sizes: unknown field; allowed are service, kind, owner, pool, model, versions, adapters, workspaces, methods, replicas, limits, weights`,
			`f.yaml:6:12: workspaces[0].share: must be a number`,
			`f.yaml:8:15: limits.max_tokens: must be a whole number from 0 to 2147483647`,
			`f.yaml:9:17: limits.max_deadline: must be a duration with its unit, for example 30s, 1m30s or 500ms`,
		}},
		{"rules", `service: "bad name"
kind: robot
workspaces:
  - name: desk
  - name: desk
limits:
  retry_ratio: 1.5
  max_attempts: 0
`, []string{
			`f.yaml:1:10: service: is required: letters`,
			`f.yaml:2:7: kind: is required: engine or plain`,
			`f.yaml:5:11: workspaces[1].name: "desk" stands twice`,
			`f.yaml:7:16: limits.retry_ratio: is 1.5; allowed are 0 to 1`,
			`f.yaml:8:17: limits.max_attempts: is 0; allowed are 1 to 10`,
		}},
		{"engine", "service: s\nkind: engine\nworkspaces: [{name: w}]\nmethods: [{name: m}]\n", []string{
			`f.yaml:1:1: model: is required`,
			`f.yaml:1:1: versions: at least one version is required for kind engine`,
			`methods: is for kind plain only`,
		}},
		{"plain", "service: s\nkind: plain\nmodel: m\n", []string{
			`f.yaml:1:1: methods: at least one method is required for kind plain`,
			`f.yaml:1:1: workspaces: at least one workspace is required`,
			`f.yaml:3:8: model: is for kind engine only`,
		}},
		{"number for text", "service: 12\n", []string{`f.yaml:1:10: service: must be text; put a number or yes/no in quotes`}},
		{"deadlines", plainFile + "limits: {max_deadline: 5s, default_deadline: 6s}\n", []string{
			`limits.default_deadline: is 6s; allowed are 1ms to 5s`,
		}},
		{"field twice", "service: a\nservice: b\n", []string{`f.yaml:2:1`}},
		{"anchor", "service: &a x\nkind: *a\n", []string{`service: must be text`, `kind: must be text`}},
		{"syntax", "service: [\n", []string{`f.yaml:1:`}},
		{"empty", "", []string{`f.yaml: is empty`}},
		{"list", "- a\n", []string{`must have fields: service, kind`}},
		{"two documents", plainFile + "---\n" + plainFile, []string{`holds 2 YAML documents`}},
		{"too long", strings.Repeat("#", service.MaxFileBytes+1), []string{`at most 65536 are allowed`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec, err := service.Parse("f.yaml", []byte(c.file))
			assert.Assert(t, spec == nil)
			errs := service.SplitErrors(err)
			assert.Equal(t, len(errs), len(c.want), "%v", err)
			for i, m := range errs {
				assert.ErrorContains(t, m, c.want[i])
			}
		})
	}
}

// FuzzParse checks that the parser does not panic, that each rejected file has
// at least one field error, and that accepted values are within their bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte(engineFile))
	f.Add([]byte(plainFile))
	f.Add([]byte("service: [\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("? {a: b}\n: c\n"))
	f.Add([]byte("<<: {service: x}\nkind: !!binary aGk=\n"))
	f.Add([]byte("limits: {max_tokens: 0x10, retry_ratio: .nan}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		spec, err := service.Parse("f.yaml", data)
		if err != nil {
			var parse *service.ParseError
			assert.Assert(t, errors.As(err, &parse))
			assert.Assert(t, len(parse.FieldErrors) > 0 && spec == nil)
			return
		}
		again, err := service.Parse("f.yaml", data)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, spec)
		assert.Assert(t, spec.Service != "" && spec.Limits.MaxAttempts >= 1)
		assert.Assert(t, spec.Limits.RetryRatio >= 0 && spec.Limits.RetryRatio <= 1)
		assert.Assert(t, spec.Limits.DefaultDeadline <= spec.Limits.MaxDeadline)
	})
}

func TestDiff(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"equal", "a\n", "a\n", ""},
		{"changed", "a\nb\nc\nd\ne\nf\n", "a\nb\nc\nX\ne\nf\n", "...\n b\n c\n-d\n+X\n e\n f\n"},
		{"new", "", "a\nb\n", "+a\n+b\n"},
		{"removed", "a\n", "", "-a\n"},
		{"moved", "a\nb\nc\n", "b\nc\na\n", "-a\n b\n c\n+a\n"},
	} {
		assert.Equal(t, service.Diff(c.old, c.new), c.want, c.name)
	}
	long := strings.Repeat("a\nb\n", 2000)
	got := service.Diff("x\n"+long+"y\n", "z\n"+strings.Repeat("b\na\n", 2000)+"w\n")
	assert.Assert(t, strings.HasPrefix(got, "-x\n-a\n"), "files above maxDiffCells are shown as removed and added")
}

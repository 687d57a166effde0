package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `  2.1 edge-1 time=2026-01-05T13:40:18.1Z level=info msg=entry.accepted event=1701 daemon=edge-1 request=r1 route=a document=7
  2.1 edge-1 time=2026-01-05T13:40:18.11Z level=info msg=dispatch.routed event=1600 daemon=edge-1 request=r1 group=duo.1.1 reason="lowest cost of the pick" instance=i-1
time=2026-01-05T13:40:18.12Z level=info msg=dispatch.routed event=1600 daemon=edge-1 request=r2 group=duo.1.2
not a line of a daemon
time=2026-01-05T13:40:18.3Z level=warn msg=edge.group-stalled event=1813 daemon=edge-1 group=duo.1.1
time=2026-01-05T13:40:18.4Z level=warn msg=placement.engine-down event=1422 daemon=edge-2 instance=i-1
time=2026-01-05T13:40:18.4Z level=warn msg=placement.engine-down event=1422 daemon=edge-2 instance=i-9
time=2026-01-05T13:41:18.4Z level=warn msg=edge.group-stalled event=1813 daemon=edge-1 group=duo.1.1
time=2026-01-05T13:40:18.5Z level=info msg=entry.answered event=1702 daemon=edge-1 request=r1 outcome=cut
`

func TestExplainReadsLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(sampleLog), 0o600))
	var out, errs bytes.Buffer
	assert.Equal(t, Run([]string{"explain", "--log", file, "r1"}, &out, &errs), ExitOK, errs.String())
	var events []string
	for line := range strings.Lines(out.String()) {
		if fields := strings.Fields(line); len(fields) > 2 && fields[0] != "TIME" {
			events = append(events, fields[2])
		}
	}
	assert.DeepEqual(t, events, []string{"1701", "1600", "1813", "1422", "1702"})
	assert.Assert(t, strings.Contains(out.String(), "reason=lowest cost of the pick"))

	assert.Equal(t, Run([]string{"explain", "--log", file, "r9"}, &out, &errs), ExitFailed)
	assert.Equal(t, Run([]string{"explain", "--log", file + "x", "r1"}, &out, &errs), ExitUsage)
}

package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

var testEvent = Define(1, "event.test", log.InfoLevel, "A test ran.", "Nothing.")

func TestLoggerWritesNumberAndCallsSink(t *testing.T) {
	var out bytes.Buffer
	var seen []any
	l := NewLogger(&out, log.InfoLevel, func(_ time.Time, e *Event, kv []any) {
		assert.Equal(t, e.Number, 1)
		seen = kv
	})
	l.With("daemon", "d1").Emit(testEvent, "group", "g1")
	assert.Assert(t, strings.Contains(out.String(), "event=1 daemon=d1 group=g1"), out.String())
	assert.Equal(t, Text(seen), "daemon=d1 group=g1")
}

func TestDefineTwicePanics(t *testing.T) {
	defer func() { assert.Assert(t, recover() != nil) }()
	Define(1, "event.other", log.InfoLevel, "", "")
}

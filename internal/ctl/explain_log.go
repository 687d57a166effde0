package ctl

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// logLine is one line of a daemon's log.
type logLine struct {
	at     time.Time
	fields map[string]string
	text   string // what follows the event's number
}

// around is how long before a request's first line and after its last one the
// lines of its groups and instances belong to its story.
const around = 2 * time.Second

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// explainLogs prints the lines of one request, and among them those about the
// groups and instances that it was sent to.
func (e *explainCommand) explainLogs() error {
	var lines []logLine
	for _, name := range e.Log {
		read, err := e.readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := storyOf(lines, e.Args.ID)
	if len(story) == 0 {
		return fail(ExitFailed, "no line of %s is about %q; lines of served requests are left out beyond their rate", strings.Join(e.Log, ", "), e.Args.ID)
	}
	rows := make([][]string, len(story))
	for i, l := range story {
		rows[i] = []string{l.at.Format(time.RFC3339Nano), l.fields["daemon"], l.fields["event"], l.fields["msg"] + " " + l.text}
	}
	return e.ctl.show(nil, []string{"TIME", "DAEMON", "EVENT", "LINE"}, rows)
}

func (e *explainCommand) readLog(name string) ([]logLine, error) {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, &exitError{code: ExitMistake, err: errors.Wrap(err, "log")}
		}
		defer f.Close()
		r = f
	}
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", name)
}

// parseLine reads a line of a log. What stands before the time, as a
// collector's own prefix, is passed over.
func parseLine(text []byte) (logLine, bool) {
	at := bytes.Index(text, []byte("time="))
	if at < 0 {
		return logLine{}, false
	}
	l := logLine{fields: map[string]string{}}
	d := logfmt.NewDecoder(bytes.NewReader(text[at:]))
	var rest []string
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			l.fields[key] = value
			if !slices.Contains([]string{"time", "level", "msg", "event", "daemon"}, key) {
				rest = append(rest, key+"="+value)
			}
		}
	}
	l.text = strings.Join(rest, " ")
	var err error
	l.at, err = time.Parse(time.RFC3339Nano, l.fields["time"])
	return l, err == nil && d.Err() == nil && l.fields["event"] != ""
}

// storyOf picks the lines of a request, in the order of time, and those that
// tell of its groups and instances while it was under way.
func storyOf(lines []logLine, id string) []logLine {
	touched := map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		for _, key := range []string{"group", "instance"} {
			if name := l.fields[key]; name != "" {
				touched[name] = true
			}
		}
		if from.IsZero() || l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
	}
	var story []logLine
	for _, l := range lines {
		near := !l.at.Before(from.Add(-around)) && !l.at.After(to.Add(around))
		about := l.fields["request"] == "" && near && (touched[l.fields["group"]] || touched[l.fields["instance"]])
		if l.fields["request"] == id || about && !from.IsZero() {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return a.at.Compare(b.at) })
	return story
}

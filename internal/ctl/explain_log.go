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

// logLine is one parsed line of a daemon's log.
type logLine struct {
	at     time.Time
	fields map[string]string
	text   string // fields other than time, level, msg, event and daemon
}

// contextWindow is the time before the first and after the last line of a
// request in which lines about its groups and instances are included.
const contextWindow = 2 * time.Second

// maxLineBytes is the maximum length of a log line, in bytes.
const maxLineBytes = 1 << 20

// explainLogs prints the log lines of one request together with those about the
// groups and instances that the request was sent to.
func (e *explainCommand) explainLogs() error {
	var lines []logLine
	for _, name := range e.Log {
		fileLines, err := e.readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	selected := linesRelatedTo(lines, e.Args.ID)
	if len(selected) == 0 {
		return exitErrorf(ExitFailed, "no line of %s is about %q; lines of served requests are left out beyond their rate", strings.Join(e.Log, ", "), e.Args.ID)
	}
	rows := make([][]string, len(selected))
	for i, l := range selected {
		rows[i] = []string{l.at.Format(time.RFC3339Nano), l.fields["daemon"], l.fields["event"], l.fields["msg"] + " " + l.text}
	}
	return e.ctl.printResult(nil, []string{"TIME", "DAEMON", "EVENT", "LINE"}, rows)
}

func (e *explainCommand) readLog(name string) ([]logLine, error) {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, &exitError{code: ExitUsage, err: errors.Wrap(err, "log")}
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

// parseLine parses one log line. It skips any text before the time field, such
// as a prefix added by a log collector. It returns false if the text is not a
// log line of a daemon.
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

// linesRelatedTo returns the lines of request id, and the lines about its groups
// and instances within contextWindow of the request, ordered by time.
func linesRelatedTo(lines []logLine, id string) []logLine {
	related := map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		for _, key := range []string{"group", "instance"} {
			if name := l.fields[key]; name != "" {
				related[name] = true
			}
		}
		if from.IsZero() || l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
	}
	var selected []logLine
	for _, l := range lines {
		inWindow := !l.at.Before(from.Add(-contextWindow)) && !l.at.After(to.Add(contextWindow))
		isRelated := l.fields["request"] == "" && inWindow && (related[l.fields["group"]] || related[l.fields["instance"]])
		if l.fields["request"] == id || isRelated && !from.IsZero() {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.at.Compare(b.at) })
	return selected
}

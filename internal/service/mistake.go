package service

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Mistake is one thing wrong in a service file.
type Mistake struct {
	File   string
	Line   int // from 1, as Column; zero when the file as a whole is meant
	Column int
	Field  string // path of the field, for example "limits.max_tokens"
	Text   string // what is wrong, with the allowed values
}

// Error returns "file:line:column: field: text".
func (m Mistake) Error() string {
	var b strings.Builder
	b.WriteString(m.File)
	if m.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", m.Line, m.Column)
	}
	b.WriteString(": ")
	if m.Field != "" {
		b.WriteString(m.Field + ": ")
	}
	b.WriteString(m.Text)
	return b.String()
}

// ParseError holds all mistakes of one service file in the order of their
// lines.
type ParseError struct{ Mistakes []Mistake }

// Error returns one line for each mistake.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.Error()
	}
	return strings.Join(lines, "\n")
}

// Mistakes returns the mistakes of a Parse error one by one, or err itself.
func Mistakes(err error) []error {
	var parse *ParseError
	if !errors.As(err, &parse) {
		return []error{err}
	}
	all := make([]error, len(parse.Mistakes))
	for i, m := range parse.Mistakes {
		all[i] = m
	}
	return all
}

func (e *ParseError) sort() {
	sort.SliceStable(e.Mistakes, func(i, j int) bool {
		a, b := e.Mistakes[i], e.Mistakes[j]
		return a.Line < b.Line || (a.Line == b.Line && a.Column < b.Column)
	})
}

package service

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// FieldError is one error in a service file.
type FieldError struct {
	File   string
	Line   int // from 1, like Column; zero for an error of the whole file
	Column int
	Field  string // path of the field, for example "limits.max_tokens"
	Text   string // description of the error, with the allowed values
}

// Error returns "file:line:column: field: text".
func (e FieldError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	b.WriteString(": ")
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Text)
	return b.String()
}

// ParseError holds all errors of one service file, sorted by line and column.
type ParseError struct{ FieldErrors []FieldError }

// Error returns one line for each error.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.FieldErrors))
	for i, field := range e.FieldErrors {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "\n")
}

// SplitErrors returns the field errors of a ParseError, or err itself if it is
// another error.
func SplitErrors(err error) []error {
	var parse *ParseError
	if !errors.As(err, &parse) {
		return []error{err}
	}
	all := make([]error, len(parse.FieldErrors))
	for i, field := range parse.FieldErrors {
		all[i] = field
	}
	return all
}

func (e *ParseError) sort() {
	sort.SliceStable(e.FieldErrors, func(i, j int) bool {
		a, b := e.FieldErrors[i], e.FieldErrors[j]
		return a.Line < b.Line || (a.Line == b.Line && a.Column < b.Column)
	})
}

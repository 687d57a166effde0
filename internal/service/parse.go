package service

import (
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxFileBytes bounds one service file.
const MaxFileBytes = 64 << 10

// Parse decodes one service file strictly and fills in the defaults, see
// Defaults. Its error is a *ParseError with all mistakes at once; file names
// the file in them. What it accepts belongs to Syntax.
func Parse(file string, data []byte) (*Spec, error) {
	d := &decoder{file: file, at: map[string]position{}}
	spec := &Spec{}
	d.document(data, spec)
	if len(d.mistakes) == 0 {
		v := validator{decoder: d, spec: spec}
		v.all()
	}
	if len(d.mistakes) > 0 {
		err := &ParseError{Mistakes: d.mistakes}
		err.sort()
		return nil, err
	}
	return spec, nil
}

func (d *decoder) document(data []byte, spec *Spec) {
	if len(data) > MaxFileBytes {
		d.fail(position{}, "", "%d bytes; at most %d are allowed", len(data), MaxFileBytes)
		return
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.syntax(err)
		return
	}
	if len(tree.Docs) > 1 {
		d.fail(position{}, "", "holds %d YAML documents; one service a file is allowed", len(tree.Docs))
		return
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		d.fail(position{}, "", "is empty")
		return
	}
	d.value(tree.Docs[0].Body, reflect.ValueOf(spec).Elem(), "")
}

func (d *decoder) syntax(err error) {
	var y yaml.Error
	if errors.As(err, &y) {
		d.fail(place(y.GetToken()), "", "%s", y.GetMessage())
		return
	}
	d.fail(position{}, "", "%s", err)
}

package service

import (
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxFileBytes is the maximum size of one service file.
const MaxFileBytes = 64 << 10

// Parse decodes and validates one service file strictly and fills in the
// default values. Its error is a *ParseError with all errors of the file; file
// is the file name in them. A change of what Parse accepts needs a new Syntax.
func Parse(file string, data []byte) (*Spec, error) {
	d := &decoder{file: file, positions: map[string]position{}}
	spec := &Spec{}
	d.decodeDocument(data, spec)
	if len(d.errs) == 0 {
		v := validator{decoder: d, spec: spec}
		v.validate()
	}
	if len(d.errs) > 0 {
		err := &ParseError{FieldErrors: d.errs}
		err.sort()
		return nil, err
	}
	return spec, nil
}

func (d *decoder) decodeDocument(data []byte, spec *Spec) {
	if len(data) > MaxFileBytes {
		d.addError(position{}, "", "%d bytes; at most %d are allowed", len(data), MaxFileBytes)
		return
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	if len(tree.Docs) > 1 {
		d.addError(position{}, "", "holds %d YAML documents; one service a file is allowed", len(tree.Docs))
		return
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		d.addError(position{}, "", "is empty")
		return
	}
	d.decodeValue(tree.Docs[0].Body, reflect.ValueOf(spec).Elem(), "")
}

func (d *decoder) addSyntaxError(err error) {
	var y yaml.Error
	if errors.As(err, &y) {
		d.addError(positionOf(y.GetToken()), "", "%s", y.GetMessage())
		return
	}
	d.addError(position{}, "", "%s", err)
}

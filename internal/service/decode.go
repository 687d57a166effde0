package service

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

var durationType = reflect.TypeFor[time.Duration]()

// position is the line and column of a field in a file, both from 1.
type position struct{ line, column int }

// decoder decodes a YAML tree into Go values strictly and collects all errors.
type decoder struct {
	file      string
	errs      []FieldError
	positions map[string]position // position of each field that is present, by path
}

func (d *decoder) addError(at position, field, format string, args ...any) {
	d.errs = append(d.errs, FieldError{
		File: d.file, Line: at.line, Column: at.column, Field: field, Text: fmt.Sprintf(format, args...),
	})
}

func positionOf(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

// decodeValue decodes a node into v and records the position of its path.
func (d *decoder) decodeValue(n ast.Node, v reflect.Value, path string) {
	at := positionOf(n.GetToken())
	if path != "" {
		d.positions[path] = at
	}
	switch {
	case v.Type() == durationType:
		d.decodeDuration(n, v, path, at)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(n, v, path, at)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(n, v, path, at)
	default:
		d.decodeScalar(n, v, path, at)
	}
}

func (d *decoder) decodeMapping(n ast.Node, v reflect.Value, path string, at position) {
	fields := fieldsOf(v.Type())
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		d.addError(at, path, "must have fields: %s", strings.Join(fields.names, ", "))
		return
	}
	seen := map[string]bool{}
	for _, entry := range values {
		key := entry.Key.String()
		keyAt := positionOf(entry.Key.GetToken())
		i, known := fields.index[key]
		switch {
		case !known:
			d.addError(keyAt, joinPath(path, key), "unknown field; allowed are %s", strings.Join(fields.names, ", "))
		case seen[key]:
			d.addError(keyAt, joinPath(path, key), "stands twice")
		default:
			seen[key] = true
			d.decodeValue(entry.Value, v.Field(i), joinPath(path, key))
		}
	}
}

func (d *decoder) decodeSequence(n ast.Node, v reflect.Value, path string, at position) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addError(at, path, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.decodeValue(item, list.Index(i), indexPath(path, i))
	}
	v.Set(list)
}

func (d *decoder) decodeScalar(n ast.Node, v reflect.Value, path string, at position) {
	switch v.Kind() {
	case reflect.String:
		if text, ok := stringValue(n); ok {
			v.SetString(text)
			return
		}
		d.addError(at, path, "must be text; put a number or yes/no in quotes")
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.addError(at, path, "must be true or false")
	case reflect.Int, reflect.Uint32:
		d.decodeInteger(n, v, path, at)
	case reflect.Float64:
		switch f := n.(type) {
		case *ast.FloatNode:
			v.SetFloat(f.Value)
		case *ast.IntegerNode:
			v.SetFloat(toFloat(f.Value))
		default:
			d.addError(at, path, "must be a number")
		}
	default:
		panic("service file field of kind " + v.Kind().String())
	}
}

func (d *decoder) decodeInteger(n ast.Node, v reflect.Value, path string, at position) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.addError(at, path, "must be a whole number")
		return
	}
	u, ok := i.Value.(uint64)
	switch {
	case !ok || u > 1<<31-1:
		d.addError(at, path, "must be a whole number from 0 to %d", 1<<31-1)
	case v.CanUint():
		v.SetUint(u)
	default:
		v.SetInt(int64(u))
	}
}

func (d *decoder) decodeDuration(n ast.Node, v reflect.Value, path string, at position) {
	text, ok := stringValue(n)
	if ok {
		if duration, err := time.ParseDuration(text); err == nil {
			v.SetInt(int64(duration))
			return
		}
	}
	d.addError(at, path, "must be a duration with its unit, for example 30s, 1m30s or 500ms")
}

func stringValue(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	default:
		return "", false
	}
}

func toFloat(v any) float64 {
	switch i := v.(type) {
	case uint64:
		return float64(i)
	case int64:
		return float64(i)
	default:
		return 0
	}
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// fieldSet holds the fields of a struct by their YAML names.
type fieldSet struct {
	names []string
	index map[string]int
}

func fieldsOf(t reflect.Type) fieldSet {
	set := fieldSet{index: map[string]int{}}
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("yaml")
		set.names = append(set.names, name)
		set.index[name] = i
	}
	return set
}

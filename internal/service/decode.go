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

// position is where a field stands in a file, from 1.
type position struct{ line, column int }

// decoder fills Go values from a YAML tree, strictly, and gathers all
// mistakes on the way.
type decoder struct {
	file     string
	mistakes []Mistake
	at       map[string]position // of each field that is present, by path
}

func (d *decoder) fail(at position, field, format string, args ...any) {
	d.mistakes = append(d.mistakes, Mistake{
		File: d.file, Line: at.line, Column: at.column, Field: field, Text: fmt.Sprintf(format, args...),
	})
}

func place(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

// value decodes a node into v.
func (d *decoder) value(n ast.Node, v reflect.Value, path string) {
	at := place(n.GetToken())
	if path != "" {
		d.at[path] = at
	}
	switch {
	case v.Type() == durationType:
		d.duration(n, v, path, at)
	case v.Kind() == reflect.Struct:
		d.mapping(n, v, path, at)
	case v.Kind() == reflect.Slice:
		d.sequence(n, v, path, at)
	default:
		d.scalar(n, v, path, at)
	}
}

func (d *decoder) mapping(n ast.Node, v reflect.Value, path string, at position) {
	fields := fieldsOf(v.Type())
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		d.fail(at, path, "must have fields: %s", strings.Join(fields.names, ", "))
		return
	}
	seen := map[string]bool{}
	for _, mv := range values {
		key := mv.Key.String()
		keyAt := place(mv.Key.GetToken())
		i, known := fields.index[key]
		switch {
		case !known:
			d.fail(keyAt, join(path, key), "unknown field; allowed are %s", strings.Join(fields.names, ", "))
		case seen[key]:
			d.fail(keyAt, join(path, key), "stands twice")
		default:
			seen[key] = true
			d.value(mv.Value, v.Field(i), join(path, key))
		}
	}
}

func (d *decoder) sequence(n ast.Node, v reflect.Value, path string, at position) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fail(at, path, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.value(item, list.Index(i), indexed(path, i))
	}
	v.Set(list)
}

func (d *decoder) scalar(n ast.Node, v reflect.Value, path string, at position) {
	switch v.Kind() {
	case reflect.String:
		if text, ok := textOf(n); ok {
			v.SetString(text)
			return
		}
		d.fail(at, path, "must be text; put a number or yes/no in quotes")
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.fail(at, path, "must be true or false")
	case reflect.Int, reflect.Uint32:
		d.integer(n, v, path, at)
	case reflect.Float64:
		switch f := n.(type) {
		case *ast.FloatNode:
			v.SetFloat(f.Value)
		case *ast.IntegerNode:
			v.SetFloat(asFloat(f.Value))
		default:
			d.fail(at, path, "must be a number")
		}
	default:
		panic("service file field of kind " + v.Kind().String())
	}
}

func (d *decoder) integer(n ast.Node, v reflect.Value, path string, at position) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.fail(at, path, "must be a whole number")
		return
	}
	u, ok := i.Value.(uint64)
	switch {
	case !ok || u > 1<<31-1:
		d.fail(at, path, "must be a whole number from 0 to %d", 1<<31-1)
	case v.CanUint():
		v.SetUint(u)
	default:
		v.SetInt(int64(u))
	}
}

func (d *decoder) duration(n ast.Node, v reflect.Value, path string, at position) {
	text, ok := textOf(n)
	if ok {
		if length, err := time.ParseDuration(text); err == nil {
			v.SetInt(int64(length))
			return
		}
	}
	d.fail(at, path, "must be a duration with its unit, for example 30s, 1m30s or 500ms")
}

func textOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	default:
		return "", false
	}
}

func asFloat(v any) float64 {
	switch i := v.(type) {
	case uint64:
		return float64(i)
	case int64:
		return float64(i)
	default:
		return 0
	}
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func indexed(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// fieldSet is the fields of a struct by their names in YAML.
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

package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"tarragongw/core/model"
	"tarragongw/core/selector"
)

// field defines one field of a table in a model file. The reference page of the
// configuration is generated from the definitions.
type field[T any] struct {
	name     string
	required bool
	// unit, def and effect are shown to operators: the unit or type of the value, its
	// default and what it does.
	unit   string
	def    string
	effect string
	// pointer returns a pointer to the value in the decoded struct. The pointer's type decides how
	// the value is decoded and formatted.
	pointer func(*T) any
}

// decoder reads the values of one document and collects their errors.
type decoder struct{ doc *document }

// fail adds an error at the value of a path, or at its key if the value's place is not
// known. mend says how to correct the fault.
func (d *decoder) fail(path, mend, format string, args ...any) {
	p := d.doc.find(path)
	at := p.value
	if at.line == 0 {
		at = p.key
	}
	d.add(at, mend, format, args...)
}

// failKey adds an error at the key of a path.
func (d *decoder) failKey(path, mend, format string, args ...any) {
	d.add(d.doc.find(path).key, mend, format, args...)
}

func (d *decoder) add(at position, mend, format string, args ...any) {
	d.doc.errors = append(d.doc.errors, Error{File: d.doc.file, Line: at.line, Column: at.column, Text: fmt.Sprintf(format, args...), Fix: mend})
}

// decodeTable decodes a table's fields into the struct that into points to.
func decodeTable[T any](d *decoder, path string, raw any, fields []field[T], into *T) {
	table, ok := raw.(map[string]any)
	if !ok {
		d.fail(path, "write it as a table: { ... }", "%s is %s, not a table", path, typeName(raw))
		return
	}
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	for _, key := range slices.Sorted(maps.Keys(table)) {
		if !slices.Contains(names, key) {
			d.unknownField(join(path, key), key, names)
		}
	}
	for _, f := range fields {
		value, present := table[f.name]
		if present {
			d.decode(join(path, f.name), value, f.pointer(into))
		} else if f.required && !d.doc.incomplete {
			d.failKey(path, fmt.Sprintf("add %s = ...", f.name), "%s lacks the field %s", path, f.name)
		}
	}
}

func (d *decoder) unknownField(path, key string, known []string) {
	mend := "remove it"
	if near := model.Nearest(key, known); near != "" {
		mend = fmt.Sprintf("did you mean %q?", near)
	}
	d.failKey(path, mend, "unknown field %q", key)
}

// decode decodes one value into the variable that into points to.
func (d *decoder) decode(path string, raw, into any) {
	switch into := into.(type) {
	case *model.Extract:
		decodeTable(d, path, raw, extractFields, into)
	case *model.Isolation:
		decodeTable(d, path, raw, isolationFields, into)
	case *model.Weights:
		decodeTable(d, path, raw, weightsFields, into)
	case *model.GrantCheck:
		decodeTable(d, path, raw, grantsFields, into)
	case *model.Labels:
		d.labels(path, raw, into)
	case *model.Expr:
		d.expr(path, raw, into)
	case *[]string:
		d.stringList(path, raw, into)
	case *map[string]string:
		d.stringMap(path, raw, into)
	case *time.Duration:
		d.duration(path, raw, into)
	case *Size:
		d.size(path, raw, into)
	case *model.Division:
		d.enum(path, raw, into)
	case *model.Source:
		d.enum(path, raw, into)
	default:
		d.scalar(path, raw, into)
	}
}

// scalar decodes a string, a boolean or a number.
func (d *decoder) scalar(path string, raw, into any) {
	switch into := into.(type) {
	case *string:
		if text, ok := d.text(path, raw); ok {
			*into = text
		}
	case *bool:
		value, ok := raw.(bool)
		if !ok {
			d.fail(path, "use true or false", "%s is %s, not a boolean", path, typeName(raw))
		}
		*into = value
	case *int:
		if n, ok := d.integer(path, raw); ok {
			*into = int(n)
		}
	case *uint32:
		n, ok := d.integer(path, raw)
		if ok && (n < 0 || n > math.MaxUint32) {
			d.fail(path, "use a number that is not negative", "%s is %d", path, n)
			return
		}
		*into = uint32(n)
	case *float64:
		d.number(path, raw, into)
	default:
		panic(fmt.Sprintf("config: no decoder for type %T", into))
	}
}

func (d *decoder) text(path string, raw any) (string, bool) {
	text, ok := raw.(string)
	if !ok {
		d.fail(path, "write it in quotes", "%s is %s, not a string", path, typeName(raw))
	}
	return text, ok
}

func (d *decoder) integer(path string, raw any) (int64, bool) {
	n, ok := raw.(int64)
	if !ok {
		d.fail(path, "write a whole number without quotes and unit", "%s is %s, not an integer", path, typeName(raw))
	}
	return n, ok
}

func (d *decoder) number(path string, raw any, into *float64) {
	switch value := raw.(type) {
	case float64:
		*into = value
	case int64:
		*into = float64(value)
	default:
		d.fail(path, "write a number without quotes and unit", "%s is %s, not a number", path, typeName(raw))
	}
}

func (d *decoder) duration(path string, raw any, into *time.Duration) {
	const mend = "write a number with its unit in quotes, for instance \"250ms\", \"2s\" or \"1m\""
	text, ok := raw.(string)
	if !ok {
		d.fail(path, mend, "%s is %s, not a duration", path, typeName(raw))
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.fail(path, mend, "%q is not a duration", text)
		return
	}
	*into = value
}

func (d *decoder) size(path string, raw any, into *Size) {
	const mend = "write a number with its unit in quotes, for instance \"64KiB\" or \"1MiB\""
	text, ok := raw.(string)
	if !ok {
		d.fail(path, mend, "%s is %s, not a size", path, typeName(raw))
		return
	}
	size, err := ParseSize(text)
	if err != nil {
		d.fail(path, mend, "%q is not a size", text)
		return
	}
	*into = size
}

// enum decodes a value that must be one of a fixed set of names.
func (d *decoder) enum(path string, raw any, into interface{ UnmarshalText([]byte) error }) {
	text, ok := d.text(path, raw)
	if !ok {
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.fail(path, "use one of these names", "%s: %v", path, err)
	}
}

func (d *decoder) stringList(path string, raw any, into *[]string) {
	list, ok := raw.([]any)
	if !ok {
		d.fail(path, "write a list: [\"a\", \"b\"]", "%s is %s, not a list", path, typeName(raw))
		return
	}
	values := make([]string, 0, len(list))
	for i, item := range list {
		if text, ok := d.text(element(path, i), item); ok {
			values = append(values, text)
		}
	}
	*into = values
}

func (d *decoder) labels(path string, raw any, into *model.Labels) {
	table, ok := raw.(map[string]any)
	if !ok {
		d.fail(path, "write a table: { tier = \"gold\" }", "%s is %s, not a table of labels", path, typeName(raw))
		return
	}
	labels := make(model.Labels, len(table))
	for _, label := range slices.Sorted(maps.Keys(table)) {
		if text, ok := d.text(join(path, label), table[label]); ok {
			labels[label] = text
		}
	}
	if len(labels) > 0 {
		*into = labels
	}
}

func (d *decoder) stringMap(path string, raw any, into *map[string]string) {
	table, ok := raw.(map[string]any)
	if !ok {
		d.fail(path, "write a table: { name = \"text\" }", "%s is %s, not a table", path, typeName(raw))
		return
	}
	texts := make(map[string]string, len(table))
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if text, ok := d.text(join(path, name), table[name]); ok {
			texts[name] = text
		}
	}
	*into = texts
}

func (d *decoder) expr(path string, raw any, into *model.Expr) {
	text, ok := d.text(path, raw)
	if !ok {
		return
	}
	e, err := selector.Parse(text)
	if err == nil {
		*into = e
		return
	}
	syntax := err.(*selector.SyntaxError)
	p := d.doc.find(path)
	at := p.value
	// The column in the file can be computed only for a string in plain quotes without
	// escapes. For other strings the error is reported at the start of the value.
	if p.width == len(text)+len(`""`) {
		at.column += syntax.Column
	}
	d.add(at, syntax.Fix, "%s: %s (column %d of the expression)", path, syntax.Text, syntax.Column)
}

func typeName(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a number"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

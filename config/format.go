package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragongw/core/model"
	"tarragongw/core/selector"
)

// Format returns the model as one TOML file that ParseModel reads back as the
// same model. Fields that have their default are left out.
func Format(m *model.Model) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Revision %d\n", m.Revision)
	for i := range m.Services {
		formatObject(&b, model.KindService, serviceFields, &m.Services[i], defaultService(&m.Services[i]))
	}
	for i := range m.Targets {
		formatObject(&b, model.KindTarget, targetFields, &m.Targets[i], newTarget())
	}
	for i := range m.Ranges {
		formatObject(&b, model.KindRange, rangeFields, &m.Ranges[i], model.KeyRange{})
	}
	for i := range m.Callers {
		formatObject(&b, model.KindCaller, callerFields, &m.Callers[i], newCaller())
	}
	for i := range m.Selectors {
		formatObject(&b, model.KindSelector, selectorFields, &m.Selectors[i], model.Selector{})
	}
	return b.Bytes()
}

// defaultService returns the service that a file with only the name and division of s would
// give, with the division at its default.
func defaultService(s *model.Service) model.Service {
	d := newService()
	d.Name, d.Division = s.Name, s.Division
	setDerivedDefaults(&d, nil)
	d.Division = model.ByKey
	return d
}

func formatObject[T any](b *bytes.Buffer, kind model.ObjectKind, fields []field[T], object *T, defaults T) {
	fmt.Fprintf(b, "\n[[%s]]\n", kind)
	for _, f := range fields {
		value := f.pointer(object)
		if f.required || !reflect.DeepEqual(value, f.pointer(&defaults)) {
			fmt.Fprintf(b, "%s = %s\n", f.name, formatValue(value))
		}
	}
}

// formatInline returns an inline table; fields that have their default are left out.
func formatInline[T any](fields []field[T], table *T, defaults T) string {
	var parts []string
	for _, f := range fields {
		value := f.pointer(table)
		if !reflect.DeepEqual(value, f.pointer(&defaults)) {
			parts = append(parts, f.name+" = "+formatValue(value))
		}
	}
	return braces(parts)
}

func braces(parts []string) string {
	if len(parts) == 0 {
		return "{}"
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}

// formatValue returns a value as TOML. value is the pointer from a field definition.
func formatValue(value any) string {
	switch value := value.(type) {
	case *model.Extract:
		return formatInline(extractFields, value, model.Extract{})
	case *model.Isolation:
		return formatInline(isolationFields, value, model.Isolation{})
	case *model.Weights:
		return formatInline(weightsFields, value, newService().Weights)
	case *model.GrantCheck:
		return formatInline(grantsFields, value, model.GrantCheck{})
	case *model.Labels:
		return formatLabels(*value)
	case *model.Expr:
		return quoted(selector.String(*value))
	case *model.Division:
		return quoted(value.String())
	case *model.Source:
		return quoted(value.String())
	case *time.Duration:
		return quoted(value.String())
	case *string:
		return quoted(*value)
	case *[]string:
		return formatList(*value)
	case *float64:
		return strconv.FormatFloat(*value, 'g', -1, 64)
	case *bool:
		return strconv.FormatBool(*value)
	case *int:
		return strconv.Itoa(*value)
	case *uint32:
		return strconv.FormatUint(uint64(*value), 10)
	}
	panic(fmt.Sprintf("config: no formatter for type %T", value))
}

func formatLabels(labels model.Labels) string {
	var parts []string
	for _, label := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, quoted(label)+" = "+quoted(labels[label]))
	}
	return braces(parts)
}

func formatList(list []string) string {
	parts := make([]string, 0, len(list))
	for _, item := range list {
		parts = append(parts, quoted(item))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// quoted returns text as a TOML basic string. TOML allows all escapes of JSON, but also
// requires the delete character to be escaped.
func quoted(text string) string {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(text); err != nil {
		panic(fmt.Sprintf("config: a string cannot be written: %v", err))
	}
	return strings.ReplaceAll(strings.TrimSuffix(b.String(), "\n"), "\x7f", `\u007f`)
}

package model

import (
	"fmt"
	"slices"
	"strings"
)

// divisionNames are the names of divisions in configuration files and stored records.
var divisionNames = []string{ByKey: "by-key", Any: "any"}

// sourceNames are the names of sources in configuration files and stored records.
var sourceNames = []string{FromNone: "none", FromHeader: "header", FromPath: "path", FromQuery: "query"}

// opNames are the names of operators in selectors and stored records.
var opNames = []string{Equals: "=", NotEquals: "!=", In: "in", NotIn: "notin", Exists: "exists", NotExists: "!exists"}

// String returns the name used in configuration files.
func (d Division) String() string { return nameOf(divisionNames, uint8(d)) }

// MarshalText implements encoding.TextMarshaler.
func (d Division) MarshalText() ([]byte, error) { return marshalName(divisionNames, uint8(d)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Division) UnmarshalText(text []byte) error {
	value, err := unmarshalName(divisionNames, text)
	*d = Division(value)
	return err
}

// String returns the name used in configuration files.
func (s Source) String() string { return nameOf(sourceNames, uint8(s)) }

// MarshalText implements encoding.TextMarshaler.
func (s Source) MarshalText() ([]byte, error) { return marshalName(sourceNames, uint8(s)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Source) UnmarshalText(text []byte) error {
	value, err := unmarshalName(sourceNames, text)
	*s = Source(value)
	return err
}

// String returns the operator as written in selectors.
func (o Op) String() string { return nameOf(opNames, uint8(o)) }

// MarshalText implements encoding.TextMarshaler.
func (o Op) MarshalText() ([]byte, error) { return marshalName(opNames, uint8(o)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Op) UnmarshalText(text []byte) error {
	value, err := unmarshalName(opNames, text)
	*o = Op(value)
	return err
}

// ValueLimits returns the minimum and the maximum number of values that the operator takes.
func (o Op) ValueLimits() (lower, upper int) {
	switch o {
	case Equals, NotEquals:
		return 1, 1
	case In, NotIn:
		return 1, MaxValues
	default:
		return 0, 0
	}
}

func nameOf(names []string, value uint8) string {
	if int(value) >= len(names) {
		return fmt.Sprintf("invalid(%d)", value)
	}
	return names[value]
}

func marshalName(names []string, value uint8) ([]byte, error) {
	if int(value) >= len(names) {
		return nil, fmt.Errorf("value %d has no name", value)
	}
	return []byte(names[value]), nil
}

func unmarshalName(names []string, text []byte) (uint8, error) {
	index := slices.Index(names, string(text))
	if index < 0 {
		return 0, fmt.Errorf("%q is none of %s", text, strings.Join(names, ", "))
	}
	return uint8(index), nil
}

// Package config reads and writes the configuration. This is the model of services, targets,
// key ranges, callers and selectors, as TOML files and as the records that the store and
// other routers hold, and the settings of a router process, as a TOML file.
package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one error in a configuration file.
type Error struct {
	// File is empty if the error belongs to no file.
	File string
	// Line and Column count from one; zero if not known.
	Line   int
	Column int
	// Text describes the error and Fix how to correct it.
	Text string
	Fix  string
}

// Error implements error: file:line:column: text; fix.
func (e Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File + ":")
	}
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:", e.Line)
	}
	if e.Line > 0 && e.Column > 0 {
		fmt.Fprintf(&b, "%d:", e.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	b.WriteString(e.Text)
	if e.Fix != "" {
		b.WriteString("; " + e.Fix)
	}
	return b.String()
}

// Errors are all errors that were found, in order of file, line and column.
type Errors []Error

// Error implements error with one line for each error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// sort orders the errors by position; errors at the same position keep their order.
func (e Errors) sort() {
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// orNil returns the sorted errors as an error, or nil if there are none.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	e.sort()
	return e
}

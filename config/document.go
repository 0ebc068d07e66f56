package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

const (
	// MaxFileSize is the size in bytes of the largest settings file.
	MaxFileSize = 8 << 20
	// maxSyntaxErrors bounds how many syntax errors of one file are reported.
	maxSyntaxErrors = 20
)

// position is a position in a file; line and column count from one.
type position struct{ line, column int }

// place is where a field stands in the file: the position of its key and, if known, of its
// value. width is the length of the value in bytes, including quotes.
type place struct {
	key, value position
	width      int
}

// document is one parsed file: its values, and the places of its fields by path, for
// instance service[2].key.from.
type document struct {
	file   string
	root   map[string]any
	places map[string]place
	errors Errors
	// incomplete means that fields may be missing, because the file has syntax errors or is
	// too large.
	incomplete bool
}

// parse parses one file. Syntax errors are added to the document's errors.
func parse(file string, data []byte) *document {
	d := &document{file: file, places: make(map[string]place)}
	if len(data) > MaxFileSize {
		d.errors = append(d.errors, Error{File: file, Text: fmt.Sprintf("the file has %d bytes", len(data)), Fix: fmt.Sprintf("keep it to %d bytes", MaxFileSize)})
		d.incomplete = true
		return d
	}
	data = d.parseValues(data)
	d.incomplete = len(d.errors) > 0
	d.locate(data)
	return d
}

// parseValues parses data into root. On a syntax error it blanks the line and parses again,
// so that later errors are reported too. It returns the data with these lines blank, or nil
// if the file cannot be parsed this way.
func (d *document) parseValues(data []byte) []byte {
	for range maxSyntaxErrors {
		d.root = nil
		err := toml.Unmarshal(data, &d.root)
		if err == nil {
			return data
		}
		place := syntaxPosition(err)
		d.errors = append(d.errors, Error{File: d.file, Line: place.line, Column: place.column, Text: syntaxText(err), Fix: "correct the TOML"})
		rest := blankLine(data, place.line)
		if rest == nil {
			break
		}
		data = rest
	}
	d.root = nil
	return nil
}

func syntaxPosition(err error) position {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return position{}
	}
	line, column := decode.Position()
	return position{line, column}
}

func syntaxText(err error) string { return strings.TrimPrefix(err.Error(), "toml: ") }

// blankLine returns data without the text of a line, or nil if the line is unknown or
// already blank. For a faulty table header it drops the rest of the file too, because the
// fields that follow would be assigned to the previous table.
func blankLine(data []byte, line int) []byte {
	lines := bytes.Split(data, []byte("\n"))
	if line < 1 || line > len(lines) || len(lines[line-1]) == 0 {
		return nil
	}
	if bytes.HasPrefix(bytes.TrimSpace(lines[line-1]), []byte("[")) {
		lines = lines[:line]
	}
	lines[line-1] = nil
	return bytes.Join(lines, []byte("\n"))
}

// locate records the places of all fields.
func (d *document) locate(data []byte) {
	l := &locator{document: d, starts: lineStarts(data), counts: make(map[string]int)}
	l.parser.Reset(data)
	table := ""
	for l.parser.NextExpression() {
		node := l.parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = l.header(node)
		case unstable.KeyValue:
			l.field(table, node)
		}
	}
}

// locator walks the expressions of a file. counts holds, by path, the number of elements so
// far of each array of tables. starts holds the offsets of the lines.
type locator struct {
	parser   unstable.Parser
	document *document
	starts   []int
	counts   map[string]int
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// position converts an offset in the file to a line and column.
func (l *locator) position(raw unstable.Range) position {
	if raw.Length == 0 {
		return position{}
	}
	offset := int(raw.Offset)
	low, high := 0, len(l.starts)
	for high-low > 1 {
		middle := (low + high) / 2
		if l.starts[middle] <= offset {
			low = middle
		} else {
			high = middle
		}
	}
	return position{low + 1, offset - l.starts[low] + 1}
}

// header records a table's header and returns the table's path.
func (l *locator) header(node *unstable.Node) string {
	path := ""
	var at position
	keys := node.Key()
	for keys.Next() {
		key := keys.Node()
		at = l.position(key.Raw)
		path = join(path, string(key.Data))
		if keys.IsLast() && node.Kind == unstable.ArrayTable {
			l.counts[path]++
		}
		l.recordIfNew(path, place{key: at})
		path = l.lastElement(path)
		l.recordIfNew(path, place{key: at})
	}
	return path
}

// lastElement returns the path of the last element if path is an array of tables, and path
// otherwise.
func (l *locator) lastElement(path string) string {
	if n := l.counts[path]; n > 0 {
		return element(path, n-1)
	}
	return path
}

// field records the places of a field, whose key may be dotted, and of its value.
func (l *locator) field(table string, node *unstable.Node) {
	path := table
	var at position
	keys := node.Key()
	for keys.Next() {
		key := keys.Node()
		at = l.position(key.Raw)
		path = join(path, string(key.Data))
		l.recordIfNew(path, place{key: at})
	}
	l.value(path, at, node.Value())
}

// value records the place of a value and of the fields and elements in it.
func (l *locator) value(path string, key position, node *unstable.Node) {
	l.document.places[path] = place{key: key, value: l.position(node.Raw), width: int(node.Raw.Length)}
	switch node.Kind {
	case unstable.InlineTable:
		fields := node.Children()
		for fields.Next() {
			if field := fields.Node(); field.Kind == unstable.KeyValue {
				l.field(path, field)
			}
		}
	case unstable.Array:
		elements := node.Children()
		for i := 0; elements.Next(); {
			if item := elements.Node(); item.Kind != unstable.Comment {
				l.value(element(path, i), key, item)
				i++
			}
		}
	}
}

// recordIfNew sets the place of a path that has none yet.
func (l *locator) recordIfNew(path string, p place) {
	if _, known := l.document.places[path]; !known {
		l.document.places[path] = p
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// element returns the path of an element of the array at path.
func element(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }

// find returns the place of a path, or of the closest enclosing table.
func (d *document) find(path string) place {
	for {
		if p, ok := d.places[path]; ok {
			return p
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return place{}
		}
		path = path[:cut]
	}
}

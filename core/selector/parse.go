package selector

import (
	"fmt"

	"tarragongw/core/model"
)

// MaxText is the maximum length in bytes of the text of an expression.
const MaxText = 16384

// SyntaxError is an error in the text of an expression.
type SyntaxError struct {
	// Column is the position of the error in bytes, counted from one.
	Column int
	// Text says what is wrong, and Fix how to correct it.
	Text string
	Fix  string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("column %d: %s; %s", e.Column, e.Text, e.Fix)
}

// Parse parses the text form of an expression: requirements separated by commas, all of
// which must be met. A requirement is one of
//
//	label = value        label != value
//	label in (a, b)      label notin (a, b)
//	exists(label)        !exists(label)
//
// The empty text matches everything. Errors are of type *SyntaxError.
func Parse(text string) (model.Expr, error) {
	if len(text) > MaxText {
		return nil, &SyntaxError{MaxText + 1, "the expression is too long", fmt.Sprintf("keep it to %d bytes", MaxText)}
	}
	p := &parser{text: text}
	p.skipSpace()
	if p.atEnd() {
		return nil, nil
	}
	var e model.Expr
	for {
		r, err := p.requirement()
		if err != nil {
			return nil, err
		}
		if e = append(e, r); len(e) > model.MaxRequirements {
			return nil, p.errorAt(p.pos, "there are too many requirements", fmt.Sprintf("keep at most %d", model.MaxRequirements))
		}
		if p.atEnd() {
			return e, nil
		}
		if !p.accept(",") {
			return nil, p.errorAt(p.pos, p.unexpected(), "separate requirements by a comma")
		}
	}
}

// parser parses text from pos on; after each token it skips white space.
type parser struct {
	text string
	pos  int
}

func (p *parser) atEnd() bool { return p.pos == len(p.text) }

func (p *parser) skipSpace() {
	for !p.atEnd() && (p.text[p.pos] == ' ' || p.text[p.pos] == '\t' || p.text[p.pos] == '\n' || p.text[p.pos] == '\r') {
		p.pos++
	}
}

// accept consumes the symbol if it is next in the text, and reports whether it was.
func (p *parser) accept(symbol string) bool {
	if len(p.text)-p.pos < len(symbol) || p.text[p.pos:p.pos+len(symbol)] != symbol {
		return false
	}
	p.pos += len(symbol)
	p.skipSpace()
	return true
}

// word consumes the longest run of allowed characters and returns it with its start.
func (p *parser) word(allowed func(byte) bool) (string, int) {
	start := p.pos
	for !p.atEnd() && allowed(p.text[p.pos]) {
		p.pos++
	}
	word := p.text[start:p.pos]
	p.skipSpace()
	return word, start
}

func (p *parser) errorAt(pos int, text, mend string) error {
	return &SyntaxError{Column: pos + 1, Text: text, Fix: mend}
}

// unexpected returns the text of an error about the next character.
func (p *parser) unexpected() string {
	if p.atEnd() {
		return "the expression ends here"
	}
	return fmt.Sprintf("%q is not expected here", rune(p.text[p.pos]))
}

func (p *parser) requirement() (model.Requirement, error) {
	negated := p.accept("!")
	label, start := p.word(model.IsLabelChar)
	if label == "exists" && p.accept("(") {
		return p.existsRequirement(negated)
	}
	if negated {
		return model.Requirement{}, p.errorAt(start, "only exists can follow !", "write !exists(label), label != value or label notin (a, b)")
	}
	if label == "" {
		return model.Requirement{}, p.errorAt(start, p.unexpected(), "begin a requirement with a label, exists( or !exists(")
	}
	if len(label) > model.MaxLabelLength {
		return model.Requirement{}, p.errorAt(start, "the label is too long", fmt.Sprintf("keep it to %d bytes", model.MaxLabelLength))
	}
	return p.comparison(label)
}

func (p *parser) existsRequirement(negated bool) (model.Requirement, error) {
	label, start := p.word(model.IsLabelChar)
	if label == "" || len(label) > model.MaxLabelLength {
		return model.Requirement{}, p.errorAt(start, "a label is missing or too long", "write exists(label)")
	}
	if !p.accept(")") {
		return model.Requirement{}, p.errorAt(p.pos, p.unexpected(), "close exists( with )")
	}
	op := model.Exists
	if negated {
		op = model.NotExists
	}
	return model.Requirement{Label: label, Op: op}, nil
}

func (p *parser) comparison(label string) (model.Requirement, error) {
	if p.accept("!=") {
		return p.singleValue(label, model.NotEquals)
	}
	if p.accept("==") || p.accept("=") {
		return p.singleValue(label, model.Equals)
	}
	word, start := p.word(model.IsLabelChar)
	switch word {
	case "in":
		return p.valueList(label, model.In)
	case "notin":
		return p.valueList(label, model.NotIn)
	case "":
		return model.Requirement{}, p.errorAt(start, p.unexpected(), "follow the label with =, !=, in or notin, or write exists(label)")
	}
	return model.Requirement{}, p.errorAt(start, fmt.Sprintf("%q is not an operator", word), "use =, !=, in or notin")
}

func (p *parser) singleValue(label string, op model.Op) (model.Requirement, error) {
	value, err := p.value()
	if err != nil {
		return model.Requirement{}, err
	}
	return model.Requirement{Label: label, Op: op, Values: []string{value}}, nil
}

func (p *parser) valueList(label string, op model.Op) (model.Requirement, error) {
	r := model.Requirement{Label: label, Op: op}
	if !p.accept("(") {
		return r, p.errorAt(p.pos, p.unexpected(), fmt.Sprintf("write the values as %s (a, b)", op))
	}
	for {
		value, err := p.value()
		if err != nil {
			return r, err
		}
		if r.Values = append(r.Values, value); len(r.Values) > model.MaxValues {
			return r, p.errorAt(p.pos, "there are too many values", fmt.Sprintf("keep at most %d", model.MaxValues))
		}
		if p.accept(")") {
			return r, nil
		}
		if !p.accept(",") {
			return r, p.errorAt(p.pos, p.unexpected(), "separate values by commas and close the list with )")
		}
	}
}

func (p *parser) value() (string, error) {
	value, start := p.word(model.IsValueChar)
	if value == "" {
		return "", p.errorAt(start, p.unexpected(), "give a value of letters, digits and ._-/:@+")
	}
	if len(value) > model.MaxValueLength {
		return "", p.errorAt(start, "the value is too long", fmt.Sprintf("keep it to %d bytes", model.MaxValueLength))
	}
	return value, nil
}

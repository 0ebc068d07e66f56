package caller

import (
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"tarragongw/core/fault"
	"tarragongw/core/model"
	"tarragongw/core/request"
)

// anonymous is the name of a caller for which the rule finds none.
const anonymous = "anonymous"

// source holds the parts of a request from which rules extract fields.
type source struct {
	header http.Header
	host   string
	// rest is the path after the prefix of the rule. escaped means that rest is still
	// percent-encoded.
	rest    string
	escaped bool
	query   string
}

var (
	errAmbiguous        = fault.New(fault.BadRequest, "a field that the router reads is given twice with different values")
	errBadEscape        = fault.New(fault.BadRequest, "a field that the router reads is escaped wrongly")
	errNotPrintable     = fault.New(fault.BadRequest, "the key or the caller's name is not printable UTF-8")
	errTooLong          = fault.New(fault.TooLarge, "the key or the caller's name is too long")
	errNoKey            = fault.New(fault.KeyMissing, "")
	errBadClass         = fault.New(fault.BadRequest, "the class is neither interactive nor batch")
	errBadRepeatability = fault.New(fault.BadRequest, "the repeatability is none of true, false, repeatable and at-most-once")
	errDotSegments      = fault.New(fault.BadRequest, "the path has dot segments")
	errNoRoute          = fault.New(fault.NoRoute, "")
)

// read returns the field that e selects, or its default. A field that is given twice with
// different values is refused: the router and the target might each pick another one, and the
// request would run on a target that does not own the key.
func (s *source) read(e *model.Extract) (string, *fault.Fault) {
	var value string
	var f *fault.Fault
	switch e.From {
	case model.FromHeader:
		value, f = s.fromHeader(e.Name)
	case model.FromPath:
		value, f = s.fromPath(e.Segment)
	case model.FromQuery:
		value, f = s.fromQuery(e.Name)
	}
	if f != nil {
		return "", f
	}
	if value == "" {
		return e.Default, nil
	}
	return value, nil
}

func (s *source) fromHeader(name string) (string, *fault.Fault) {
	if name == "Host" {
		return hostName(s.host), nil
	}
	values := s.header[name]
	if len(values) == 0 {
		return "", nil
	}
	for _, other := range values[1:] {
		if other != values[0] {
			return "", errAmbiguous
		}
	}
	return values[0], nil
}

func (s *source) fromPath(index int) (string, *fault.Fault) {
	path := s.rest
	for {
		segment, rest, ok := nextSegment(path)
		if !ok {
			return "", nil
		}
		if index == 0 {
			return s.unescapeSegment(segment)
		}
		index--
		path = rest
	}
}

func (s *source) unescapeSegment(segment string) (string, *fault.Fault) {
	if !s.escaped {
		return segment, nil
	}
	plain, err := url.PathUnescape(segment)
	if err != nil {
		return "", errBadEscape
	}
	return plain, nil
}

func (s *source) fromQuery(name string) (string, *fault.Fault) {
	value, found := "", false
	for rest := s.query; rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, "&")
		rawName, rawValue, _ := strings.Cut(pair, "=")
		plainName, err := unescapeQuery(rawName)
		if err != nil || plainName != name {
			continue
		}
		plain, err := unescapeQuery(rawValue)
		if err != nil {
			return "", errBadEscape
		}
		if found && plain != value {
			return "", errAmbiguous
		}
		value, found = plain, true
	}
	return value, nil
}

func unescapeQuery(s string) (string, error) {
	if !strings.ContainsAny(s, "%+") {
		return s, nil
	}
	return url.QueryUnescape(s)
}

// hasDotSegments reports whether the path has a segment "." or "..", also if it was
// percent-encoded. A target that resolves such segments would see another key than the router.
func hasDotSegments(u *url.URL) bool {
	if !strings.Contains(u.Path, "/.") {
		return false
	}
	for path := u.Path; path != ""; {
		segment, rest, ok := nextSegment(path)
		if !ok || segment == "." || segment == ".." {
			return true
		}
		path = rest
	}
	return false
}

// identify sets the service, key, caller, class and repeatability in m.
func (r *rule) identify(s *source, method string, maxBytes int, m *request.Meta) *fault.Fault {
	m.Service = r.service.Name
	var f *fault.Fault
	if m.Key, f = s.name(&r.key, maxBytes); f != nil {
		return f
	}
	if m.Key == "" && r.service.Division == model.ByKey {
		return errNoKey
	}
	if m.Caller, f = s.name(&r.caller, maxBytes); f != nil {
		return f
	}
	if m.Caller == "" {
		m.Caller = anonymous
	}
	if m.Class, f = s.class(&r.class); f != nil {
		return f
	}
	m.Repeatable, f = s.repeatable(&r.repeatable, method)
	return f
}

// name returns a key or the name of a caller. Both go into records and envelopes whose codec
// accepts only UTF-8, and into logs and metrics.
func (s *source) name(e *model.Extract, maxBytes int) (string, *fault.Fault) {
	value, f := s.read(e)
	if f != nil {
		return "", f
	}
	if len(value) > maxBytes {
		return "", errTooLong
	}
	if !printable(value) {
		return "", errNotPrintable
	}
	return value, nil
}

func printable(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' || s[i] == 0x7f {
			return false
		}
	}
	return utf8.ValidString(s)
}

func (s *source) class(e *model.Extract) (request.Class, *fault.Fault) {
	value, f := s.read(e)
	if f != nil || value == "" {
		return request.Interactive, f
	}
	class, ok := request.ParseClass(value)
	if !ok {
		return class, errBadClass
	}
	return class, nil
}

func (s *source) repeatable(e *model.Extract, method string) (bool, *fault.Fault) {
	value, f := s.read(e)
	if f != nil {
		return false, f
	}
	if value == "" {
		return request.RepeatableMethod(method), nil
	}
	repeatable, ok := request.ParseRepeatable(value)
	if !ok {
		return false, errBadRepeatability
	}
	return repeatable, nil
}

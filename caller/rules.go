package caller

import (
	"net/http"
	"net/textproto"
	"net/url"
	"sort"
	"strings"

	"tarragongw/core/model"
)

// ruleSet is a model compiled for the request path. It is immutable.
type ruleSet struct {
	// model is the revision of the model.
	model   uint64
	byHost  map[string][]*rule
	anyHost []*rule
	callers map[string]map[string]string
}

// rule holds the extraction rules of one service.
type rule struct {
	service *model.Service
	// prefix has no slash at its end. If slash is set, the path must have one there.
	prefix string
	slash  bool
	// segments are those of the prefix. If encodedSlash is set, one of them has a slash, and paths are compared by them only.
	segments     []string
	encodedSlash bool
	key          model.Extract
	caller       model.Extract
	class        model.Extract
	deadline     model.Extract
	repeatable   model.Extract
}

// compile compiles a model. See Config.StrictPrefixes for strict.
func compile(m *model.Model, strict bool) *ruleSet {
	set := &ruleSet{model: m.Revision, byHost: map[string][]*rule{}, callers: make(map[string]map[string]string, len(m.Callers))}
	for i := range m.Services {
		set.add(newRule(&m.Services[i], strict))
	}
	sortRules(set.anyHost)
	for _, rules := range set.byHost {
		sortRules(rules)
	}
	for _, c := range m.Callers {
		set.callers[c.Name] = c.Labels
	}
	return set
}

func newRule(s *model.Service, strict bool) *rule {
	r := &rule{
		service:    s,
		prefix:     strings.TrimRight("/"+strings.TrimLeft(s.PathPrefix, "/"), "/"),
		key:        canonical(s.Key),
		caller:     canonical(s.Caller),
		class:      canonical(s.Class),
		deadline:   canonical(s.Deadline),
		repeatable: canonical(s.Repeatable),
	}
	if strict {
		r.prefix, r.slash = strings.CutSuffix(s.PathPrefix, "/")
	}
	if r.prefix != "" {
		r.segments = strings.Split(r.prefix[1:], "/")
	}
	r.unescapePrefix()
	return r
}

// unescapePrefix has the prefix compared in plain form, as paths are.
func (r *rule) unescapePrefix() {
	plain, err := url.PathUnescape(r.prefix)
	if err != nil || plain == r.prefix {
		return // a prefix with a wrong escape begins no path
	}
	r.encodedSlash = strings.Count(plain, "/") > len(r.segments)
	r.prefix = plain
	for i, segment := range r.segments {
		r.segments[i], _ = url.PathUnescape(segment) // the whole could be unescaped
	}
}

func canonical(e model.Extract) model.Extract {
	if e.From == model.FromHeader {
		e.Name = textproto.CanonicalMIMEHeaderKey(e.Name)
	}
	return e
}

func (s *ruleSet) add(r *rule) {
	if len(r.service.Hosts) == 0 {
		s.anyHost = append(s.anyHost, r)
	}
	for _, host := range r.service.Hosts {
		host = hostName(host)
		s.byHost[host] = append(s.byHost[host], r)
	}
}

func sortRules(rules []*rule) {
	sort.SliceStable(rules, func(i, j int) bool { return len(rules[i].prefix) > len(rules[j].prefix) })
}

// find returns the rule with the longest matching prefix among the services of the host, or
// else among those for any host, and the rest of the path after the prefix. The rest is
// percent-encoded if the URL keeps an encoded path (RawPath).
func (s *ruleSet) find(host string, u *url.URL) (*rule, string) {
	if r, rest := longestMatch(s.byHost[hostName(host)], u); r != nil {
		return r, rest
	}
	return longestMatch(s.anyHost, u)
}

// match returns the rule of the request, or nil, and the source to extract its fields from.
func (s *ruleSet) match(r *http.Request) (*rule, source) {
	found, rest := s.find(r.Host, r.URL)
	return found, source{header: r.Header, host: r.Host, rest: rest, escaped: r.URL.RawPath != "", query: r.URL.RawQuery}
}

func longestMatch(rules []*rule, u *url.URL) (*rule, string) {
	for _, r := range rules {
		if rest, ok := r.match(u); ok {
			return r, rest
		}
	}
	return nil, ""
}

// match returns the rest of the path after the prefix. The rest is empty or begins with a slash.
func (r *rule) match(u *url.URL) (rest string, ok bool) {
	switch {
	case u.RawPath != "":
		rest, ok = r.matchEscaped(u.RawPath)
	case r.encodedSlash:
		rest, ok = r.matchEscaped(u.EscapedPath())
	default:
		rest, ok = strings.CutPrefix(u.Path, r.prefix)
	}
	if rest == "" {
		return "", ok && !r.slash
	}
	return rest, ok && rest[0] == '/'
}

// matchEscaped compares segment by segment. An encoded slash is part of its segment; treating
// it as a separator would let a path under one prefix match another.
func (r *rule) matchEscaped(path string) (string, bool) {
	for _, want := range r.segments {
		segment, rest, ok := nextSegment(path)
		if !ok {
			return "", false
		}
		plain, err := url.PathUnescape(segment)
		if err != nil || plain != want {
			return "", false
		}
		path = rest
	}
	return path, true
}

// nextSegment splits "/a/b" into "a" and "/b".
func nextSegment(path string) (segment, rest string, ok bool) {
	if path == "" || path[0] != '/' {
		return "", "", false
	}
	path = path[1:]
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:], true
	}
	return path, "", true
}

// hostName returns the host in lower case without port and trailing dot.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

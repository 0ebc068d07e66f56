package caller

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/model"
	"tarragongw/core/request"
)

func findRoute(t *testing.T, set *ruleSet, host, target string) string {
	t.Helper()
	u, err := url.ParseRequestURI(target)
	assert.NilError(t, err)
	r, rest := set.find(host, u)
	if r == nil {
		return ""
	}
	return r.service.Name + " " + rest
}

func TestServiceIsFoundByHostAndLongestPrefix(t *testing.T) {
	set := compile(&model.Model{Services: []model.Service{
		{Name: "root", PathPrefix: "/"},
		{Name: "faq", PathPrefix: "/faq/"},
		{Name: "photos", PathPrefix: "/faq/photos"},
		{Name: "ledger", PathPrefix: "/pay", Hosts: []string{"Ledger.example", "[::1]"}},
	}}, false)
	for _, example := range []struct{ host, target, want string }{
		{"any", "/", "root /"},
		{"any", "/faq", "faq "},
		{"any", "/faqs/x", "root /faqs/x"},
		{"any", "/faq/photos/7", "photos /7"},
		{"any", "/pay/1", "root /pay/1"},
		{"LEDGER.example.:8080", "/pay/1", "ledger /1"},
		{"[::1]:80", "/pay/1", "ledger /1"},
		{"ledger.example", "/faq/1", "faq /1"},
		{"any", "/f%61q/a%2Fb", "faq /a%2Fb"},
		{"any", "/faq%2Fphotos/7", "root /faq%2Fphotos/7"},
		{"any", "*", ""},
	} {
		assert.Equal(t, findRoute(t, set, example.host, example.target), example.want, example.target)
	}
}

// Guards against a request that goes to a service whose prefix does not begin its path.
func TestStrictPrefixIncludesItsLastSlash(t *testing.T) {
	set := compile(&model.Model{Services: []model.Service{
		{Name: "root", PathPrefix: "/", Hosts: []string{"shop"}},
		{Name: "lots", PathPrefix: "/lots/", Hosts: []string{"shop", "pay"}},
		{Name: "double", PathPrefix: "/lots//", Hosts: []string{"shop"}},
		{Name: "second", PathPrefix: "//lots/", Hosts: []string{"shop"}},
	}}, true)
	for _, example := range []struct{ host, target, want string }{
		{"shop", "/lots/", "lots /"},
		{"shop", "/lots/7", "lots /7"},
		{"shop", "/%6Cots/a%2Fb", "lots /a%2Fb"},
		{"shop", "/lots//7", "double /7"},
		{"shop", "//lots/7", "second /7"},
		{"shop", "/lots", "root /lots"},
		{"shop", "/lots?a=/lots/", "root /lots"},
		{"shop", "/%6Cot%73%2F", "root /%6Cot%73%2F"},
		{"shop", "/%6Cot%21", "root /%6Cot%21"},
		{"shop", "/lot", "root /lot"},
		{"pay", "/lots", ""},
		{"pay", "/lots%2F", ""},
		{"pay", "//lots/7", ""},
		{"shop", "*", ""},
	} {
		assert.Equal(t, findRoute(t, set, example.host, example.target), example.want, example.target)
	}
}

// Guards against a route that is never found, because its prefix is compared with plain paths as it is escaped.
func TestPrefixWithAnEscapeIsFound(t *testing.T) {
	set := compile(&model.Model{Services: []model.Service{
		{Name: "root", PathPrefix: "/"}, {Name: "fish", PathPrefix: "/%E9%AD%9A/"}, {Name: "slash", PathPrefix: "/a%2fb/"},
		{Name: "raw", PathPrefix: "/|{1}/"}, {Name: "wrong", PathPrefix: "/%zz/"},
	}}, true)
	for target, want := range map[string]string{
		"/%E9%AD%9A/1": "fish /1", "/%e9%ad%9a/1": "fish /1", "/\u9b5a/1": "fish /1", "/%E9%AD%9A": "root /\u9b5a", "/%E9%AD%9A1/": "root /\u9b5a1/",
		"/a%2Fb/1": "slash /1", "/a%2Fb%21/1": "root /a%2Fb%21/1", "/a/b/1": "root /a/b/1", "/|{1}/1": "raw /1", "/%7C%7B1%7D/1": "raw /1",
	} {
		assert.Equal(t, findRoute(t, set, "any", target), want, target)
	}
}

func TestFieldSources(t *testing.T) {
	src := source{
		header: http.Header{"X-Key": {"h"}, "X-Same": {"s", "s"}, "X-Two": {"a", "b"}},
		host:   "Stall.example:80", rest: "/a%2Fb//c", escaped: true,
		query: "k=v%20w&two=1&two=2&same=1&same=1&bad=%zz&pl+us=1&empty=",
	}
	for _, example := range []struct {
		rule model.Extract
		want string
		f    *fault.Fault
	}{
		{model.Extract{From: model.FromHeader, Name: "X-Key"}, "h", nil},
		{model.Extract{From: model.FromHeader, Name: "X-Same"}, "s", nil},
		{model.Extract{From: model.FromHeader, Name: "X-Two"}, "", errAmbiguous},
		{model.Extract{From: model.FromHeader, Name: "X-None", Default: "d"}, "d", nil},
		{model.Extract{From: model.FromHeader, Name: "Host"}, "stall.example", nil},
		{model.Extract{From: model.FromPath, Segment: 0}, "a/b", nil},
		{model.Extract{From: model.FromPath, Segment: 1, Default: "d"}, "d", nil},
		{model.Extract{From: model.FromPath, Segment: 2}, "c", nil},
		{model.Extract{From: model.FromPath, Segment: 3}, "", nil},
		{model.Extract{From: model.FromQuery, Name: "k"}, "v w", nil},
		{model.Extract{From: model.FromQuery, Name: "same"}, "1", nil},
		{model.Extract{From: model.FromQuery, Name: "two"}, "", errAmbiguous},
		{model.Extract{From: model.FromQuery, Name: "bad"}, "", errBadEscape},
		{model.Extract{From: model.FromQuery, Name: "pl us"}, "1", nil},
		{model.Extract{From: model.FromQuery, Name: "empty", Default: "d"}, "d", nil},
		{model.Extract{Default: "d"}, "d", nil},
	} {
		got, f := src.read(&example.rule)
		assert.Equal(t, got, example.want, "%+v", example.rule)
		assert.Equal(t, f, example.f, "%+v", example.rule)
	}
}

func TestTimeLeft(t *testing.T) {
	rule := model.Extract{From: model.FromHeader, Name: "X-Deadline"}
	for _, example := range []struct {
		value   string
		timeout time.Duration
		want    time.Duration
		f       *fault.Fault
	}{
		{"", 0, 0, nil},
		{"", time.Second, time.Second, nil},
		{"250", time.Second, 250 * time.Millisecond, nil},
		{"1.5s", time.Minute, 1500 * time.Millisecond, nil},
		{"2m", time.Second, time.Second, nil},
		{"9223372036854775807", 0, time.Duration(maxMillis) * time.Millisecond, nil},
		{"0", time.Second, 0, errDeadlinePassed},
		{"-5ms", time.Second, 0, errDeadlinePassed},
		{"-9223372036854775808", time.Second, 0, errBadDeadline},
		{"soon", time.Second, 0, errBadDeadline},
	} {
		src := source{header: http.Header{"X-Deadline": {example.value}}}
		got, f := src.timeLeft(&rule, example.timeout)
		assert.Equal(t, got, example.want, example.value)
		assert.Equal(t, f, example.f, example.value)
	}
}

func TestBadFieldsAreRefused(t *testing.T) {
	set := compile(testModel(), false)
	for _, example := range []struct {
		target string
		header http.Header
		want   *fault.Fault
	}{
		{"/faq", nil, errNoKey},
		{"/faq/", nil, errNoKey},
		{"/faq/a%00b", nil, errNotPrintable},
		{"/faq/%ff", nil, errNotPrintable},
		{"/faq/" + strings.Repeat("k", 1025), nil, errTooLong},
		{"/faq/k", http.Header{"X-Class": {"urgent"}}, errBadClass},
		{"/faq/k?repeat=perhaps", nil, errBadRepeatability},
		{"/faq/k", http.Header{"X-Caller": {"a", "b"}}, errAmbiguous},
	} {
		r := httptest.NewRequest("GET", example.target, nil)
		rule, rest := set.find(r.Host, r.URL)
		src := source{header: example.header, rest: rest, escaped: r.URL.RawPath != "", query: r.URL.RawQuery}
		var m request.Meta
		assert.Equal(t, rule.identify(&src, "GET", 1024, &m), example.want, example.target)
	}
}

// Guards against a key that is served by a target that does not own it. For /faq/a/../b the
// router would extract the key "a" and forward to its owner, which resolves the path and works
// on "b".
func TestDotSegmentsAreRefused(t *testing.T) {
	s := startServer(t, Config{}, answerWhole)
	for _, path := range []string{"/faq/a/../b", "/faq/./a", "/faq/a/%2e%2e/b", "/faq/..", "/.."} {
		r, err := http.NewRequest("GET", s.url, nil)
		assert.NilError(t, err)
		r.URL.Opaque = path
		resp, err := newClient(t, 1).Do(r)
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.Header.Get("Tarragon-Error"), "bad_request", path)
	}
	resp := do(t, newClient(t, 1), "GET", s.url+"/faq/..a/.b/c..", nil)
	assert.Equal(t, resp.StatusCode, 200)
}

// FuzzExtract checks that any request is either refused or yields a key and a caller's name
// that are fit for records and logs and a time left within the service's timeout, and that
// strip handles its path.
func FuzzExtract(f *testing.F) {
	f.Add("/faq/stall-7?repeat=true", "ramen-kai", "250")
	f.Add("/faq/a%2Fb/../c", "", "1s")
	f.Add("/f%61q/%ff", "x\x00", "-1")
	f.Add("/faq//a;b=c?repeat=a&repeat=b&%zz", "y", "9223372036854775807")
	set := compile(testModel(), false)
	f.Fuzz(func(t *testing.T, target, name, deadline string) {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		rule, rest := set.find("any", u)
		if rule == nil {
			return
		}
		header := http.Header{"X-Caller": {name}, "X-Deadline": {deadline}}
		src := source{header: header, rest: rest, escaped: u.RawPath != "", query: u.RawQuery}
		var m request.Meta
		if rule.identify(&src, "GET", 64, &m) != nil {
			return
		}
		for _, name := range []string{m.Key, m.Caller} {
			if len(name) > 64 || !utf8.ValidString(name) || strings.ContainsAny(name, "\x00\r\n\t\x7f") {
				t.Fatalf("%q was accepted", name)
			}
		}
		if m.Caller == "" || m.Service == "faq-viewer" && m.Key == "" {
			t.Fatalf("incomplete: %+v", m)
		}
		if left, fl := src.timeLeft(&rule.deadline, rule.service.Timeout); fl == nil && rule.service.Timeout > 0 &&
			(left <= 0 || left > rule.service.Timeout) {
			t.Fatalf("time left %v", left)
		}
		rule.strip(&http.Request{URL: u}, rest)
	})
}

package dev_test

import (
	"context"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/dev"
)

// problems returns the status of a router as one text.
func problems(t *testing.T, s *dev.System, router int) string {
	t.Helper()
	status, err := s.Operator(router).Status(context.Background())
	assert.NilError(t, err)
	var lines []string
	for _, p := range status.Problems {
		lines = append(lines, p.What)
	}
	return strings.Join(lines, "\n")
}

func TestStatusTellsWhatIsWrong(t *testing.T) {
	s := startPair(t)
	eventually(t, "nothing is wrong", func() bool { return problems(t, s, 0) == "" })
	s.Platform.SetDown(true)
	eventually(t, "a watcher tells of the store", func() bool {
		for i := range s.Routers {
			if strings.Contains(problems(t, s, i), "the store does not answer") {
				return true
			}
		}
		return false
	})
	s.Platform.SetDown(false)
	gone := s.Routers[1].Name()
	s.Routers[1].Abort()
	eventually(t, "the lost router is named", func() bool {
		return strings.Contains(problems(t, s, 0), "router "+gone)
	})
	eventually(t, "all is served again", func() bool {
		return !strings.Contains(problems(t, s, 0), "not served")
	})
}

// Symptom: an operator sees keys that are not served and no cause.
// Sequence: the only router of a data centre is parted from both of its targets, while
// it reaches the store.
// Cause: a loss that is held back, since too many are silent at once, is told to nobody.
func TestStatusTellsOfHeldLosses(t *testing.T) {
	links := dev.NewLinks()
	s := start(t, dev.Config{Model: faqModel(checksNothing), Links: links})
	for _, target := range []string{"work-00", "work-03"} {
		links.Cut(s.Routers[0].Name(), target)
	}
	eventually(t, "the status names the silent targets", func() bool {
		return strings.Contains(problems(t, s, 0), "are silent to this router and are not declared lost")
	})
	links.Heal()
	eventually(t, "nothing is wrong", func() bool { return problems(t, s, 0) == "" })
}

func TestMetricsAndHealthAreThere(t *testing.T) {
	s := start(t, dev.Config{Model: loadExample(t, "shiretoko")})
	decode(t, do("GET", s.CallerURL(0)+"/faq-viewer/a", ""))
	base := s.Operator(0).Base
	for _, path := range []string{"/livez", "/readyz", "/version", "/status", "/debug/pprof/"} {
		got := do("GET", base+path, "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200, path)
	}
	eventually(t, "metrics of the request", func() bool {
		text := do("GET", base+"/metrics", "").body
		for _, want := range []string{"config_revision", "units_unserved", "duties", "store_call", `service="faq_viewer"`} {
			if !strings.Contains(text, want) && !strings.Contains(text, strings.ReplaceAll(want, "_", "-")) {
				return false
			}
		}
		return true
	})
}

// Guards against a router whose metrics don't tell whether its writes are protected.
func TestMetricsTellOfProtectedWrites(t *testing.T) {
	s := start(t, dev.Config{Model: loadExample(t, "shiretoko")})
	decode(t, do("GET", s.CallerURL(0)+"/faq-viewer/a", ""))
	metric := func(name, value string) *regexp.Regexp {
		return regexp.MustCompile(`(?m)^tarragongw_` + name + `\{[^}]*\} ` + value + `$`)
	}
	eventually(t, "metrics of writes", func() bool {
		text := do("GET", s.Operator(0).Base+"/metrics", "").body
		return metric("lease_write_protection", "1").MatchString(text) &&
			metric("lease_writes_protected_total", "[1-9].*").MatchString(text) &&
			metric("lease_writes_unprotected_total", ".+").MatchString(text) &&
			metric("lease_write_restarts_total", ".+").MatchString(text)
	})
}

// Symptom: an operator takes a list of revisions for whole although a router is missing
// in it.
// Sequence: a router dies; all are asked before its loss is known and after.
// Cause: who does not answer is left out, or shown by another's report as if it had.
func TestRoutersThatDoNotAnswerAreNamed(t *testing.T) {
	s := startPair(t)
	silent := func() map[string]bool {
		all, err := s.Operator(0).Revisions(context.Background(), true)
		assert.NilError(t, err)
		found := map[string]bool{}
		for _, r := range all {
			found[r.Router] = r.Silent
		}
		return found
	}
	eventually(t, "all answer", func() bool {
		found := silent()
		for _, r := range s.Routers {
			if quiet, named := found[r.Name()]; !named || quiet {
				return false
			}
		}
		return true
	})
	gone := s.Routers[1].Name()
	s.Routers[1].Abort()
	for range 2 {
		found := silent()
		quiet, named := found[gone]
		assert.Assert(t, named && quiet, "%v", found)
		assert.Assert(t, !found[s.Routers[0].Name()])
	}
}

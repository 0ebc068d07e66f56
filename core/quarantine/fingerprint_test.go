package quarantine

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintCoversEachField(t *testing.T) {
	base := Content{Method: "GET", Scope: "h", URI: "/a?b", Caller: "c", Credentials: "d", Key: "e", Body: []byte("f")}
	seen := map[Fingerprint]string{base.Fingerprint(): "base"}
	for name, change := range map[string]func(c *Content){
		"method": func(c *Content) { c.Method = "PUT" }, "scope": func(c *Content) { c.Scope = "" }, "uri": func(c *Content) { c.URI = "/a" },
		"caller": func(c *Content) { c.Caller = "x" }, "credentials": func(c *Content) { c.Credentials = "x" },
		"key": func(c *Content) { c.Key = "x" }, "body": func(c *Content) { c.Body = nil },
		"moved": func(c *Content) { c.Caller, c.Credentials = "cd", "" },
	} {
		changed := base
		change(&changed)
		f := changed.Fingerprint()
		assert.Equal(t, seen[f], "", name)
		seen[f] = name
	}
}

func TestFingerprintCoversTheFirstBytesOfTheBody(t *testing.T) {
	long := bytes.Repeat([]byte("x"), BodyBytes+1)
	a, b := Content{Body: long[:BodyBytes]}, Content{Body: long}
	assert.Equal(t, a.Fingerprint(), b.Fingerprint())
	b.Body = long[:BodyBytes-1]
	assert.Assert(t, a.Fingerprint() != b.Fingerprint())
}

func TestFingerprintIsReadFromItsDigits(t *testing.T) {
	f := (&Content{URI: "/"}).Fingerprint()
	parsed, ok := ParseFingerprint(f.String())
	assert.Assert(t, ok && parsed == f)
	for _, wrong := range []string{"", "zz", f.String()[2:], f.String() + "00"} {
		_, ok := ParseFingerprint(wrong)
		assert.Assert(t, !ok, wrong)
	}
}

package gateway

import (
	"strings"

	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/quarantine"
)

const (
	headerAuthorization = "Authorization"
	// headerSeparator separates the values of a header in a fingerprint; it can't be part of one.
	headerSeparator = "\n"
)

// suspect returns the request's fingerprint. It returns false if too little of the body has been
// read for one.
func (x *exchange) suspect() (quarantine.Suspect, bool) {
	if x.fingerprinted != nil {
		return *x.fingerprinted, true
	}
	head, known := x.body.Head(quarantine.BodyBytes)
	if !known {
		return quarantine.Suspect{}, false
	}
	content := &quarantine.Content{
		Method: x.r.Method, Host: x.r.Host, URI: x.r.RequestURI, Caller: x.meta.Caller,
		Credentials: strings.Join(x.r.Header[headerAuthorization], headerSeparator),
		Key:         strings.Join(x.r.Header[x.g.opts.Adapter.Headers.Key], headerSeparator),
		Body:        head,
	}
	x.fingerprinted = &quarantine.Suspect{Fingerprint: content.Fingerprint(), URIHash: quarantine.HashURI(x.r.RequestURI)}
	return *x.fingerprinted, true
}

// brokeOff reports whether a target ended the connection of a request without a whole answer.
func brokeOff(f *fault.Fault) bool {
	return f.Kind == fault.AnswerTruncated || f.Kind == fault.TargetLost && f.Cause != nil
}

// noteBrokenSend has the target checked if its connection broke, and returns the request's
// fingerprint for the log; empty if there is none.
func (x *exchange) noteBrokenSend(d *dispatch.Decision, f *fault.Fault) string {
	if f.Kind == fault.TargetUnreachable {
		x.g.crashes.connectFailed(&d.Target, f)
	}
	if !brokeOff(f) {
		return ""
	}
	suspect, known := x.suspect()
	if !known {
		return ""
	}
	x.g.crashes.brokeOff(&d.Target, suspect)
	return suspect.Fingerprint.String()
}

package crashguard

import (
	"net/http"
	"strings"

	"tarragongw/core/fault"
	"tarragongw/core/quarantine"
	"tarragongw/replay"
)

const (
	headerAuthorization = "Authorization"
	// headerSeparator separates the values of a header in a fingerprint; it can't be part of one.
	headerSeparator = "\n"
	// MaxBrokenSends is how many targets may break off one attempt of a caller until it is no longer
	// sent again: each of them may have crashed.
	MaxBrokenSends = 2
)

// Request is one attempt of a caller, as the guard sees it. It is not safe for concurrent use.
type Request struct {
	// HTTP is the request as the caller sent it, and Body its body; nil if it has none.
	HTTP *http.Request
	Body *replay.Body
	ID   string
	// Service, Caller and Key are what the router knows of the request, and Scope is that of its
	// fingerprint.
	Service, Caller, Key, Scope string
	// suspect is set once the fingerprint was needed.
	suspect *quarantine.Suspect
	// broken counts the sends that their targets broke off.
	broken int
}

// MayResend reports whether so few targets have broken off the request that it may be sent again.
func (r *Request) MayResend() bool { return r.broken < MaxBrokenSends }

// Fingerprint returns the request's fingerprint; false if too little of the body has been read for one.
func (r *Request) Fingerprint() (quarantine.Suspect, bool) {
	if r.suspect != nil {
		return *r.suspect, true
	}
	head, known := r.Body.Head(quarantine.BodyBytes)
	if !known {
		return quarantine.Suspect{}, false
	}
	r.suspect = &quarantine.Suspect{Fingerprint: r.content(head).Fingerprint(), URIHash: quarantine.HashURI(r.HTTP.RequestURI)}
	return *r.suspect, true
}

func (r *Request) content(body []byte) *quarantine.Content {
	return &quarantine.Content{
		Method: r.HTTP.Method, Scope: r.Scope, URI: r.HTTP.RequestURI, Caller: r.Caller,
		Credentials: strings.Join(r.HTTP.Header[headerAuthorization], headerSeparator), Key: r.Key, Body: body,
	}
}

// asSuspect returns the request's fingerprint, or that of its head if too little of its body has been read.
func (r *Request) asSuspect() quarantine.Suspect {
	if suspect, known := r.Fingerprint(); known {
		return suspect
	}
	return quarantine.Suspect{Fingerprint: r.content(nil).HeadFingerprint(), URIHash: quarantine.HashURI(r.HTTP.RequestURI)}
}

// awaitFingerprint is Fingerprint after as much of the body has been read as it needs.
func (r *Request) awaitFingerprint() (quarantine.Suspect, bool) {
	if r.suspect == nil && r.Body != nil {
		// A body that ends early, or whose caller has left, has no fingerprint if too little was read.
		_ = r.Body.Prefetch(quarantine.BodyBytes)
	}
	return r.Fingerprint()
}

// brokeOff reports whether a target ended the connection of a request without a whole answer.
func brokeOff(f *fault.Fault) bool {
	return f.Kind == fault.AnswerTruncated || f.Kind == fault.TargetLost
}

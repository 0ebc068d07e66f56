// Package quarantine decides which requests are no longer sent because they crash the targets
// that run them. It does no I/O.
package quarantine

// Suspect is a request that was in flight at a target when that crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// URIHash is the HashURI of the request's path and query.
	URIHash uint64
}

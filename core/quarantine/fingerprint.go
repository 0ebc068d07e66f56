package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// BodyBytes is how many bytes of a request's body a fingerprint covers. Bodies that differ only
// after them have the same fingerprint, whether they are sent with a length or in chunks.
const BodyBytes = 16 << 10

// FingerprintBytes is the length of a fingerprint.
const FingerprintBytes = 16

// Fingerprint identifies requests that ask for the same work. It doesn't depend on the request's id,
// its deadline, or the router that received it.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits, as in logs and operators' commands.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint returns the fingerprint with the hexadecimal digits; false if they are not one.
func ParseFingerprint(digits string) (Fingerprint, bool) {
	decoded, err := hex.DecodeString(digits)
	if err != nil {
		return Fingerprint{}, false
	}
	return FingerprintOf(decoded)
}

// FingerprintOf returns the fingerprint with the bytes; false if their number is wrong.
func FingerprintOf(bytes []byte) (f Fingerprint, ok bool) {
	if len(bytes) != len(f) {
		return f, false
	}
	copy(f[:], bytes)
	return f, true
}

// Content is what a fingerprint covers.
type Content struct {
	Method, URI string
	// Scope is what the URI belongs to: a host name, or a service where callers may address a router
	// by its own name.
	Scope string
	// Caller is the caller's name where the router knows it, and Credentials are those that the
	// request carries. With them, no caller can have the requests of another one refused.
	Caller, Credentials string
	// Key is the key by which the request is routed.
	Key string
	// Body has the first BodyBytes bytes of the body, or all of it.
	Body []byte
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	var encoded []byte
	for _, field := range []string{c.Method, c.Scope, c.URI, c.Caller, c.Credentials, c.Key} {
		encoded = binary.AppendUvarint(encoded, uint64(len(field)))
		encoded = append(encoded, field...)
	}
	encoded = append(encoded, c.Body[:min(len(c.Body), BodyBytes)]...)
	sum := sha256.Sum256(encoded)
	return Fingerprint(sum[:FingerprintBytes])
}

// headMark is what the fingerprints of heads begin with.
var headMark = [4]byte{'h', 'e', 'a', 'd'}

// HeadFingerprint returns the fingerprint of a request of whose body too little is known for one of its content.
func (c *Content) HeadFingerprint() Fingerprint {
	head := *c
	head.Body = nil
	f := head.Fingerprint()
	copy(f[:], headMark[:])
	return f
}

// OfHead reports whether the fingerprint is that of a head. No request with such an entry is refused, but requests with its URI
// are sent only once their content is known.
func (f Fingerprint) OfHead() bool { return [len(headMark)]byte(f[:]) == headMark }

// HashURI returns the checksum of a request's path and query. A router compares it first, so that
// it needs no fingerprint of a request that resembles none of the suspected ones.
func HashURI(uri string) uint64 { return xxhash.Sum64String(uri) }

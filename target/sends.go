package target

import (
	"hash/maphash"
	"slices"
)

const (
	// maxSendsKept bounds the connections that Sends remembers.
	maxSendsKept = 8
	// maxRefusedKept bounds the refused requests that a connection remembers.
	maxRefusedKept = 4
)

// Sends remembers over which connections one request was sent. A target may repeat its answer where it should answer the next
// request on the connection, and knows a request by its id only: if the request came again over the same connection, the answer to
// the first send would pass for that to the second. The zero value is that of a request that was not sent yet.
type Sends struct {
	conns [maxSendsKept]*conn
	n     int
}

func (s *Sends) add(c *conn) {
	if s != nil {
		s.conns[s.n%maxSendsKept] = c
		s.n++
	}
}

func (s *Sends) used(c *conn) bool { return s != nil && slices.Contains(s.conns[:], c) }

// refusals remembers the ids of the last requests that were refused on a connection. Callers may send a refused request again
// under the same id.
type refusals struct {
	ids  [maxRefusedKept]uint64
	next int
}

var refusalSeed = maphash.MakeSeed()

func (r *refusals) add(id string) {
	r.ids[r.next%maxRefusedKept] = maphash.String(refusalSeed, id)
	r.next++
}

func (r *refusals) has(id string) bool {
	kept := r.ids[:min(r.next, maxRefusedKept)]
	return len(kept) > 0 && slices.Contains(kept, maphash.String(refusalSeed, id))
}

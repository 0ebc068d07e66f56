package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragongw/core/digest"
)

// Member is one instance of a router.
type Member struct {
	// Name is unique among the routers.
	Name       string
	DataCentre string
	// Address is host:port of the router's peer listener.
	Address string
	// Incarnation distinguishes the instances of one name; it grows with each restart.
	Incarnation uint64
}

// State is the state of a member as this router knows it.
type State uint8

const (
	// Unknown members have not been heard of, or are known only from the platform's VM
	// list.
	Unknown State = iota
	// Alive members answer, directly or through others.
	Alive
	// Suspect members are silent, but no verdict has been reached; treat them as alive.
	Suspect
	// Isolated members are silent together with so many others that a partition is the more
	// likely cause, or report that they hear no other router.
	Isolated
	// Lost members were declared lost by an observer with confirmation.
	Lost
	// Left members announced a planned stop.
	Left
)

var stateNames = [...]string{"unknown", "alive", "suspect", "isolated", "lost", "left"}

// String returns the name used in logs and by tarragonctl.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[Unknown]
	}
	return stateNames[s]
}

// rank orders the claims about one version of one instance by severity: the highest rank
// wins.
func (s State) rank() int {
	switch s {
	case Left:
		return 4
	case Lost:
		return 3
	case Isolated:
		return 2
	case Suspect:
		return 1
	default:
		return 0
	}
}

// ended reports whether the instance has ended, as far as is known.
func (s State) ended() bool { return s == Lost || s == Left }

// Update is a claim about a member. Claims are ordered by incarnation, version and the rank
// of the state, so that any order of arrival leads to the same view and an outdated claim
// has no effect.
type Update struct {
	Member Member
	// Version is raised by the member itself to refute a claim about it.
	Version uint32
	State   State
	// Leaving says that the member is draining.
	Leaving bool
}

// record is the state that this router keeps for one member.
type record struct {
	Member
	version uint32
	state   State
	// leaving is set if the member says that it is leaving, platformLeaving if the
	// platform's VM list says so.
	leaving         bool
	platformLeaving bool
	// listed says that the platform's VM list names the member.
	listed bool
	// lastHeard is when the member was last heard, directly or through another router; zero
	// means never.
	lastHeard time.Time
	// firstKnown is when this instance was first heard of, and stateChanged is when state
	// last changed.
	firstKnown   time.Time
	stateChanged time.Time
	// hearsNobody is set if the member reports that it hears no other router.
	hearsNobody bool
	// ringHash is the position on the ring of observers.
	ringHash uint64
	// revision is the configuration revision that the member has in force, and
	// revisionSince is since when, by this router's clock.
	revision      uint64
	revisionSince time.Time
}

// supersedes reports whether u is newer than r, or of a higher rank for the same version.
func (u *Update) supersedes(r *record) bool {
	if u.Member.Incarnation != r.Incarnation {
		return u.Member.Incarnation > r.Incarnation
	}
	if u.Version != r.version {
		return u.Version > r.version
	}
	return u.State.rank() > r.state.rank()
}

// update returns r as a claim for other routers.
func (r *record) update() Update {
	return Update{Member: r.Member, Version: r.version, State: r.state, Leaving: r.leaving}
}

// digest covers the fields on which two routers must agree. Suspicion is left out because
// it is temporary. Isolation is included, or a router that missed the claim would continue
// to treat the member as alive.
func (r *record) digest() uint64 {
	if r.state == Unknown {
		return 0
	}
	var tail [13]byte
	putUint64(tail[0:], r.Incarnation)
	putUint32(tail[8:], r.version)
	if r.state.ended() || r.state == Isolated {
		tail[12] = byte(r.state)
	}
	return digest.Mix(xxhash.Sum64String(r.Name) ^ xxhash.Sum64(tail[:]))
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}

func putUint32(b []byte, v uint32) {
	for i := range 4 {
		b[i] = byte(v >> (8 * i))
	}
}

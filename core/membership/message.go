package membership

import "time"

// Kind is the type of a message between routers.
type Kind uint8

// The kinds of messages. The values are part of the wire format.
const (
	KindUnknown Kind = iota
	// Heartbeat is sent to the observers at a fixed interval.
	Heartbeat
	// Ping asks for an Ack with the same Seq.
	Ping
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target; Report carries the result.
	PingRequest
	Report
	// Push carries changes that are sent without waiting for the next heartbeat.
	Push
	// Digest carries digests of data centres; a receiver whose own digests differ asks for
	// the members.
	Digest
	// ListRequest asks for all members of DataCentre. List carries them, in as many
	// messages as the limit on updates requires.
	ListRequest
	List
	// ListNotice passes on an extract of the platform's VM list, which was read Silent ago.
	// It is not exchanged by Core and is not an input of Step.
	ListNotice
)

// Message is a message of the membership protocol. Fields that a kind does not use are
// zero. The sender's identity comes from the transport.
type Message struct {
	Kind Kind
	// Version is the version of the sender's own record.
	Version uint32
	// Seq pairs a Ping with its Ack and a PingRequest with its Report.
	Seq uint64
	// Target is the member that a PingRequest or Report is about.
	Target string
	// Heard says in a Report that the target was heard.
	Heard bool
	// Trying marks a preliminary Report: the helper is still pinging the target.
	Trying bool
	// Silent says in a Report how long ago the helper last heard the target; zero means
	// that it never heard this instance.
	Silent time.Duration
	// SilentMembers names in a Report other members that do not answer the helper's pings.
	SilentMembers []string
	// HearsNobody says that the sender hears no other router of its data centre.
	HearsNobody bool
	// Leaving says that the sender is draining.
	Leaving bool
	// Revision is the configuration revision in force at the sender, and RevisionAge is for
	// how long it has been in force.
	Revision    uint64
	RevisionAge time.Duration
	// DataCentre is the data centre that a ListRequest or List is about.
	DataCentre string
	// Digests are the sender's digests of data centres.
	Digests []DCDigest
	// Links say which data centres the sender, a representative, can hear.
	Links   []Link
	Updates []Update
}

// DCDigest is the digest of the members of one data centre.
type DCDigest struct {
	DataCentre string
	Sum        uint64
}

// Link is the statement of a representative whether it hears another data centre. The
// statement with the highest Incarnation and Seq applies.
type Link struct {
	From        string
	Incarnation uint64
	DataCentre  string
	Seq         uint64
	Up          bool
}

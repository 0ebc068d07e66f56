package spread

import "time"

// Class orders records by urgency: records of a lower class are sent first.
type Class uint8

// The classes.
const (
	Ownership Class = iota
	Configuration
	Other
)

// Entry is one record of the store.
type Entry struct {
	Key string
	// Revision is the store's revision. A record never replaces one with a higher revision.
	Revision uint64
	Class    Class
	// Deleted marks a deleted key; Value is then empty.
	Deleted bool
	// Value must not be modified once it is in an Entry.
	Value []byte
}

func (e *Entry) size() int { return len(e.Key) + len(e.Value) }

// Kind is the type of a message between routers.
type Kind uint8

// The messages. The values are part of the wire format.
const (
	KindUnknown Kind = iota
	// Delta carries records down the tree of Root.
	Delta
	// Digest carries the digest of all records. A receiver whose own differs answers with
	// Groups, the digest of each group. Have lists the revisions within one group, Want
	// requests keys by hash, and Fill carries records outside any tree.
	Digest
	Groups
	Have
	Want
	Fill
	// Query asks for a Digest in reply, which has Reply set.
	Query
	// SnapshotRequest requests records with keys above After. Snapshot carries them in order
	// of key; Done marks the last part.
	SnapshotRequest
	Snapshot
	// StoreState goes down the tree of Root and says whether Root reaches the store.
	StoreState
	// Ask goes down the tree of Root and asks every router to send its Rows to ReplyTo. If
	// Reply is set, each router sends those of its whole subtree.
	Ask
	Rows
	// Notice goes down the tree of Root and carries the announced value in its only entry. Seq
	// orders the notices within an Incarnation.
	Notice
	// Patched carries records down the tree of Root as patches against a revision that the
	// receiver probably holds. A receiver that doesn't hold it requests the full records with
	// Want.
	Patched
)

// Message is a message between routers. Fields that a kind does not use are zero.
type Message struct {
	Kind Kind
	// Root is the router whose tree the message goes down.
	Root string
	// Seq pairs Ask with Rows, and orders StoreState, both within an Incarnation.
	Seq         uint64
	Incarnation uint64
	// Sum and Max are the digest and the highest revision of the sender's records.
	Sum   uint64
	Max   uint64
	Reply bool
	// Sums are the digests of all groups, in order.
	Sums []uint64
	// Group is the group that Have describes, Items the revisions in it.
	Group uint32
	Items []Item
	// Hashes are the hashes of the keys of a Want.
	Hashes []uint64
	// After and Done are used by snapshots.
	After string
	Done  bool
	// Up is used by StoreState.
	Up      bool
	ReplyTo string
	Rows    []Row
	Entries []Entry
	Patches []Patch
}

// Patch is a record in the form of a patch against an older revision.
type Patch struct {
	Key      string
	Revision uint64
	Class    Class
	// Base is the revision that Bytes apply to, Sum the checksum of the resulting value.
	Base  uint64
	Sum   uint64
	Bytes []byte
}

// Item is the revision of one key.
type Item struct {
	Hash     uint64
	Revision uint64
}

// Row says which revision one router has in force and for how long, and which router reports
// it.
type Row struct {
	Router     string
	DataCentre string
	State      string
	Revision   uint64
	Age        time.Duration
	Reporter   string
}

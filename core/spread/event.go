package spread

// Event is an input of Step.
type Event interface{ event() }

// Tick drives the timers.
type Tick struct{}

// Members is the member view: the live routers of this data centre and of the others, sorted
// by name.
type Members struct {
	Local  []string
	Remote []DataCentre
}

// DataCentre is another data centre with its live routers, sorted by name.
type DataCentre struct {
	Name string
	Live []string
}

// FromStore reports records read from the store, or written to it by this router.
type FromStore struct {
	Entries []Entry
	// Complete says that Entries are all records under Prefix at the store revision Revision:
	// keys that this router holds and that are not among them were deleted.
	Complete bool
	Prefix   string
	Revision uint64
}

// StoreReached reports whether a watcher reaches the store.
type StoreReached struct{ Up bool }

// Received is a message from another router.
type Received struct {
	From    string
	Message Message
}

// PatchesUnsupported reports that a message with patches was not sent, because the other
// router doesn't support patches or isn't known to.
type PatchesUnsupported struct {
	To      string
	Message Message
}

// Announce sends a value to all routers of this data centre, down this router's tree. It is
// not a record: a router that is not reached does not get it later, and a later value replaces
// it.
type Announce struct{ Value []byte }

// AskAll asks every router what it has in force. The answers arrive as Answered actions with
// the same Seq. This router's own answer is not among them.
type AskAll struct{ Seq uint64 }

// Answer is the shell's answer to Asked.
type Answer struct {
	To   string
	ID   AskID
	Rows []Row
}

func (Tick) event()               {}
func (Members) event()            {}
func (FromStore) event()          {}
func (StoreReached) event()       {}
func (Received) event()           {}
func (PatchesUnsupported) event() {}
func (Announce) event()           {}
func (AskAll) event()             {}
func (Answer) event()             {}

// Action is an output of Step.
type Action interface{ action() }

// Send asks the shell to send a message. A failed send is not repeated.
type Send struct {
	To      string
	Message Message
}

// Deliver reports records that are newer than those held before, ownership first.
type Deliver struct{ Entries []Entry }

// Watch starts or stops this router's watch of the store.
type Watch struct{ On bool }

// Ready reports that this router has a complete view, either from the store or from a snapshot
// of the peer with the highest revision among those that answered.
type Ready struct {
	// From is the peer, or empty if the view came from the store.
	From     string
	Revision uint64
}

// Refused reports a record that was dropped because of the bounds on memory.
type Refused struct {
	Key  string
	Size int
}

// PatchDropped reports a patch that was dropped. The full record is requested instead.
type PatchDropped struct {
	Key  string
	From string
	// Invalid says that the patch is damaged or doesn't produce the sender's value. If it is
	// false, only the base of the patch was not held here.
	Invalid bool
}

// Asked asks the shell to answer with an Answer event for To and ID.
type Asked struct {
	To string
	ID AskID
}

// Announced reports a value that another router announced.
type Announced struct {
	From  string
	Value []byte
}

// Answered reports an answer to AskAll from one router: its own row, or those of its subtree.
type Answered struct {
	From string
	Seq  uint64
	Rows []Row
}

func (Send) action()         {}
func (Deliver) action()      {}
func (Watch) action()        {}
func (Ready) action()        {}
func (Refused) action()      {}
func (PatchDropped) action() {}
func (Asked) action()        {}
func (Answered) action()     {}
func (Announced) action()    {}

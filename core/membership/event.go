package membership

import "time"

// Event is an input of Step.
type Event interface{ event() }

// Tick drives all timers. The shell sends it when Wake says that it is due, or at every
// Config.Tick.
type Tick struct{}

// Received is a message from another router.
type Received struct {
	From    Member
	Message Message
}

// ListedVM is an entry of the platform's VM list.
type ListedVM struct {
	Name       string
	DataCentre string
	Address    string
	Leaving    bool
}

// Listed is the platform's VM list as read by this router. The list may be out of date, so
// it is only a hint.
type Listed struct{ VMs []ListedVM }

// NoticeReceived is an extract of the platform's VM list that another router read Age ago and
// passed on: the VMs that it did not know as members, and the VMs that are about to leave.
type NoticeReceived struct {
	VMs []ListedVM
	Age time.Duration
}

// SendFailed says that the transport could not reach the router To, which is therefore
// probed at once.
type SendFailed struct{ To string }

// ExternalContact says that something other than a router of the data centre responded: the store
// or the platform's VM list. It is evidence that this router is not cut off.
type ExternalContact struct{}

// RevisionInForce says which configuration revision this router has in force.
type RevisionInForce struct{ Revision uint64 }

// NewerInstance says that another router knows an instance with this router's name and the given
// incarnation. The transport learns this when a session is refused.
type NewerInstance struct{ Incarnation uint64 }

// Leave announces a planned stop. Leaving says that the router is only draining so far.
type Leave struct{ Leaving bool }

func (Tick) event()            {}
func (Received) event()        {}
func (Listed) event()          {}
func (NoticeReceived) event()  {}
func (SendFailed) event()      {}
func (ExternalContact) event() {}
func (RevisionInForce) event() {}
func (Leave) event()           {}
func (NewerInstance) event()   {}

// Action is an output of Step.
type Action interface{ action() }

// Send asks the shell to send a message. A failed send is not repeated.
type Send struct {
	To      string
	Message Message
}

// Changed reports a change of a member's state.
type Changed struct {
	Member Member
	From   State
	To     State
	Cause  Cause
	// By is the router whose claim led to the change; empty means this router.
	By string
}

// IsolationChanged reports that this router began or ceased to consider itself isolated. While it
// does, it reaches no verdict on other routers.
type IsolationChanged struct {
	On    bool
	Cause Cause
}

// LinkChanged reports that contact with another data centre was lost or regained.
type LinkChanged struct {
	DataCentre string
	Up         bool
}

func (Send) action()             {}
func (Changed) action()          {}
func (IsolationChanged) action() {}
func (LinkChanged) action()      {}

// Cause says why something changed. It is written to the journal and is not parsed.
type Cause string

// The causes of changes.
const (
	CauseJoined       Cause = "joined"
	CauseHeard        Cause = "heard"
	CauseRestarted    Cause = "restarted"
	CauseSilent       Cause = "silent"
	CauseToldSuspect  Cause = "told-suspect"
	CauseToldIsolated Cause = "told-isolated"
	CauseToldLost     Cause = "told-lost"
	CauseRefuted      Cause = "refuted"
	CauseExpired      Cause = "suspicion-expired"
	CauseOverCap      Cause = "too-many-silent-at-once"
	CauseHearsNobody  Cause = "says-it-hears-nobody"
	CauseDelisted     Cause = "silent-and-delisted"
	CauseNeverHeard   Cause = "never-answered"
	CauseLeft         Cause = "left"
	CauseSuspended    Cause = "suspended"
	CauseCutOff       Cause = "heard-nobody"
	CauseDeclaredLost Cause = "declared-lost-by-others"
	CauseMinority     Cause = "hears-only-a-minority"
	CauseSuperseded   Cause = "superseded-by-a-newer-life"
	CauseRecovered    Cause = "regular-again"
)

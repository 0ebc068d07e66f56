package ownership

import (
	"time"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// Action is what Keeper.Step asks the shell to do. It is one of the types of this file. The
// shell performs the actions in order and repeats none of them.
type Action interface{ isAction() }

// Read asks for a record. The shell answers with StoreRead, also when the read fails.
type Read struct {
	Key string
	// SentAt is returned in StoreRead. The read must be sent after Step has returned and
	// must never be answered from a cache.
	SentAt time.Duration
	// Relayed means that another router may send the read to the store on behalf of this
	// one, after this step. Such a read may also be dropped: this router asks again.
	Relayed bool
}

// CAS asks for a compare-and-swap; the shell answers with CASResult.
type CAS struct {
	Key string
	// Expect is the revision that the record must be at; zero means that it must be absent.
	Expect uint64
	Value  []byte
	Op     Op
}

// GrantUnit is a unit with its fencing token.
type GrantUnit struct {
	Unit  routing.Unit
	Token uint64
}

// SendGrant renews the grants of a target; the shell answers with GrantResult.
type SendGrant struct {
	Target string
	// Until is the time by which the order must have been sent. After it the shell drops the
	// order and answers with Silent set.
	Until    time.Duration
	Term     uint64
	Sequence uint64
	// TTL counts from receipt.
	TTL time.Duration
	// Fence raises the target's term and changes no grant. For a target that does not check
	// terms it is a probe without effect.
	Fence  bool
	Full   bool
	Digest uint64
	// Units is set where Full is set; it is not modified afterwards.
	Units []GrantUnit
}

// SendPeer sends a message to another router. Its arrival is not acknowledged.
type SendPeer struct {
	To      Router
	Message *ownershippb.Peer
}

// ProbeTarget asks the shell to check whether this router reaches the target, on behalf of
// the router For. The shell answers with TargetProbed.
type ProbeTarget struct {
	Target string
	For    Router
}

// CloseSend stops new work on the units at the target. The shell answers with SendClosed
// once no request on them is in flight; it cancels requests that exceed RequestBound.
type CloseSend struct {
	Target string
	Units  []routing.Unit
	// Abort cancels the requests in flight at once, because the target is lost.
	Abort bool
}

// CountBegun asks for the units with requests in flight at the target, as of the gate that was set
// before. The shell answers with BegunCounted, and with BegunEnded for each of the units.
type CountBegun struct {
	Target   string
	Sequence uint64
}

// CancelBegun cancels the requests in flight on the units at the target.
type CancelBegun struct {
	Target string
	Units  UnitSet
}

// SetGate replaces the snapshot that the request path checks right before each send.
type SetGate struct{ Gate *Gate }

// Publish sends a record to the other routers.
type Publish struct {
	Key string
	// Revision is zero for a grantor that acts without the store.
	Revision uint64
	Value    []byte
}

// Assigned acknowledges an assignment: its write is known to be in the store.
type Assigned struct {
	Unit  routing.Unit
	From  string
	To    string
	Token uint64
}

// Report is an event for the journal.
type Report struct {
	Kind   ReportKind
	Target string
	Term   uint64
	// Router is the former grantor that the report is about, if any.
	Router string
	// Units have requests that were begun before a hand-over. Waited is the longest time that one
	// of their moves waited for these.
	Units  []routing.Unit
	Waited time.Duration
	// Ends is within which time the right of a former grantor ends.
	Ends time.Duration
}

// ReportKind is the kind of a Report.
type ReportKind uint8

// The reports.
const (
	// TookOver means that this router is the target's grantor and serves.
	TookOver ReportKind = iota
	// TookOverWithoutStore means the same under the term of a successor.
	TookOverWithoutStore
	// Superseded means that another router is the target's grantor.
	Superseded
	// HandedOver means that this router handed the duty over to another one.
	HandedOver
	// TargetLost means that the target was declared lost and its units are moved away.
	TargetLost
	// Unprovable means that the grantor and its first successor are lost and nothing proves
	// that they have stopped; the target's units stay unserved.
	Unprovable
	// PromisesOnly means that the store is unreachable and the grantor continues on promises
	// of its first successor.
	PromisesOnly
	// StaleUnits means that a successor can't act without the store because it doesn't
	// know the units that the grantor served.
	StaleUnits
	// LossHeld means that the target does not answer and keeps its units for now, because
	// too many targets do not answer at once or this router itself may be cut off.
	LossHeld
	// LossDismissed means that, after LossHeld, the target answers or has another grantor.
	LossDismissed
	// ClaimedElsewhere means that this router takes over a target of a data centre that is
	// cut off. TookOver follows once no router there can order the target any more.
	ClaimedElsewhere
	// AwaitingFormer means that moves wait for requests that Router, a former grantor, had begun.
	AwaitingFormer
	// FormerAwaited means that they do no longer.
	FormerAwaited
	// FormerRevoked means that Router may not finish these requests, because it is silent.
	FormerRevoked
	// FinishRightEnded means that this router, a former grantor, may not finish requests that it
	// had begun.
	FinishRightEnded
)

func (r ReportKind) String() string {
	return [...]string{"took_over", "took_over_without_store", "superseded", "handed_over", "target_lost",
		"unprovable", "promises_only", "stale_units", "loss_held", "loss_dismissed", "claimed_elsewhere",
		"awaiting_former", "former_awaited", "former_revoked", "finish_right_ended"}[r]
}

func (Read) isAction()        {}
func (CAS) isAction()         {}
func (SendGrant) isAction()   {}
func (SendPeer) isAction()    {}
func (ProbeTarget) isAction() {}
func (CloseSend) isAction()   {}
func (CountBegun) isAction()  {}
func (CancelBegun) isAction() {}
func (SetGate) isAction()     {}
func (Publish) isAction()     {}
func (Assigned) isAction()    {}
func (Report) isAction()      {}

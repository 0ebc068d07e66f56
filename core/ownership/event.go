package ownership

import (
	"time"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// Event is an input of Keeper.Step. It is one of the types of this file.
type Event interface{ isEvent() }

// Tick lets the keeper act on the time; the shell sends one no later than Wake says.
type Tick struct{}

// Configured is a new revision of the operators' model: all targets of all data
// centres and all services divided by key, sorted by name.
type Configured struct {
	Targets  []TargetSpec
	Services []ServiceSpec
}

// Members is the membership's view of the live routers of this data centre, including this
// router.
type Members struct {
	Live []Router
	// Leaving are those of Live that are about to stop. They keep their duties and are given
	// no new ones.
	Leaving []Router
	// OtherDataCentres are the other data centres.
	OtherDataCentres []RemoteDataCentre
}

// RemoteDataCentre is another data centre. CutOff is set by the membership once it has had no
// sign of that data centre for long, neither directly nor through a third one; it stays
// false while this router suspects that it is cut off itself.
type RemoteDataCentre struct {
	Name   string
	CutOff bool
}

// Outcome is what is known about the effect of a call to the store.
type Outcome uint8

const (
	// Unknown means that the reply was lost.
	Unknown Outcome = iota
	// Landed means that the call took effect.
	Landed
	// Conflict means that the record was at another revision; nothing was written.
	Conflict
	// Unavailable means that the call did not happen.
	Unavailable
)

// StoreRead answers a Read.
type StoreRead struct {
	Key string
	// SentAt is the SentAt of the Read.
	SentAt time.Duration
	// Outcome is Landed if the store answered; Revision is zero if the key is absent.
	Outcome  Outcome
	Revision uint64
	Value    []byte
	// Earlier is how much sooner than RenewEvery after this read the next relayed read of
	// the key should be sent; more than half of RenewEvery counts as half.
	Earlier time.Duration
}

// StoreChanged is a record received by a watch, a list or from a peer. It proves nothing
// about the present.
type StoreChanged struct {
	Key      string
	Revision uint64
	Value    []byte
}

// GrantorClaimed is a grantor record published by a router that acts without the store.
type GrantorClaimed struct{ Record *GrantorRecord }

// CASResult answers a CAS.
type CASResult struct {
	Key      string
	Op       Op
	Outcome  Outcome
	Revision uint64
}

// GrantResult answers a SendGrant.
type GrantResult struct {
	Target   string
	Sequence uint64
	// Silent means that no reply arrived.
	Silent   bool
	Accepted bool
	// Term is the highest term that the target has seen.
	Term uint64
	// Busy lists revoked units on which work is still in flight.
	Busy []routing.Unit
}

// TargetHealth is the result of the health checks of a target.
type TargetHealth struct {
	Target string
	Lost   bool
}

// TargetProbed answers a ProbeTarget.
type TargetProbed struct {
	Target  string
	For     Router
	Reached bool
}

// SendClosed means that no work of this router on the units is in flight at the target.
type SendClosed struct {
	Target string
	Units  []routing.Unit
}

// BegunCounted answers CountBegun: the units with requests in flight at the target.
type BegunCounted struct {
	Target   string
	Sequence uint64
	Units    []routing.Unit
}

// BegunEnded follows BegunCounted for each of its units, once no request on it is in flight.
type BegunEnded struct {
	Target   string
	Sequence uint64
	Unit     routing.Unit
}

// MovesRequested asks for moves of units from targets whose grantor is this router; other
// moves are ignored.
type MovesRequested struct{ Moves []Move }

// PeerMessage is a message of another router.
type PeerMessage struct {
	From    Router
	Message *ownershippb.Peer
}

// DeadConfirmed is an operator's confirmation that the target's grantor and its first
// successor are both dead and won't come back.
type DeadConfirmed struct{ Target string }

// Stop starts a planned stop: duties are handed over.
type Stop struct{}

func (Tick) isEvent()           {}
func (Configured) isEvent()     {}
func (Members) isEvent()        {}
func (StoreRead) isEvent()      {}
func (StoreChanged) isEvent()   {}
func (GrantorClaimed) isEvent() {}
func (CASResult) isEvent()      {}
func (GrantResult) isEvent()    {}
func (TargetHealth) isEvent()   {}
func (TargetProbed) isEvent()   {}
func (SendClosed) isEvent()     {}
func (BegunCounted) isEvent()   {}
func (BegunEnded) isEvent()     {}
func (MovesRequested) isEvent() {}
func (PeerMessage) isEvent()    {}
func (DeadConfirmed) isEvent()  {}
func (Stop) isEvent()           {}

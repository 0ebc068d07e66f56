package confirm

import "time"

// Event is an input of Core.Step, one of the types of this file.
type Event interface{ isEvent() }

// Tick reports that time has passed. The shell sends one no later than Wake says.
type Tick struct{}

// Members are the names of the live routers of this data centre, sorted.
type Members struct {
	Live []string
	// Leaving are the live routers that are in a planned stop. They answer until they end, but
	// are no longer asked, so that their end delays no question.
	Leaving []string
}

// Read is a record that this router needs to have confirmed.
type Read struct {
	Target string
	// SentAt is returned in Confirmed.
	SentAt time.Duration
}

// Asked requests that the records be read now.
type Asked struct{ Reads []Read }

// Received is a message from another router of this data centre.
type Received struct {
	From    Router
	Message Message
}

// Record is a target's record in the store. Revision zero means that there is none.
type Record struct {
	Target   string
	Revision uint64
	Value    []byte
}

// Listed is the result of a List, also of one that failed.
type Listed struct {
	ID uint64
	// OK reports whether the store answered.
	OK bool
	// Records are sorted by target.
	Records []Record
}

func (Tick) isEvent()     {}
func (Members) isEvent()  {}
func (Asked) isEvent()    {}
func (Received) isEvent() {}
func (Listed) isEvent()   {}

// Action is an output of Core.Step. The shell does the actions in order.
type Action interface{ isAction() }

// Send sends a message to another router. The message may be lost.
type Send struct {
	To      string
	Message Message
	// Lossy says that the message may take the cheaper transport, which loses more messages.
	Lossy bool
}

// List requests a list call of all grantor records of the data centre. The call must be sent
// after Step has returned and must not be answered from a cache. The shell reports the result
// as Listed.
type List struct{ ID uint64 }

// Confirmed reports that the store was asked for the record after SentAt, and which record it
// held.
type Confirmed struct {
	Record Record
	SentAt time.Duration
	// Earlier is by how much sooner than Interval after this question the next one should
	// be sent, so that it shares a list call with others. It is at most half of Interval.
	Earlier time.Duration
}

func (Send) isAction()      {}
func (List) isAction()      {}
func (Confirmed) isAction() {}

// Kind is the kind of a message.
type Kind uint8

const (
	// Question asks the relay to read records.
	Question Kind = iota + 1
	// Answer returns the records that the store held.
	Answer
	// Pending says that the relay is still waiting for the store.
	Pending
	// Refusal says that the relay couldn't read the records.
	Refusal
)

// Known is the revision at which the asker knows a record; zero means that it knows none.
type Known struct {
	Target   string
	Revision uint64
}

// Change is a record that is not at the revision given in the question.
type Change struct {
	// Index is the record's position in the question.
	Index    int
	Revision uint64
	Value    []byte
}

// Message is sent between an asker and its relay.
type Message struct {
	Kind Kind
	// Incarnation is the incarnation of the asker, and Sequence the number of its question.
	Incarnation uint64
	Sequence    uint64
	// Reliable is set in a question if the answer must take the transport that loses few
	// messages.
	Reliable bool
	// Earlier is set in an answer; see Confirmed.
	Earlier time.Duration
	// Known is set in a question, Changed in an answer.
	Known   []Known
	Changed []Change
}

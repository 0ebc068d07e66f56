// Package confirm lets a few routers of a data centre, the relays, read the grantor records
// for all routers. A router that needs a record confirmed sends a question to its relay. The
// relay answers it from its next list call to the store.
//
// An answer is worth as much as a read by the asker itself: the relay sends the list call
// after it received the question, and the asker counts the age of the answer from before it
// sent the question. Correctness doesn't depend on the relay's clock, on there being only one
// relay, or on all routers choosing the same one. If a relay is lost, silent or cut off from
// the store, the asker reads the store itself.
//
// The package does no I/O and has no clock: Step takes the time and returns the actions to be
// done. The same events give the same actions.
package confirm

// Package ownership decides which target owns which unit of keys and which router, the
// target's grantor, may send to it. It is a deterministic state machine: time is passed in
// as a parameter (monotonic, including time suspended), every effect is returned as an
// action, and it does no I/O.
//
// Keeper is the part of one router; Table is the decoded ownership that every router reads;
// Gate is the check right before each send; Assign places units. The protocol and the
// alternatives that were considered are described in docs/design/ownership.md; its formal
// model is in lab/spec.
package ownership

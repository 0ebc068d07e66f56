// Package membership decides which routers are alive. Within a data centre each
// router sends heartbeats to a fixed number of observers, its successors on a
// hash ring, so that traffic per router does not grow with the fleet; a silent
// router is probed directly and through others before it is suspected, and
// suspected before it is declared lost. Between data centres a few
// representatives exchange digests and changes. The platform's list of VMs is a
// hint to join and to leave, never proof of death.
//
// The package does no I/O and has no clock: Step takes the time, which must be
// monotonic and count suspension, and returns what is to be done. The same
// events with the same seed give the same actions, byte for byte.
package membership

// Package spread distributes configuration and ownership records from the store to every
// router. In each data centre a few routers, chosen by rendezvous hashing, watch the store.
// They send the changes down a tree that each router computes from the member view. Digests
// exchanged with random routers find the changes that the tree missed. A router that starts
// takes a snapshot from the peer with the highest revision among a few, so that it can start
// while the store is unreachable. A record never goes back to a lower revision, whoever sends
// it.
//
// The package does no I/O and has no clock: Step takes the time and returns the actions to be
// done. The same events with the same seed give the same actions, byte for byte.
package spread

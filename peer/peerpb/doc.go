// Package peerpb holds the protobuf messages that routers exchange. The code is
// generated from peer.proto by `make generate` and committed.
package peerpb

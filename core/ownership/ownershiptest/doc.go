// Package ownershiptest runs real ownership keepers in simulated time against a fake store,
// fake targets and a fake network with faults, and checks the guarantees that must always
// hold. A run is determined by its seed.
package ownershiptest

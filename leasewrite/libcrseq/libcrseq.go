// Package libcrseq finds the area for restartable sequences (rseq(2)) that the C library has
// registered for a thread. A thread can have only one, so that where the C library has
// registered it, no other can be registered.
package libcrseq

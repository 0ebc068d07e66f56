package leasewrite

import "time"

// rseqSignature precedes abort handlers in memory; areas are registered with it.
const rseqSignature = 0xd428bc00

// systemCall is the instruction that makes a system call.
var systemCall = []byte{0x01, 0x00, 0x00, 0xd4}

// ticksPerSecond returns the rate of the processor's counter.
func ticksPerSecond() uint64

// ticksPerClockAge returns the number of ticks in maxClockAge.
func ticksPerClockAge() uint64 { return ticksPerSecond() / uint64(time.Second/maxClockAge) }

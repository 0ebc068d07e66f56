package leasewrite

// rseqSignature precedes abort handlers in memory; areas are registered with it.
const rseqSignature = 0x53053053

// systemCall is the instruction that makes a system call.
var systemCall = []byte{0x0f, 0x05}

// ticksPerClockAge returns a number of ticks that take at most maxClockAge. The rate of the
// counter is not known, but is above 200 MHz on every processor of this kind.
func ticksPerClockAge() uint64 { return 200_000 }

#include "textflag.h"

#define SYS_SENDTO 206
#define MSG_DONTWAIT_NOSIGNAL 0x4040
#define SIGNATURE 0xd428bc00
#define RESULT_INTERRUPTED -4097

// sequenceDescriptor is a struct rseq_cs as defined in the kernel's include/uapi/linux/rseq.h. If a
// thread is interrupted inside the sequence after arming it, the kernel resumes the thread at the
// abort handler. The system call is the last instruction of the sequence: a thread that is
// interrupted right before it has not made the call.
DATA ·sequenceDescriptor+0(SB)/8, $0                // version, flags
DATA ·sequenceDescriptor+8(SB)/8, $·sequence(SB)    // first instruction
DATA ·sequenceDescriptor+16(SB)/8, $24              // length up to and with the system call
DATA ·sequenceDescriptor+24(SB)/8, $·aborted+4(SB)  // abort handler, behind its signature
GLOBL ·sequenceDescriptor(SB), NOPTR, $32

// func descriptor() *sequenceLayout
TEXT ·descriptor(SB), NOSPLIT, $0-8
	MOVD $·sequenceDescriptor(SB), R0
	MOVD R0, ret+0(FP)
	RET

// func ticks() uint64
TEXT ·ticks(SB), NOSPLIT, $0-8
	MRS  CNTVCT_EL0, R0
	MOVD R0, ret+0(FP)
	RET

// func ticksPerSecond() uint64
TEXT ·ticksPerSecond(SB), NOSPLIT, $0-8
	MRS  CNTFRQ_EL0, R0
	MOVD R0, ret+0(FP)
	RET

// func sendIfRecent(armed *uint64, fd uintptr, buf *byte, n int, since, maxAge uint64) int64
TEXT ·sendIfRecent(SB), NOSPLIT, $0-56
	MOVD armed+0(FP), R9
	MOVD fd+8(FP), R0
	MOVD buf+16(FP), R1
	MOVD n+24(FP), R2
	MOVD since+32(FP), R10
	MOVD maxAge+40(FP), R11
	MOVD $MSG_DONTWAIT_NOSIGNAL, R3
	MOVD ZR, R4
	MOVD ZR, R5
	MOVD $SYS_SENDTO, R8
	MOVD $·sequenceDescriptor(SB), R12
	CALL ·sequence(SB)
	MOVD ZR, (R9)
	MOVD R0, ret+48(FP)
	RET

// sequence returns the result of the system call in R0. Its first instruction arms it.
TEXT ·sequence(SB), NOSPLIT|NOFRAME, $0-0
	MOVD R12, (R9)
	MRS  CNTVCT_EL0, R13
	SUB  R10, R13, R13
	CMP  R11, R13
	BHI  old
	SVC
	RET

old:
	MOVD $RESULT_INTERRUPTED, R0
	RET

// aborted returns to sequence's caller. The kernel looks for the signature before the abort
// handler.
TEXT ·aborted(SB), NOSPLIT|NOFRAME, $0-0
	WORD $SIGNATURE
	MOVD $RESULT_INTERRUPTED, R0
	RET

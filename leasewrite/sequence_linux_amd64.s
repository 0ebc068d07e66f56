#include "textflag.h"

#define SYS_SENDTO 44
#define MSG_DONTWAIT_NOSIGNAL 0x4040
#define SIGNATURE 0x53053053
#define RESULT_INTERRUPTED -4097

// sequenceDescriptor is a struct rseq_cs as defined in the kernel's include/uapi/linux/rseq.h. If a
// thread is interrupted inside the sequence after arming it, the kernel resumes the thread at the
// abort handler. The system call is the last instruction of the sequence: a thread that is
// interrupted right before it has not made the call.
DATA ·sequenceDescriptor+0(SB)/8, $0                // version, flags
DATA ·sequenceDescriptor+8(SB)/8, $·sequence(SB)    // first instruction
DATA ·sequenceDescriptor+16(SB)/8, $30              // length up to and with the system call
DATA ·sequenceDescriptor+24(SB)/8, $·aborted+7(SB)  // abort handler, behind its signature
GLOBL ·sequenceDescriptor(SB), NOPTR, $32

// func descriptor() *sequenceLayout
TEXT ·descriptor(SB), NOSPLIT, $0-8
	LEAQ ·sequenceDescriptor(SB), AX
	MOVQ AX, ret+0(FP)
	RET

// func ticks() uint64
TEXT ·ticks(SB), NOSPLIT, $0-8
	RDTSC
	SHLQ $32, DX
	ORQ  DX, AX
	MOVQ AX, ret+0(FP)
	RET

// func sendIfRecent(armed *uint64, fd uintptr, buf *byte, n int, since, maxAge uint64) int64
TEXT ·sendIfRecent(SB), NOSPLIT, $0-56
	MOVQ armed+0(FP), BX
	MOVQ fd+8(FP), DI
	MOVQ buf+16(FP), SI
	MOVQ n+24(FP), R12
	MOVQ since+32(FP), R13
	MOVQ maxAge+40(FP), CX
	MOVL $MSG_DONTWAIT_NOSIGNAL, R10
	XORL R8, R8
	XORL R9, R9
	LEAQ ·sequenceDescriptor(SB), R11
	CALL ·sequence(SB)
	MOVQ $0, (BX)
	MOVQ AX, ret+48(FP)
	RET

// sequence returns the result of the system call in AX. Its first instruction arms it.
TEXT ·sequence(SB), NOSPLIT|NOFRAME, $0-0
	MOVQ R11, (BX)
	RDTSC
	SHLQ $32, DX
	ORQ  DX, AX
	SUBQ R13, AX
	CMPQ AX, CX
	JHI  old
	MOVQ R12, DX
	MOVL $SYS_SENDTO, AX
	SYSCALL
	RET

old:
	MOVQ $RESULT_INTERRUPTED, AX
	RET

// aborted returns to sequence's caller. The kernel looks for the signature before the abort
// handler; the bytes before it make it decode as part of an undefined instruction (ud1).
TEXT ·aborted(SB), NOSPLIT|NOFRAME, $0-0
	BYTE $0x0f; BYTE $0xb9; BYTE $0x3d
	LONG $SIGNATURE
	MOVQ $RESULT_INTERRUPTED, AX
	RET

//go:build cgo

// A restartable sequence as defined in the kernel's include/uapi/linux/rseq.h. If a thread is
// interrupted inside the sequence, the kernel resumes it at the abort handler. If it was
// interrupted after arming the sequence but outside of it, the kernel clears the armed field.
// The system call is the last instruction of the sequence: a thread that is interrupted right
// before it has not made the call.

#define SYS_SENDTO 44
#define MSG_DONTWAIT_NOSIGNAL 0x4040
#define RSEQ_SIG 0x53053053
#define LEASEWRITE_INTERRUPTED -4097

	.section .data.rel.ro, "aw"
	.balign 32
	.globl leasewrite_sequence
	.hidden leasewrite_sequence
	.type leasewrite_sequence, @object
leasewrite_sequence:
	.long 0, 0 // version, flags
	.quad .Lstart, .Lmade - .Lstart, .Labort
	.size leasewrite_sequence, . - leasewrite_sequence

	.text
	.globl leasewrite_send
	.hidden leasewrite_send
	.type leasewrite_send, @function
// long leasewrite_send(int fd, const void *buf, size_t len, volatile uint64_t *armed)
leasewrite_send:
	movl $SYS_SENDTO, %eax
	movl $MSG_DONTWAIT_NOSIGNAL, %r10d
	xorl %r8d, %r8d
	xorl %r9d, %r9d
	leaq leasewrite_sequence(%rip), %r11
.Lstart:
	cmpq %r11, (%rcx)
	jne .Labort
	syscall
.Lmade:
	ret
	.byte 0x0f, 0xb9, 0x3d // ud1, so that the signature decodes as part of an instruction
	.long RSEQ_SIG
.Labort:
	movq $LEASEWRITE_INTERRUPTED, %rax
	ret
	.size leasewrite_send, . - leasewrite_send

	.section .note.GNU-stack, "", @progbits

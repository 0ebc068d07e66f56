//go:build cgo

#define _GNU_SOURCE
#include <errno.h>
#include <time.h>

#include "sequence_linux_amd64.h"

// The C library registers an rseq area for each thread and publishes its location in these
// symbols. Older C libraries define neither.
extern const ptrdiff_t __rseq_offset __attribute__((weak));
extern const unsigned int __rseq_size __attribute__((weak));

// rseq_area is the prefix of the kernel's struct rseq that is used here.
struct rseq_area {
	uint32_t cpu_id_start;
	uint32_t cpu_id;
	uint64_t rseq_cs;
};

// maxAttempts bounds how often an interrupted sequence is restarted.
static const int maxAttempts = 1000;

// Defined in sequence_linux_amd64.S.
extern const char leasewrite_sequence[];
long leasewrite_send(int fd, const void *buf, size_t len, volatile uint64_t *armed);

// armed_field returns the thread's rseq_cs field, which points to the currently armed
// sequence, or NULL if the C library has registered no rseq area.
static volatile uint64_t *armed_field(void)
{
	if (&__rseq_offset == NULL || &__rseq_size == NULL || __rseq_size == 0)
		return NULL;
	return &((struct rseq_area *)((char *)__builtin_thread_pointer() + __rseq_offset))->rseq_cs;
}

// boot_time reads the clock in the vDSO. That code lies outside of the sequence, so the kernel
// clears the armed field if the thread is interrupted there.
static int boot_time(int64_t *now)
{
	struct timespec ts;

	if (clock_gettime(CLOCK_BOOTTIME, &ts) != 0)
		return -errno;
	*now = (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
	return 0;
}

static long send_once(volatile uint64_t *armed, int fd, const void *buf, size_t len, int64_t until)
{
	int64_t now;
	int failed;

	*armed = (uintptr_t)leasewrite_sequence;
	failed = boot_time(&now);
	if (failed)
		return failed;
	if (now >= until)
		return LEASEWRITE_LAPSED;
	return leasewrite_send(fd, buf, len, armed);
}

long leasewrite_send_before(int fd, const void *buf, size_t len, int64_t until)
{
	volatile uint64_t *armed = armed_field();
	long result = LEASEWRITE_INTERRUPTED;

	for (int i = 0; i < maxAttempts && result == LEASEWRITE_INTERRUPTED; i++)
		result = send_once(armed, fd, buf, len, until);
	*armed = 0;
	return result;
}

int leasewrite_supported(void)
{
	volatile uint64_t *armed = armed_field();
	long result = LEASEWRITE_INTERRUPTED;
	int64_t now;

	if (armed == NULL)
		return 0;
	for (int i = 0; i < maxAttempts && result == LEASEWRITE_INTERRUPTED; i++) {
		*armed = (uintptr_t)leasewrite_sequence;
		result = boot_time(&now);
		if (result == 0 && *armed == 0)
			result = LEASEWRITE_INTERRUPTED;
	}
	*armed = 0;
	return result == 0;
}

#include <stddef.h>
#include <stdint.h>

// Results of leasewrite_send_before other than a byte count or a negated errno. An errno is
// at most 4095.
#define LEASEWRITE_LAPSED (-4096)
#define LEASEWRITE_INTERRUPTED (-4097)

// leasewrite_supported returns nonzero if restartable sequences work on this system.
int leasewrite_supported(void);

// leasewrite_send_before sends without blocking if CLOCK_BOOTTIME, in nanoseconds, is before
// until.
long leasewrite_send_before(int fd, const void *buf, size_t len, int64_t until);

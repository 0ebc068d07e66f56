#include <stddef.h>
#include <stdint.h>

// Results of leasewrite_send_before beside a count of bytes and a negated errno, which ends
// at 4095.
#define LEASEWRITE_LAPSED (-4096)
#define LEASEWRITE_INTERRUPTED (-4097)

// leasewrite_supported tells whether sequences can be carried out here.
int leasewrite_supported(void);

// leasewrite_send_before sends without blocking as long as CLOCK_BOOTTIME is before until, in
// nanoseconds.
long leasewrite_send_before(int fd, const void *buf, size_t len, int64_t until);

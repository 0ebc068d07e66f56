//go:build cgo && linux

package libcrseq

// #include <stddef.h>
// #include <stdint.h>
//
// // The C library publishes the location of its areas in these symbols. Only glibc since 2.35
// // defines them.
// extern const ptrdiff_t __rseq_offset __attribute__((weak));
// extern const unsigned int __rseq_size __attribute__((weak));
//
// // The prefix of the kernel's struct rseq. cpu_id is negative while none is registered.
// struct rseq_prefix {
// 	uint32_t cpu_id_start;
// 	int32_t cpu_id;
// };
//
// static void *registered_area(void)
// {
// 	struct rseq_prefix *area;
//
// 	if (&__rseq_offset == NULL || &__rseq_size == NULL || __rseq_size == 0)
// 		return NULL;
// 	area = (void *)((char *)__builtin_thread_pointer() + __rseq_offset);
// 	return area->cpu_id < 0 ? NULL : area;
// }
import "C"

import "unsafe"

// Area returns the area that the C library has registered for the current thread, or nil.
func Area() unsafe.Pointer { return C.registered_area() }

//go:build !(cgo && linux)

package libcrseq

import "unsafe"

// Area returns nil: this program doesn't use the C library's threads.
func Area() unsafe.Pointer { return nil }

// Package arch tests that the code follows docs/ARCHITECTURE.md: which packages each
// package may import, and that the packages below core, which only decide, have no side
// effects.
package arch

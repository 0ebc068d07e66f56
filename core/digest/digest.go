// Package digest helps to represent a set by one number, the XOR of its members' hashes. Two
// routers compare the number to find out whether they hold the same set.
package digest

// Mix distributes the bits of h, so that the XOR of many hashes keeps its entropy. It is the
// finaliser of splitmix64, which is a bijection.
func Mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

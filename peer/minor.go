package peer

// MinorPatches is the first minor version that reads records as patches of older ones.
const MinorPatches = 1

// MinorCompactLoads is the first minor version that reads reports of load by number.
const MinorCompactLoads = 2

// Minor returns the minor version that the router spoke in the last hello, and whether
// there was one. A router that was replaced by one of an older version may have the
// newer one here until its first hello, so that messages which the older version doesn't
// know may still go to it; it ignores them.
func (n *Node) Minor(name string) (minor uint32, known bool) {
	l := n.lookup(name)
	if l == nil {
		return 0, false
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.minor, l.incarnation > 0
}
